#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <string>

namespace teasellock {

/// How callers are served.
struct caller_settings {
  endpoint Listen;
  /// Signs session tokens; the same on all entries.
  std::string TokenSecret;
  /// Time for one statement unless the caller sets statement_timeout.
  duration StatementTimeout = fromMilliseconds(30000);
  /// Callers served at once; more are refused with 53300.
  std::size_t MostCallers = 20000;
};

} // namespace teasellock
