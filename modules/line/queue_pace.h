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
  /// How long it has waited already.
  duration Waited{};
};

/// Whether a statement may wait for so long, or for so much longer: it must be
/// answered in its time, and a new one must leave most of what its caller hopes
/// for to the rest of the operation. One that has waited may use all of it.
bool mayWait(const wait_demand &Demand, duration Wait);

/// How long an upstream takes for statements, and took when it was least busy.
struct latency_level {
  duration Typical{};
  duration Calm{};
};

/// Notes how long a statement took.
void noteLatency(latency_level &Level, duration Took);

/// How many statements one of so many gateways runs at once on an upstream with
/// so many slots.
///
/// Loads answered: more statements than an upstream's slots can run. What is
/// sent there waits in order of arrival, and fills its queue until it refuses
/// work; what waits here goes in order of importance. So each gateway keeps to
/// its part while the upstream takes much longer than when it is calm. And load
/// that falls on a few gateways, as after a restart: while the upstream is
/// calm, one gateway may keep all of its slots busy.
std::uint32_t mostInFlight(const latency_level &Level, std::uint32_t Slots,
                           std::size_t Gateways);

} // namespace teasellock
