/// HTTP server for the platform and operators, run by the process's event loop.
#pragma once

#include "core/daemon_context.h"
#include "core/process_resources.h"

#include <functional>
#include <memory>
#include <string>

namespace teasellock {

/// A complete request.
struct http_request {
  std::string Method;
  std::string Path;
  std::string Body;
  /// The token of the header "Authorization: Bearer"; empty if missing.
  std::string BearerToken;
};

/// The response to a request.
struct http_response {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

/// Sends the response to a request. May be called inside the handler or later;
/// further calls are ignored.
using http_reply = std::function<void(http_response)>;

/// Size of the body of one request at most.
constexpr std::size_t MaxRequestBodyBytes = 16 * 1024 * 1024;

/// Memory for the bodies of requests that are being received, if the memory of
/// the process is not known.
constexpr std::size_t DefaultBodyMemoryBytes = 256 * 1024 * 1024;

/// Returns the memory for the bodies of requests that are being received.
std::size_t bodyMemoryFor(const process_resources &Resources);

/// An HTTP/1.1 server on one endpoint. Bodies of more than MaxRequestBodyBytes
/// are answered with status 413, and those that would exceed the memory for all
/// bodies with status 503.
class http_server {
public:
  /// Handler is called for each request. If it throws error, the response has
  /// status 400: the request is at fault; after any other exception it has 500.
  /// Throws error with step "http.listen" when the endpoint can't be bound.
  http_server(daemon_context &Context, const endpoint &Listen,
              std::function<void(http_request, http_reply)> Handler,
              std::size_t MaxBodyMemoryBytes = DefaultBodyMemoryBytes);
  ~http_server();

  /// The endpoint that is listened at, with the actual port if it was set to 0.
  endpoint boundEndpoint() const;

  /// Requests whose response has not been written completely.
  std::size_t inFlight() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
