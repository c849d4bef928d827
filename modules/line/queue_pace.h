/// How fast a queue moves, and which statements are better refused than queued.
///
/// Load answered: more statements than the slots of a primary can run, for
/// seconds on end (all replicas lag, a burst). Without this every statement
/// waits until it is too late and the slots work for callers that have left.
#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>

namespace teasellock {

/// The pace at which statements leave a queue.
struct queue_pace {
  time_point LastStart;
  /// Whether statements waited when the last one was started.
  bool Backlogged = false;
  /// Between two starts while statements wait.
  duration Gap{};
};

/// Notes that a statement left the queue.
void noteStart(queue_pace &Pace, std::size_t StillWaiting, time_point Now);

/// How long a statement with so many before it will wait.
duration expectedWait(const queue_pace &Pace, std::size_t Ahead);

/// What a statement that asks to wait brings.
struct wait_demand {
  /// What its caller hopes for; zero when that is not known.
  duration Target{};
  duration Remaining{};
  /// How long an upstream takes for it now.
  duration Latency{};
};

/// Whether a statement may wait for so long: it must be answered in its time,
/// and the wait must leave most of what its caller hopes for to the rest of
/// the operation.
bool mayWait(const wait_demand &Demand, duration Wait);

/// How many statements one of so many gateways runs at once on an upstream with
/// so many slots.
///
/// Load answered: more statements than an upstream's slots can run. What is
/// sent there waits in order of arrival, and fills its queue until it refuses
/// work; what waits here goes in order of importance. It also bounds the
/// connections that an upstream still counts after all VMs have lost power.
std::uint32_t mostInFlight(std::uint32_t Slots, std::size_t Gateways);

} // namespace teasellock
