#include "bench/gap_tracker.h"

#include <algorithm>

namespace teasellock::bench {

void recordAcknowledgedWrite(gap_tracker &Tracker, time_point Start,
                             time_point End) {
  if (!Tracker.OpenSince && End - Start > Tracker.LateThreshold)
    Tracker.OpenSince = Start;
  if (!Tracker.OpenSince)
    return;
  if (End >= Tracker.CountedFrom) {
    Tracker.Longest = std::max(Tracker.Longest, End - *Tracker.OpenSince);
    ++Tracker.GapCount;
  }
  Tracker.OpenSince.reset();
}

void recordFailedWrite(gap_tracker &Tracker, time_point Start) {
  if (!Tracker.OpenSince)
    Tracker.OpenSince = Start;
}

duration longestGap(const gap_tracker &Tracker, time_point Now) {
  if (!Tracker.OpenSince)
    return Tracker.Longest;
  return std::max(Tracker.Longest, Now - *Tracker.OpenSince);
}

} // namespace teasellock::bench
