#pragma once

#include "core/time.h"

#include <optional>

namespace teasellock::bench {

/// Finds the longest span in which writes of a group were impossible: from the
/// start of the first failed or late write to the next acknowledgement.
struct gap_tracker {
  /// Writes that took longer count as failed from their start on.
  duration LateAfter{};
  /// Gaps that end before are not counted.
  time_point CountedFrom{};
  std::optional<time_point> OpenSince;
  duration Longest{};
  std::uint64_t Gaps = 0;
};

/// A write that began at Start was acknowledged at End.
void writeAcknowledged(gap_tracker &Tracker, time_point Start, time_point End);

/// A write that began at Start was refused, lost or given up.
void writeFailed(gap_tracker &Tracker, time_point Start);

/// The longest gap, with one that is still open at the end of the run.
duration longestGap(const gap_tracker &Tracker, time_point Now);

} // namespace teasellock::bench
