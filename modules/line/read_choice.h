/// Which upstream serves a read, and from which position on its data is good.
#pragma once

#include "core/ids.h"
#include "core/position.h"
#include "core/time.h"

#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace teasellock {

/// A position of the primary: everything acknowledged before it was asked for
/// is at or below it.
struct primary_sample {
  time_point AskedAt;
  position Position;
};

/// What a read must see.
struct read_demand {
  time_point ArrivedAt;
  /// Writes acknowledged longer ago than this must be seen.
  duration MaxStaleness{};
  /// The session's own writes.
  std::optional<position> Floor;
  /// An upstream that should have had the floor lacked it: the floor may be of
  /// a log that was rolled back. Only a sample taken since arrival counts.
  bool FloorDoubted = false;
};

/// The latest samples, oldest first.
using sample_history = std::deque<primary_sample>;

/// Adds a sample and forgets those older than Kept. Samples that are closer
/// together than Spacing replace each other, so that the history stays small.
void addSample(sample_history &History, const primary_sample &Sample,
               duration Spacing, duration Kept);

/// The least position that an upstream must have for a read: of the oldest
/// sample that is recent enough, so that replicas may lag as far as the read
/// tolerates. Nothing when no sample is recent enough to tell.
std::optional<position> neededPosition(const read_demand &Demand,
                                       const sample_history &History);

/// An upstream as a read may use it.
struct read_option {
  upstream_id Upstream;
  /// Where its data is known to be.
  position Applied;
  bool Primary = false;
  /// A connection is free or may be opened.
  bool Free = false;
  /// What its distance costs, as time.
  duration DistanceCost{};
  /// What one statement takes there now, by its latest answers.
  duration Latency{};
  /// Statements of this gateway that run there.
  std::uint32_t Running = 0;
  std::uint32_t Slots = 1;
};

/// The upstream expected to answer first among those that have the position
/// and a free connection; the primary counts as slower, as its slots also
/// serve what no replica can. Null when there is none.
const read_option *chooseUpstream(const std::vector<read_option> &Options,
                                  const position &Needed,
                                  const std::set<upstream_id> &Tried);

} // namespace teasellock
