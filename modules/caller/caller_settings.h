#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <string>

namespace teasellock {

/// Settings of a caller_server.
struct caller_settings {
  /// The address to accept callers on; port 0 lets the system choose.
  endpoint Listen;
  /// The key that signs session tokens; the same on all entries, so that each
  /// accepts the tokens of the others.
  std::string TokenSecret;
  /// The timeout of one statement unless the caller sets statement_timeout.
  duration StatementTimeout = fromMilliseconds(30000);
  /// The maximum number of open connections; further ones are refused with
  /// 53300.
  std::size_t MaxCallers = 20000;
};

} // namespace teasellock
