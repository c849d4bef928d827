/// Admission control of a gateway: estimates how long a queued statement will
/// wait, decides which statements to refuse instead, and limits how many
/// statements a gateway has in flight on an upstream.
///
/// During overload that lasts for seconds (all replicas lag, a burst) a primary
/// receives more statements than its slots can execute. Without refusals every
/// statement waits until it is too late, and the slots work for callers that
/// have given up.
#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>

namespace teasellock {

/// The rate at which statements leave a queue.
struct queue_rate {
  time_point LastStartAt;
  /// Whether statements still waited when the last one was started.
  bool IsBacklogged = false;
  /// Average interval between two starts while statements wait.
  duration StartInterval{};
};

/// Records that a statement left the queue and was started.
void recordStart(queue_rate &Rate, std::size_t StillWaiting, time_point Now);

/// Returns the expected wait of a statement with QueueDepth statements before
/// it.
duration expectedWait(const queue_rate &Rate, std::size_t QueueDepth);

/// The time that a statement has left for waiting.
struct wait_budget {
  /// Target latency of its route; zero when it has none.
  duration Target{};
  /// Until its deadline.
  duration Remaining{};
  /// Current latency of the upstream.
  duration Latency{};
  /// How long it has waited so far.
  duration Waited{};
};

/// Reports whether a statement may wait for Wait from now on. It must be
/// answered before its deadline. A new statement may wait for a part of its
/// target only, as the rest of the operation needs time too; one that already
/// waits may use all of its target.
bool canWait(const wait_budget &Budget, duration Wait);

/// Latency of an upstream: the typical latency now, and the baseline that it
/// has when it is not congested.
struct latency_trend {
  duration Typical{};
  duration Baseline{};
};

/// How fast the baseline follows a higher latency: always alike, or more slowly
/// while the upstream is congested, so that a long overload does not become the
/// baseline.
enum class baseline_rise { Uniform, SlowWhileCongested };

/// Records the latency of a statement.
void recordLatency(latency_trend &Trend, duration Latency,
                   baseline_rise Rise = baseline_rise::Uniform);

/// Returns the typical latency as a percentage of the baseline; 100 if the
/// baseline is not known yet.
std::int64_t latencyPercent(const latency_trend &Trend);

/// Returns how many statements one of Gateways gateways may have in flight on
/// an upstream with Slots slots.
///
/// An upstream executes statements in order of arrival and refuses work once
/// its queue is full, while a gateway's queue is ordered by priority. So when
/// the upstream is congested, that is, when its latency is far above the
/// baseline, each gateway is limited to its part of the slots and queues the
/// rest itself. Otherwise one gateway may keep all slots busy: after a restart,
/// for example, the load falls on the few gateways that are ready.
std::uint32_t maxInFlight(const latency_trend &Trend, std::uint32_t Slots,
                          std::size_t Gateways);

} // namespace teasellock
