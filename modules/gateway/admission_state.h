/// Admission of statements to the upstreams of one group: slots, connections
/// and a bounded queue.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace teasellock {

/// How important a piece of work is under pressure.
enum class work_class {
  Read,
  Write,
  /// Part of an open transaction: it has its connection already.
  Pinned,
};

/// A statement that asks to run.
struct queued_work {
  std::uint64_t Id = 0;
  work_class Class = work_class::Read;
  /// It leaves the queue as not run after this.
  time_point Deadline;
};

/// What one upstream is used for by this gateway.
struct upstream_admission {
  std::uint32_t SlotLimit = 0;
  std::uint32_t ConnectionLimit = 0;
  /// Statements running now.
  std::uint32_t Running = 0;
  /// Connections that run a statement, hold a transaction or are opening.
  std::uint32_t Occupied = 0;
  /// Connections open without work.
  std::uint32_t Idle = 0;
  std::deque<queued_work> Queue;
};

/// Admission of one group.
struct admission_state {
  std::uint32_t QueueLimit = 0;
  std::map<upstream_id, upstream_admission> Upstreams;
};

/// What is to be done with a piece of work.
struct admission_effects {
  /// Run now. A connection and a slot are taken for it.
  std::vector<queued_work> Start;
  /// Answer "not run": the queue is full or the deadline passed.
  std::vector<std::uint64_t> Shed;
  /// Idle connections to close.
  std::uint32_t CloseIdle = 0;
};

/// Asks to run on an upstream.
void submit(admission_state &State, const upstream_id &Upstream,
            queued_work Work, admission_effects &Effects);

/// Takes work out of the queue. False when it is not there.
bool withdraw(admission_state &State, const upstream_id &Upstream,
              std::uint64_t Id);

/// What becomes of a statement's connection at its end.
enum class connection_fate {
  /// Goes back to the pool.
  Free,
  /// Stays with its transaction.
  Keep,
  /// Is closed.
  Close,
};

/// A running statement ended. Returns whether the connection stays open.
bool finish(admission_state &State, const upstream_id &Upstream,
            connection_fate Fate, admission_effects &Effects);

/// A transaction gave back its connection while no statement ran. Returns
/// whether the connection stays open.
bool releasePinned(admission_state &State, const upstream_id &Upstream,
                   connection_fate Fate, admission_effects &Effects);

/// An idle connection was lost.
void loseIdle(admission_state &State, const upstream_id &Upstream,
              admission_effects &Effects);

/// Sets this gateway's share of an upstream.
void setLimits(admission_state &State, const upstream_id &Upstream,
               std::uint32_t Connections, std::uint32_t Slots,
               admission_effects &Effects);

/// Sheds queued work whose deadline has passed, oldest first.
void expire(admission_state &State, time_point Now, admission_effects &Effects);

/// Statements queued for all upstreams.
std::size_t queued(const admission_state &State);

/// Connections to an upstream, open or opening.
std::uint32_t connections(const upstream_admission &Upstream);

} // namespace teasellock
