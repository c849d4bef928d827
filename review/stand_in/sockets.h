/// Blocking TCP sockets on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

struct address {
  std::string Ip;
  int Port = 0;

  std::string text() const { return Ip + ":" + std::to_string(Port); }
};

inline sockaddr_in socketAddress(const address &Address) {
  sockaddr_in Result = {};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<std::uint16_t>(Address.Port));
  inet_pton(AF_INET, Address.Ip.c_str(), &Result.sin_addr);
  return Result;
}

/// Returns a listening socket, or -1.
inline int listenOn(const address &Address) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int Enable = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof(Enable));
  sockaddr_in Target = socketAddress(Address);
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Target), sizeof(Target)) !=
          0 ||
      ::listen(Socket, 512) != 0) {
    ::close(Socket);
    return -1;
  }
  return Socket;
}

/// Returns a connected socket, or -1.
inline int connectTo(const address &Address, int TimeoutMs) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in Target = socketAddress(Address);
  int Status =
      ::connect(Socket, reinterpret_cast<sockaddr *>(&Target), sizeof(Target));
  if (Status != 0 && errno == EINPROGRESS) {
    pollfd Waiting = {Socket, POLLOUT, 0};
    int Error = 0;
    socklen_t Length = sizeof(Error);
    if (::poll(&Waiting, 1, TimeoutMs) == 1 &&
        ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Length) == 0 &&
        Error == 0)
      Status = 0;
  }
  if (Status != 0) {
    ::close(Socket);
    return -1;
  }
  ::fcntl(Socket, F_SETFL, ::fcntl(Socket, F_GETFL) & ~O_NONBLOCK);
  int Enable = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof(Enable));
  return Socket;
}

inline bool sendAll(int Socket, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Count =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

/// Reads a socket line by line or by length.
class socket_reader {
public:
  explicit socket_reader(int Socket) : Socket(Socket) {}

  /// Returns the next line without CR LF; nullopt at the end of the stream or
  /// when nothing arrives for TimeoutMs (-1: wait for ever).
  std::optional<std::string> readLine(int TimeoutMs) {
    for (;;) {
      std::size_t End = Buffer.find("\r\n");
      if (End != std::string::npos) {
        std::string Line = Buffer.substr(0, End);
        Buffer.erase(0, End + 2);
        return Line;
      }
      if (!fill(TimeoutMs))
        return std::nullopt;
    }
  }

  std::optional<std::string> readBytes(std::size_t Count, int TimeoutMs) {
    while (Buffer.size() < Count)
      if (!fill(TimeoutMs))
        return std::nullopt;
    std::string Bytes = Buffer.substr(0, Count);
    Buffer.erase(0, Count);
    return Bytes;
  }

private:
  bool fill(int TimeoutMs) {
    pollfd Waiting = {Socket, POLLIN, 0};
    if (::poll(&Waiting, 1, TimeoutMs) != 1)
      return false;
    char Bytes[16384];
    ssize_t Count = ::recv(Socket, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      return false;
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  }

  int Socket;
  std::string Buffer;
};

/// An HTTP request or response.
struct http_message {
  std::string StartLine;
  std::string Head;
  std::string Body;

  int status() const {
    std::size_t Blank = StartLine.find(' ');
    return Blank == std::string::npos ? 0
                                      : std::atoi(StartLine.c_str() + Blank);
  }
  /// Returns the value of a header; Name is in lower case.
  std::string header(const std::string &Name) const {
    std::string Lower;
    for (char Char : Head)
      Lower +=
          static_cast<char>(std::tolower(static_cast<unsigned char>(Char)));
    std::size_t At = Lower.find("\n" + Name + ":");
    if (At == std::string::npos)
      return "";
    std::size_t From = Head.find_first_not_of(' ', At + Name.size() + 2);
    return Head.substr(From, Head.find('\n', From) - From);
  }
};

inline std::optional<http_message> readHttp(socket_reader &Reader,
                                            int TimeoutMs) {
  http_message Message;
  auto First = Reader.readLine(TimeoutMs);
  if (!First)
    return std::nullopt;
  Message.StartLine = *First;
  Message.Head = "\n";
  for (;;) {
    auto Line = Reader.readLine(TimeoutMs);
    if (!Line)
      return std::nullopt;
    if (Line->empty())
      break;
    Message.Head += *Line + "\n";
  }
  std::string Length = Message.header("content-length");
  if (!Length.empty()) {
    auto Body = Reader.readBytes(std::stoul(Length), TimeoutMs);
    if (!Body)
      return std::nullopt;
    Message.Body = *Body;
  }
  return Message;
}

/// Sends a request and returns the response, if one arrives in time.
inline std::optional<http_message>
callHttp(const address &Server, const std::string &Method,
         const std::string &Path, const std::string &Body, int TimeoutMs) {
  int Socket = connectTo(Server, TimeoutMs);
  if (Socket < 0)
    return std::nullopt;
  std::optional<http_message> Response;
  if (sendAll(Socket, Method + " " + Path +
                          " HTTP/1.1\r\nHost: " + Server.text() +
                          "\r\nContent-Type: application/json\r\n"
                          "Connection: close\r\nContent-Length: " +
                          std::to_string(Body.size()) + "\r\n\r\n" + Body)) {
    socket_reader Reader(Socket);
    Response = readHttp(Reader, TimeoutMs);
  }
  ::close(Socket);
  return Response;
}

} // namespace review
