/// Decides when a write may be acknowledged to its caller.
#pragma once

#include "core/position.h"
#include "core/time.h"
#include "modules/upstream/dialect.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teasellock {

/// A write whose answer arrived and whose caller waits.
struct waiting_write {
  std::uint64_t Id = 0;
  /// The term in which it was sent.
  term Term;
  time_point AnsweredAt;
  time_point Deadline;
  /// The position that covers it, once a probe has shown one.
  std::optional<position> Covered;
};

/// The writes of a group that are not yet acknowledged.
struct acknowledgement_gate {
  /// Nothing of this term or an older one is acknowledged.
  term FencedTerm;
  /// Highest position this gateway has acknowledged.
  position Acknowledged;
  std::vector<waiting_write> Waiting;
};

/// A probe of the primary, answered.
struct primary_probe {
  time_point StartedAt;
  position Position;
  std::vector<replica_flush> Replicas;
};

/// What holds when a decision is made.
struct gate_conditions {
  term ViewTerm;
  std::uint32_t AckReplicas = 1;
  /// Replicas of the view whose flushing counts.
  std::set<upstream_id> Replicas;
  bool LeaseValid = false;
  time_point Now;
};

/// What became of a waiting write.
struct gate_verdict {
  std::uint64_t Id = 0;
  /// False: the outcome is unknown.
  bool Acknowledged = false;
  position Reached;
  std::string Problem;

  bool operator==(const gate_verdict &) const = default;
};

/// Adds a write whose answer has arrived.
void awaitAcknowledgement(acknowledgement_gate &Gate, waiting_write Write);

/// Takes in a probe of the view's primary.
std::vector<gate_verdict> onProbe(acknowledgement_gate &Gate,
                                  const primary_probe &Probe,
                                  const gate_conditions &Conditions);

/// Stops acknowledging in a term. Remembered until a higher term comes.
std::vector<gate_verdict> fence(acknowledgement_gate &Gate, term Term);

/// Gives up writes of other terms than the view's.
std::vector<gate_verdict> onTerm(acknowledgement_gate &Gate, term ViewTerm);

/// Gives up writes past their deadline.
std::vector<gate_verdict> expire(acknowledgement_gate &Gate, time_point Now);

/// Whether anything may be acknowledged in a term.
bool mayAcknowledge(const acknowledgement_gate &Gate, term Term);

} // namespace teasellock
