#include "modules/link/dial_schedule.h"

#include <algorithm>

namespace teasellock {

namespace {

/// The timeout grows by half with each dial, so that a peer behind a congested
/// network is reached eventually and one that returns is reached soon.
constexpr int TimeoutGrowthDivisor = 2;
constexpr duration MaxTimeout = std::chrono::milliseconds(1000);
/// A VM that has returned is dialled within this time.
constexpr duration MaxDelay = std::chrono::milliseconds(250);

} // namespace

duration backOffDial(dial_schedule &Schedule) {
  duration Wait = Schedule.Delay;
  Schedule.Delay = std::min(Schedule.Delay * 2, MaxDelay);
  Schedule.Timeout = std::min(
      Schedule.Timeout + Schedule.Timeout / TimeoutGrowthDivisor, MaxTimeout);
  return Wait;
}

void resetDialSchedule(dial_schedule &Schedule) { Schedule = dial_schedule(); }

} // namespace teasellock
