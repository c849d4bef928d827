/// Blocking sockets on loopback addresses, lines and HTTP calls for the
/// stand-ins of the review's cases.
#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// An address and a port.
struct endpoint {
  std::string Ip;
  std::uint16_t Port = 0;
  std::string text() const { return Ip + ":" + std::to_string(Port); }
};

/// Writes lines with the time since the start, to a file.
class recorder {
public:
  explicit recorder(const std::string &File);
  ~recorder();
  recorder(const recorder &) = delete;
  recorder &operator=(const recorder &) = delete;
  void write(const std::string &Line);

private:
  std::mutex Mutex;
  int Descriptor;
  steady::time_point Start = steady::now();
};

/// Returns a listening socket, or -1.
int listenOn(const endpoint &At);
/// Returns a connected socket, or -1.
int connectTo(const endpoint &To, milliseconds Timeout);
bool sendAll(int Socket, const std::string &Bytes);

/// Reads lines that end with CR LF.
class line_reader {
public:
  explicit line_reader(int Socket) : Socket(Socket) {}
  /// Returns the next line without its end, or nothing at the end of the stream
  /// or after Timeout. A negative timeout waits for ever.
  std::optional<std::string> next(milliseconds Timeout);
  /// Returns the next Length bytes, or fewer at the end of the stream or after
  /// Timeout.
  std::string take(std::size_t Length, milliseconds Timeout);
  /// Whether the stream has ended.
  bool isClosed() const { return Closed; }

private:
  bool receive(milliseconds Timeout);

  int Socket;
  bool Closed = false;
  std::string Buffer;
};

struct http_answer {
  int Status = 0;
  std::string Body;
};

/// One HTTP call on a connection of its own.
std::optional<http_answer> callHttp(const endpoint &Server,
                                    const std::string &Method,
                                    const std::string &Path,
                                    const std::string &Body,
                                    milliseconds Timeout);

/// Returns the process, one of Pids, that holds the other end of an accepted
/// loopback connection; zero if none does.
int findPeerProcess(int Socket, const std::string &ProcessIds);

} // namespace review
