/// Calls of callbacks from the event loop.
#pragma once

#include <functional>

namespace teasellock {

/// Calls Callback and logs an exception that it throws as
/// "loop.callback_failed" with the source of the call. An unexpected error of
/// one task must not end the process, and exceptions must not pass through
/// libev.
void callGuarded(const char *Source, const std::function<void()> &Callback);

} // namespace teasellock
