/// In which order statements wait for an upstream.
///
/// Load answered: for seconds on end more work than the upstreams' slots can do
/// (all replicas lag, a burst). Served in order of arrival, statements of every
/// kind fail alike; with the quicker kinds first, the same slots serve more
/// callers.
#pragma once

#include "core/time.h"

#include <compare>
#include <cstdint>
#include <map>

namespace teasellock {

/// Statements of one kind of route take about the same time.
struct work_kind {
  /// Tolerated staleness and target latency of the route, in milliseconds.
  std::int64_t StalenessMs = 0;
  std::int64_t TargetMs = 0;

  auto operator<=>(const work_kind &) const = default;
};

/// How long statements of one kind take where nothing waits.
struct work_estimate {
  duration Mean{};
  std::uint32_t Samples = 0;
};

using work_estimates = std::map<work_kind, work_estimate>;

/// Notes how long a statement took. Only while nothing waits: else it is mostly
/// the wait that is measured.
void noteWork(work_estimates &Estimates, const work_kind &Kind, duration Took);

/// How many kinds are notably quicker than this one; zero while it is unknown.
std::uint32_t workRank(const work_estimates &Estimates, const work_kind &Kind);

/// A statement's place in the queue: the least goes first.
struct queue_place {
  /// Of the route; 0 is the most important.
  std::int32_t Priority = 0;
  std::uint32_t WorkRank = 0;
  /// Grows with every arrival.
  std::uint64_t Arrival = 0;

  auto operator<=>(const queue_place &) const = default;
};

} // namespace teasellock
