/// Decides when a write may be acknowledged to its caller.
///
/// The upstream's answer alone is not enough: a write is acknowledged once a
/// probe of the primary, started after the answer, has returned a position and
/// enough replicas have flushed the log up to it. The functions here are pure
/// state transitions; group_gateway calls them on its event loop.
#pragma once

#include "core/position.h"
#include "core/time.h"
#include "modules/upstream/dialect.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teasellock {

/// A write that the upstream has answered and that is not acknowledged yet.
struct unacknowledged_write {
  std::uint64_t Id = 0;
  /// The term in which the write was sent to the primary.
  term Term;
  time_point AnsweredAt;
  time_point Deadline;
  /// The primary's position in the first probe started after AnsweredAt: the
  /// write's commit record lies at or before it. Empty until that probe ends.
  std::optional<position> CoveringPosition;
};

/// The pending writes of a group and what has been acknowledged so far.
struct acknowledgement_gate {
  /// Writes of this term and of older terms are no longer acknowledged.
  term FencedTerm;
  /// The highest position that this gateway has acknowledged.
  position HighestAcknowledged;
  std::vector<unacknowledged_write> Pending;
};

/// A successful probe of the primary.
struct primary_probe {
  time_point StartedAt;
  position Position;
  std::vector<replica_flush> Replicas;
};

/// The circumstances under which writes may be acknowledged.
struct acknowledgement_conditions {
  term ViewTerm;
  std::uint32_t AckReplicas = 1;
  /// The replicas of the view; flushes of other servers are ignored.
  std::set<upstream_id> Replicas;
  bool LeaseValid = false;
  time_point Now;
};

/// The result for one write that left the gate.
struct acknowledgement_result {
  std::uint64_t Id = 0;
  /// False if the outcome of the write is unknown; Problem says why.
  bool Acknowledged = false;
  position Reached;
  std::string Problem;

  bool operator==(const acknowledgement_result &) const = default;
};

/// Adds a write that the upstream has answered.
void addPendingWrite(acknowledgement_gate &Gate, unacknowledged_write Write);

/// Evaluates a probe of the view's primary and returns the writes that may be
/// acknowledged. Returns nothing without a valid lease, in a fenced term and
/// when the probe is of another term than the view.
std::vector<acknowledgement_result>
applyProbe(acknowledgement_gate &Gate, const primary_probe &Probe,
           const acknowledgement_conditions &Conditions);

/// Permanently stops acknowledging in Term and all older terms: only writes of
/// a higher term can be acknowledged afterwards. Returns the pending writes of
/// these terms with an unknown outcome.
std::vector<acknowledgement_result> applyFence(acknowledgement_gate &Gate,
                                               term Term);

/// Removes the pending writes of other terms than the view's. Their outcome is
/// unknown.
std::vector<acknowledgement_result> applyViewTerm(acknowledgement_gate &Gate,
                                                  term ViewTerm);

/// Removes the pending writes past their deadline. Their outcome is unknown.
std::vector<acknowledgement_result>
expirePendingWrites(acknowledgement_gate &Gate, time_point Now);

/// Reports whether writes of a term may be acknowledged, which is so unless it
/// has been fenced.
bool canAcknowledge(const acknowledgement_gate &Gate, term Term);

} // namespace teasellock
