#pragma once

#include "core/daemon_context.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace teasellock {

/// One HTTP/1.1 call on a connection of its own.
struct http_call {
  endpoint Server;
  std::string Method = "POST";
  std::string Path;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  /// The call is given up after this; it may still be carried out.
  duration Timeout = fromMilliseconds(1000);
};

/// Makes a call. Done gets the status, or nothing when no whole answer came.
/// It is called once, not from inside this function.
void callHttp(daemon_context &Context, http_call Call,
              std::function<void(std::optional<int> Status)> Done);

} // namespace teasellock
