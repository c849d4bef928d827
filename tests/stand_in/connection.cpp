#include "tests/stand_in/connection.h"
#include "core/error.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace teasellock::stand_in {

namespace {

constexpr std::size_t ReadBytes = 64 * 1024;
constexpr int Backlog = 512;

bool wouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

void setNoDelay(int Descriptor) {
  int On = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

int newSocket(const endpoint &Endpoint) {
  int Descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    throw error("socket.open", toString(Endpoint), std::strerror(errno));
  return Descriptor;
}

} // namespace

connection::connection(event_loop &Loop, int Descriptor)
    : Loop(Loop), Descriptor(Descriptor) {
  setNoDelay(Descriptor);
}

connection::~connection() {
  Watch = descriptor_watch();
  close(Descriptor);
}

void connection::start(std::function<void()> Data,
                       std::function<void()> Closed) {
  OnData = std::move(Data);
  OnClosed = std::move(Closed);
  Watch = Loop.watch(Descriptor, {true, false},
                     [this](readiness Ready) { handleReady(Ready); });
}

std::string_view connection::input() const {
  return std::string_view(In).substr(Consumed);
}

void connection::consume(std::size_t Bytes) {
  Consumed += Bytes;
  if (Consumed == In.size()) {
    In.clear();
    Consumed = 0;
  } else if (Consumed > ReadBytes) {
    In.erase(0, Consumed);
    Consumed = 0;
  }
}

void connection::handleReady(readiness Ready) {
  if (Ready.Writable)
    flush();
  if (Ready.Readable && !Failed)
    receive();
  else if (Ready.Writable && !Failed && !IsMuted)
    OnData();
}

void connection::receive() {
  char Buffer[ReadBytes];
  ssize_t Got = recv(Descriptor, Buffer, sizeof(Buffer), 0);
  if (Got == 0 || (Got < 0 && !wouldBlock()))
    return handleClosed();
  if (Got < 0 || IsMuted)
    return;
  In.append(Buffer, static_cast<std::size_t>(Got));
  OnData();
}

void connection::flush() {
  if (Paused || IsMuted || Failed)
    return;
  while (SentBytes < Out.size()) {
    ssize_t Sent = send(Descriptor, Out.data() + SentBytes,
                        Out.size() - SentBytes, MSG_NOSIGNAL);
    if (Sent < 0) {
      // A broken connection is reported by the next read.
      if (!wouldBlock() && errno != ENOTCONN)
        Out.clear();
      break;
    }
    SentBytes += static_cast<std::size_t>(Sent);
  }
  if (SentBytes >= Out.size()) {
    Out.clear();
    SentBytes = 0;
  }
  updateWatch();
}

void connection::updateWatch() {
  if (Failed)
    return;
  bool Waiting = !Out.empty() && !IsMuted;
  Watch.setInterest({!Paused, Waiting && !Paused});
}

void connection::setPaused(bool Pause) {
  Paused = Pause;
  updateWatch();
  if (!Paused)
    flush();
}

void connection::mute() {
  IsMuted = true;
  In.clear();
  Consumed = 0;
  Out.clear();
  SentBytes = 0;
  updateWatch();
}

void connection::handleClosed() {
  Failed = true;
  Watch = descriptor_watch();
  OnClosed();
}

int listenOn(const endpoint &Endpoint) {
  int Descriptor = newSocket(Endpoint);
  int On = 1;
  setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = toSocketAddress(Endpoint);
  if (bind(Descriptor, reinterpret_cast<sockaddr *>(&Address),
           sizeof(Address)) < 0 ||
      listen(Descriptor, Backlog) < 0) {
    int Reason = errno;
    close(Descriptor);
    throw error("socket.listen", toString(Endpoint), std::strerror(Reason));
  }
  return Descriptor;
}

endpoint boundEndpoint(int Descriptor) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Address), &Size);
  char Text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &Address.sin_addr, Text, sizeof(Text));
  return {Text, ntohs(Address.sin_port)};
}

int connectTo(const endpoint &Endpoint) {
  int Descriptor = newSocket(Endpoint);
  sockaddr_in Address = toSocketAddress(Endpoint);
  if (connect(Descriptor, reinterpret_cast<sockaddr *>(&Address),
              sizeof(Address)) < 0 &&
      errno != EINPROGRESS) {
    int Reason = errno;
    close(Descriptor);
    throw error("socket.connect", toString(Endpoint), std::strerror(Reason));
  }
  return Descriptor;
}

int acceptFrom(int Listener) {
  return accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

} // namespace teasellock::stand_in
