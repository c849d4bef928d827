#include "modules/link/dial_schedule.h"

#include <algorithm>

namespace teasellock {

namespace {

/// The time for an answer grows by half with each dial, so that a peer behind a
/// congested network is reached too, and one that comes back is found soon.
constexpr int TimeoutGrowthParts = 2;
constexpr duration MostTimeout = std::chrono::milliseconds(1000);
/// A VM that is back is found within this.
constexpr duration MostDelay = std::chrono::milliseconds(250);

} // namespace

duration noteDialEnded(dial_schedule &Schedule) {
  duration Wait = Schedule.Delay;
  Schedule.Delay = std::min(Schedule.Delay * 2, MostDelay);
  Schedule.Timeout = std::min(
      Schedule.Timeout + Schedule.Timeout / TimeoutGrowthParts, MostTimeout);
  return Wait;
}

void notePeerAnswered(dial_schedule &Schedule) { Schedule = dial_schedule(); }

} // namespace teasellock
