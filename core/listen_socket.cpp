#include "core/listen_socket.h"

#include "core/error.h"

#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace teasellock {

int openListenSocket(endpoint &Endpoint, int Backlog, const std::string &Step) {
  std::string Peer = toString(Endpoint);
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    throw error(Step, Peer, std::strerror(errno));
  int Enabled = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof(Enabled));
  sockaddr_in Address = toSocketAddress(Endpoint);
  socklen_t Length = sizeof(Address);
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), Length) < 0 ||
      ::listen(Socket, Backlog) < 0) {
    int Status = errno;
    ::close(Socket);
    throw error(Step, Peer, std::strerror(Status));
  }
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
  Endpoint.Port = ntohs(Address.sin_port);
  return Socket;
}

} // namespace teasellock
