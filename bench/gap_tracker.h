#pragma once

#include "core/time.h"

#include <optional>

namespace teasellock::bench {

/// Measures the longest write gap of a group: the time from the start of the
/// first failed or late write to the next acknowledged write.
struct gap_tracker {
  /// A write that takes longer opens a gap at its start.
  duration LateThreshold{};
  /// Gaps that end before this time are ignored.
  time_point CountedFrom{};
  std::optional<time_point> OpenSince;
  duration Longest{};
  std::uint64_t GapCount = 0;
};

/// Records a write that began at Start and was acknowledged at End.
void recordAcknowledgedWrite(gap_tracker &Tracker, time_point Start,
                             time_point End);

/// Records a write that began at Start and was refused, lost or timed out.
void recordFailedWrite(gap_tracker &Tracker, time_point Start);

/// Returns the longest gap, including one that is still open at Now.
duration longestGap(const gap_tracker &Tracker, time_point Now);

} // namespace teasellock::bench
