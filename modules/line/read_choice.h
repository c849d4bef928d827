/// Chooses the upstream for a read: which log position its data must have
/// reached, and which of the upstreams that have it is expected to answer
/// first.
#pragma once

#include "core/ids.h"
#include "core/position.h"
#include "core/time.h"

#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace teasellock {

/// A sample of the primary's log position. All writes acknowledged before
/// RequestedAt, when the position was requested, are at or below it.
struct position_sample {
  time_point RequestedAt;
  position Position;
};

/// Which writes a read must see.
struct read_requirement {
  time_point ArrivedAt;
  /// Writes acknowledged this long before the arrival must be visible.
  duration MaxStaleness{};
  /// Position of the session's own latest write.
  std::optional<position> Floor;
  /// Set when the primary itself lacks the floor: the floor may belong to a
  /// part of the log that a failover discarded. It is then ignored, and a
  /// sample requested since the arrival is needed instead.
  bool IgnoreFloor = false;
};

/// The latest samples in order of time.
using position_history = std::deque<position_sample>;

/// Adds a sample and removes those older than Retention. A sample that is
/// closer than Spacing to the one before the latest replaces the latest, so
/// that the history stays small.
void addPositionSample(position_history &History, const position_sample &Sample,
                       duration Spacing, duration Retention);

/// Returns the lowest position that an upstream must have applied to serve a
/// read. It is that of the oldest sample that is recent enough, so that
/// replicas may lag as far as the read tolerates, or the floor if that is
/// higher. Empty when no sample is recent enough.
std::optional<position> requiredPosition(const read_requirement &Requirement,
                                         const position_history &History);

/// An upstream that may serve a read.
struct read_candidate {
  upstream_id Upstream;
  /// Highest position that it is known to have applied.
  position Applied;
  bool IsPrimary = false;
  /// Whether a connection is free or may be opened.
  bool HasConnection = false;
  /// Cost of the distance to it, as latency.
  duration DistanceCost{};
  /// Cost of opening a connection first, as latency; zero if one is free.
  duration ConnectCost{};
  /// Average latency of its latest answers.
  duration Latency{};
  /// Its latency without congestion; zero: not known, Latency counts as it is.
  duration Baseline{};
  /// Time since its latest answer; only with a baseline.
  duration LatencyAge{};
  /// Factor on its expected latency; see costFactor().
  double CostFactor = 1;
  /// Statements of this gateway in flight there.
  std::uint32_t InFlight = 0;
  /// Statements that it executes concurrently.
  std::uint32_t Slots = 1;
};

/// Returns the upstream for a read among those that have the needed position
/// and a connection and are not in Tried, or null when there is none: the one
/// that is expected to answer first. The primary is penalised because its slots
/// also serve the statements that no replica can.
///
/// With Draw, a random number in [0, 1), the choice is random among the best,
/// so that many gateways don't all choose the same one: that upstream and those
/// whose expected latencies are close to its own, weighted by the inverse of
/// these. Another replica takes part if it is as near, because traffic is
/// billed by distance; a farther upstream or the primary only if the first one
/// is congested or unreliable.
///
/// The result points into Candidates.
const read_candidate *
chooseUpstream(const std::vector<read_candidate> &Candidates,
               const position &Required, const std::set<upstream_id> &Tried,
               std::optional<double> Draw = std::nullopt);

} // namespace teasellock
