/// The order in which a gateway's queued statements are executed: by priority
/// of the route, then by expected execution time, then by arrival.
///
/// During overload that lasts for seconds (all replicas lag, a burst) the
/// upstreams' slots can't execute all statements in time. In order of arrival,
/// statements of all kinds would time out alike; with the faster kinds first,
/// the same slots serve more callers.
#pragma once

#include "core/time.h"

#include <compare>
#include <cstdint>
#include <map>

namespace teasellock {

/// Statements are grouped into kinds by the parameters of their route; those of
/// one kind take about the same time.
struct work_kind {
  /// Maximum staleness and target latency of the route, in milliseconds.
  std::int64_t StalenessMs = 0;
  std::int64_t TargetMs = 0;

  auto operator<=>(const work_kind &) const = default;
};

/// Mean execution time of the statements of one kind, measured while the queue
/// is empty.
struct work_estimate {
  duration Mean{};
  std::uint32_t Samples = 0;
};

using work_estimates = std::map<work_kind, work_estimate>;

/// Records the execution time of a statement. To be called only while no
/// statements are queued: otherwise the time consists mostly of waiting.
void noteWork(work_estimates &Estimates, const work_kind &Kind, duration Took);

/// Returns the number of kinds that are notably faster than this one, or zero
/// while this kind has too few samples.
std::uint32_t workRank(const work_estimates &Estimates, const work_kind &Kind);

/// Sort key of a queued statement; the lowest is executed first.
struct queue_place {
  /// Priority of the route; 0 is the highest.
  std::int32_t Priority = 0;
  std::uint32_t WorkRank = 0;
  /// Sequence number of the arrival.
  std::uint64_t Arrival = 0;

  auto operator<=>(const queue_place &) const = default;
};

} // namespace teasellock
