/// HTTP towards the platform and operators, on the process's own loop.
#pragma once

#include "core/daemon_context.h"

#include <functional>
#include <memory>
#include <string>

namespace teasellock {

/// One request, whole.
struct http_request {
  std::string Method;
  std::string Path;
  std::string Body;
  /// What follows "Authorization: Bearer ".
  std::string BearerToken;
};

/// The answer to one request.
struct http_response {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

/// Hands a response back, now or later, once.
using http_reply = std::function<void(http_response)>;

/// Serves HTTP/1.1 at one endpoint.
class http_server {
public:
  /// Throws error when the endpoint can't be bound.
  http_server(daemon_context &Context, const endpoint &Listen,
              std::function<void(http_request, http_reply)> Handler);
  ~http_server();

  /// The endpoint bound, for port 0.
  endpoint bound() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
