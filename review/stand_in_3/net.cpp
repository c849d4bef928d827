#include "net.h"

#include <arpa/inet.h>
#include <cerrno>
#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in toAddress(const endpoint &Endpoint) {
  sockaddr_in Address = {};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Endpoint.Port);
  ::inet_pton(AF_INET, Endpoint.Ip.c_str(), &Address.sin_addr);
  return Address;
}

/// Waits until a socket is ready. Returns false after the timeout.
bool waitFor(int Socket, short Events, milliseconds Timeout) {
  pollfd Poll = {Socket, Events, 0};
  int Ready;
  do
    Ready = ::poll(&Poll, 1, static_cast<int>(Timeout.count()));
  while (Ready < 0 && errno == EINTR);
  return Ready > 0;
}

/// Returns the inode of the socket at the other end, or an empty text.
std::string findPeerInode(int Socket) {
  sockaddr_in Own = {};
  sockaddr_in Peer = {};
  socklen_t Length = sizeof(Own);
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Own), &Length);
  Length = sizeof(Peer);
  ::getpeername(Socket, reinterpret_cast<sockaddr *>(&Peer), &Length);
  std::ifstream Table("/proc/net/tcp");
  std::string Line;
  char Wanted[64];
  std::snprintf(Wanted, sizeof(Wanted), "%08X:%04X %08X:%04X",
                Peer.sin_addr.s_addr, ntohs(Peer.sin_port), Own.sin_addr.s_addr,
                ntohs(Own.sin_port));
  while (std::getline(Table, Line)) {
    std::istringstream In(Line);
    std::string Slot, Local, Remote, Skipped, Inode;
    In >> Slot >> Local >> Remote;
    if (Local + " " + Remote != Wanted)
      continue;
    for (int Column = 0; Column < 6; ++Column)
      In >> Skipped;
    In >> Inode;
    return Inode;
  }
  return "";
}

} // namespace

recorder::recorder(const std::string &File)
    : Descriptor(::open(File.c_str(),
                        O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC,
                        0644)) {}

recorder::~recorder() { ::close(Descriptor); }

void recorder::write(const std::string &Line) {
  std::lock_guard Lock(Mutex);
  auto Since =
      std::chrono::duration_cast<milliseconds>(steady::now() - Start).count();
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%9.3f ", static_cast<double>(Since) / 1e3);
  std::string Text = Time + Line + "\n";
  [[maybe_unused]] auto Written = ::write(Descriptor, Text.data(), Text.size());
}

int listenOn(const endpoint &At) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = toAddress(At);
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) ==
          0 &&
      ::listen(Socket, 256) == 0)
    return Socket;
  ::close(Socket);
  return -1;
}

int connectTo(const endpoint &To, milliseconds Timeout) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in Address = toAddress(To);
  int Status = ::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                         sizeof(Address));
  int Problem = Status == 0 ? 0 : errno;
  if (Problem == EINPROGRESS) {
    socklen_t Length = sizeof(Problem);
    if (!waitFor(Socket, POLLOUT, Timeout) ||
        ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Problem, &Length) != 0)
      Problem = ETIMEDOUT;
  }
  if (Problem != 0) {
    ::close(Socket);
    return -1;
  }
  ::fcntl(Socket, F_SETFL, ::fcntl(Socket, F_GETFL) & ~O_NONBLOCK);
  int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Socket;
}

bool sendAll(int Socket, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Count =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

/// Receives some bytes. Returns false at the end of the stream or after
/// Timeout.
bool line_reader::receive(milliseconds Timeout) {
  if (!waitFor(Socket, POLLIN, Timeout))
    return false;
  char Bytes[16384];
  ssize_t Count = ::recv(Socket, Bytes, sizeof(Bytes), 0);
  if (Count < 0 && errno == EINTR)
    return true;
  Closed = Count <= 0;
  if (!Closed)
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
  return !Closed;
}

std::optional<std::string> line_reader::next(milliseconds Timeout) {
  for (;;) {
    std::size_t Found = Buffer.find("\r\n");
    if (Found != std::string::npos) {
      std::string Line = Buffer.substr(0, Found);
      Buffer.erase(0, Found + 2);
      return Line;
    }
    if (!receive(Timeout))
      return std::nullopt;
  }
}

std::string line_reader::take(std::size_t Length, milliseconds Timeout) {
  while (Buffer.size() < Length && receive(Timeout))
    continue;
  std::string Bytes = Buffer.substr(0, Length);
  Buffer.erase(0, Bytes.size());
  return Bytes;
}

std::optional<http_answer> callHttp(const endpoint &Server,
                                    const std::string &Method,
                                    const std::string &Path,
                                    const std::string &Body,
                                    milliseconds Timeout) {
  auto End = steady::now() + Timeout;
  int Socket = connectTo(Server, Timeout);
  if (Socket < 0)
    return std::nullopt;
  sendAll(Socket, Method + " " + Path + " HTTP/1.1\r\nHost: " + Server.text() +
                      "\r\nContent-Type: application/json\r\nConnection: "
                      "close\r\nContent-Length: " +
                      std::to_string(Body.size()) + "\r\n\r\n" + Body);
  std::string Text;
  for (;;) {
    auto Left = std::chrono::duration_cast<milliseconds>(End - steady::now());
    if (Left.count() <= 0 || !waitFor(Socket, POLLIN, Left))
      break;
    char Bytes[16384];
    ssize_t Count = ::recv(Socket, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      break;
    Text.append(Bytes, static_cast<std::size_t>(Count));
  }
  ::close(Socket);
  std::size_t Head = Text.find("\r\n\r\n");
  if (!Text.starts_with("HTTP/1.1 ") || Head == std::string::npos)
    return std::nullopt;
  return http_answer{std::atoi(Text.c_str() + 9), Text.substr(Head + 4)};
}

int findPeerProcess(int Socket, const std::string &ProcessIds) {
  std::string Wanted = "socket:[" + findPeerInode(Socket) + "]";
  std::istringstream In(ProcessIds);
  for (int Pid; In >> Pid;) {
    std::string Folder = "/proc/" + std::to_string(Pid) + "/fd";
    DIR *Open = ::opendir(Folder.c_str());
    if (!Open)
      continue;
    bool Found = false;
    while (dirent *Entry = ::readdir(Open)) {
      char Target[64] = {};
      std::string File = Folder + "/" + Entry->d_name;
      if (::readlink(File.c_str(), Target, sizeof(Target) - 1) > 0 &&
          Wanted == Target)
        Found = true;
    }
    ::closedir(Open);
    if (Found)
      return Pid;
  }
  return 0;
}

} // namespace review
