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
#include <optional>

namespace teasellock {

/// Statements are grouped into kinds by the parameters of their route; those of
/// one kind take about the same time.
struct statement_kind {
  /// Maximum staleness and target latency of the route, in milliseconds.
  std::int64_t StalenessMs = 0;
  std::int64_t TargetMs = 0;

  auto operator<=>(const statement_kind &) const = default;
};

/// Mean execution time of the statements of one kind, measured while the queue
/// is empty.
struct execution_estimate {
  duration Mean{};
  std::uint32_t Samples = 0;
};

using execution_estimates = std::map<statement_kind, execution_estimate>;

/// Records the execution time of a statement. To be called only while no
/// statements are queued: otherwise the time consists mostly of waiting.
void recordExecutionTime(execution_estimates &Estimates,
                         const statement_kind &Kind, duration ExecutionTime);

/// Returns the mean execution time of a kind, or nothing while it has too few
/// samples.
std::optional<duration> knownExecutionTime(const execution_estimates &Estimates,
                                           const statement_kind &Kind);

/// Returns the number of kinds that are notably faster than this one, or zero
/// while this kind has too few samples.
std::uint32_t executionTimeRank(const execution_estimates &Estimates,
                                const statement_kind &Kind);

/// Sort key of a queued statement; the lowest is executed first.
struct queue_key {
  /// Priority of the route; 0 is the highest.
  std::int32_t Priority = 0;
  std::uint32_t ExecutionTimeRank = 0;
  /// Sequence number of the arrival.
  std::uint64_t Arrival = 0;

  auto operator<=>(const queue_key &) const = default;
};

} // namespace teasellock
