#include "core/guarded_call.h"

#include "core/event_log.h"

namespace teasellock {

void callGuarded(const char *Source, const std::function<void()> &Callback) {
  try {
    Callback();
  } catch (const std::exception &Problem) {
    event("loop.callback_failed", severity::Error)
        .with("source", Source)
        .with("reason", Problem.what());
  }
}

} // namespace teasellock
