/// Admission control for the upstreams of one group.
///
/// Each gateway has a share of every upstream: a number of slots (statements
/// that execute at a time) and a number of connections. Statements beyond them
/// wait in a bounded queue. The functions here only count: they change the
/// state and return in admission_effects what group_gateway has to do.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace teasellock {

/// The priority of a statement when slots, connections or queue space are
/// scarce: reads are shed before writes and statements of transactions.
enum class work_class {
  Read,
  Write,
  /// Part of an open transaction, which already holds its connection.
  Pinned,
};

/// A statement that requests execution.
struct queued_work {
  std::uint64_t Id = 0;
  work_class Class = work_class::Read;
  /// When it is removed from the queue, without having been executed.
  time_point Deadline;
};

/// This gateway's limits for one upstream and their current use.
struct upstream_admission {
  std::uint32_t SlotLimit = 0;
  std::uint32_t ConnectionLimit = 0;
  /// Statements that are executing.
  std::uint32_t Running = 0;
  /// Connections that execute a statement, hold an open transaction or are
  /// being opened.
  std::uint32_t Occupied = 0;
  /// Open connections in the pool.
  std::uint32_t Idle = 0;
  std::deque<queued_work> Queue;
};

/// The admission state of one group.
struct admission_state {
  /// Statements that may be queued, over all upstreams of the group.
  std::uint32_t QueueLimit = 0;
  std::map<upstream_id, upstream_admission> Upstreams;
};

/// What the caller of these functions has to do.
struct admission_effects {
  /// Statements to execute now. A slot and a connection are reserved for each.
  std::vector<queued_work> Start;
  /// Statements to answer as not run: the queue is full or their deadline has
  /// passed.
  std::vector<std::uint64_t> Shed;
  /// The number of idle connections to close.
  std::uint32_t CloseIdle = 0;
};

/// Starts, queues or sheds a statement. When the queue is full, a write or a
/// statement of a transaction displaces the newest queued read.
void submitWork(admission_state &State, const upstream_id &Upstream,
                queued_work Work, admission_effects &Effects);

/// Removes a statement from the queue. Returns false if it is not queued.
bool removeQueuedWork(admission_state &State, const upstream_id &Upstream,
                      std::uint64_t Id);

/// What happens to the connection of a statement that has ended.
enum class connection_disposition {
  /// It returns to the pool, or is closed if the limit has shrunk.
  ReturnToPool,
  /// It stays pinned to its open transaction.
  KeepPinned,
  /// It is closed.
  Close,
};

/// Releases the slot of a statement that has ended. Returns whether the
/// connection stays open.
bool finishWork(admission_state &State, const upstream_id &Upstream,
                connection_disposition Disposition, admission_effects &Effects);

/// Releases the connection of a transaction in which no statement is executing.
/// Returns whether the connection stays open.
bool releasePinnedConnection(admission_state &State,
                             const upstream_id &Upstream,
                             connection_disposition Disposition,
                             admission_effects &Effects);

/// Handles the loss of an idle connection.
void handleIdleConnectionLost(admission_state &State,
                              const upstream_id &Upstream,
                              admission_effects &Effects);

/// Sets this gateway's share of an upstream. Use above a lowered limit is not
/// interrupted; it falls as statements end.
void setLimits(admission_state &State, const upstream_id &Upstream,
               std::uint32_t Connections, std::uint32_t Slots,
               admission_effects &Effects);

/// Sheds queued statements whose deadline has passed, in queue order.
void expireQueuedWork(admission_state &State, time_point Now,
                      admission_effects &Effects);

/// Returns the number of statements queued for all upstreams.
std::size_t countQueued(const admission_state &State);

/// Returns the number of connections to an upstream, open or being opened.
std::uint32_t countConnections(const upstream_admission &Upstream);

} // namespace teasellock
