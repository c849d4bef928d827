/// HTTP/1.1 with one request for each connection, for the soak's own calls and
/// its stand-in of the platform.
#pragma once

#include "core/timer_service.h"
#include "tests/stand_in/connection.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace teasellock::soak {

/// A request or an answer: the first line, the headers in lower case, the body.
struct http_text {
  std::string First;
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// Of an answer; zero when there is none.
  int status() const;
};

/// Reads one whole message; nothing while part of it is missing.
std::optional<http_text> readHttp(std::string_view Bytes);

/// Makes a call. Done gets nothing when no whole answer came in time; it is
/// called once, and not if the call object dies before.
class http_request_call {
public:
  http_request_call(event_loop &Loop, timer_service &Timers,
                    const endpoint &Server, const std::string &Method,
                    const std::string &Path, const std::string &Body,
                    std::function<void(std::optional<http_text>)> Done);

private:
  void end(std::optional<http_text> Answer);

  event_loop &Loop;
  std::unique_ptr<stand_in::connection> Connection;
  timer_subscription Timeout;
  std::function<void(std::optional<http_text>)> Done;
};

/// Answers calls. The handler returns the status, or nothing to stay silent.
class http_responder {
public:
  http_responder(event_loop &Loop, const endpoint &Listen,
                 std::function<std::optional<int>(const http_text &)> Handler);
  ~http_responder();

private:
  void accept();

  event_loop &Loop;
  int Listener;
  descriptor_watch Watch;
  std::function<std::optional<int>(const http_text &)> Handler;
  std::vector<std::shared_ptr<stand_in::connection>> Connections;
};

} // namespace teasellock::soak
