#include "modules/line/queue_pace.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Weight of the latest gap, as one part in so many.
constexpr int GapParts = 8;
/// Longer gaps are pauses of the upstream, not its pace.
constexpr duration LongestGap = std::chrono::milliseconds(100);
/// Part of the target that may be spent in the queue: an operation has several
/// statements, and each takes its own time besides.
constexpr int TargetParts = 2;

} // namespace

void noteStart(queue_pace &Pace, std::size_t StillWaiting, time_point Now) {
  if (Pace.Backlogged) {
    duration Gap = std::min(Now - Pace.LastStart, LongestGap);
    Pace.Gap += (Gap - Pace.Gap) / GapParts;
  }
  Pace.LastStart = Now;
  Pace.Backlogged = StillWaiting > 0;
}

duration expectedWait(const queue_pace &Pace, std::size_t Ahead) {
  return Pace.Gap * static_cast<std::int64_t>(Ahead);
}

bool mayWait(const wait_demand &Demand, duration Wait) {
  if (Wait + Demand.Latency > Demand.Remaining)
    return false;
  return Demand.Target <= duration::zero() ||
         Wait <= Demand.Target / TargetParts;
}

} // namespace teasellock
