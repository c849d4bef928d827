#pragma once

#include "core/daemon_context.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace teasellock {

/// An HTTP/1.1 request that is sent on a new connection.
struct http_call {
  endpoint Server;
  std::string Method = "POST";
  std::string Path;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  /// Time after which the call fails; the server may still execute it.
  duration Timeout = fromMilliseconds(1000);
};

/// Sends a request. OnDone is called exactly once, after this function has
/// returned, with the status code, or with nullopt when no complete response
/// was received.
void callHttp(daemon_context &Context, http_call Call,
              std::function<void(std::optional<int> Status)> OnDone);

} // namespace teasellock
