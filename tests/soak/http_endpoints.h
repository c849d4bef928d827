/// Minimal HTTP/1.1 with one request per connection: a client for the soak
/// test's requests to control, and a server that simulates the platform.
#pragma once

#include "core/timer_service.h"
#include "tests/stand_in/connection.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace teasellock::soak {

/// An HTTP request or response. Header names are in lower case.
struct http_message {
  /// The request line or the status line.
  std::string StartLine;
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// Returns the status code of a response; zero if there is none.
  int statusCode() const;
};

/// Parses one message. Returns nothing while it is incomplete.
std::optional<http_message> parseHttpMessage(std::string_view Bytes);

/// Sends a request. Done is called once: with the response, or with nothing if
/// no complete response arrived within a second. It isn't called if the object
/// is destroyed before.
class http_call {
public:
  http_call(event_loop &Loop, timer_service &Timers, const endpoint &Server,
            const std::string &Method, const std::string &Path,
            const std::string &Body,
            std::function<void(std::optional<http_message>)> Done);

private:
  void finish(std::optional<http_message> Response);

  event_loop &Loop;
  std::unique_ptr<stand_in::connection> Connection;
  timer_subscription Timeout;
  std::function<void(std::optional<http_message>)> Done;
};

/// Serves requests. The handler returns the status code, or nothing to send no
/// response.
class http_responder {
public:
  http_responder(
      event_loop &Loop, const endpoint &Listen,
      std::function<std::optional<int>(const http_message &)> Handler);
  ~http_responder();

private:
  void accept();

  event_loop &Loop;
  int Listener;
  descriptor_watch Watch;
  std::function<std::optional<int>(const http_message &)> Handler;
  std::vector<std::shared_ptr<stand_in::connection>> Connections;
};

} // namespace teasellock::soak
