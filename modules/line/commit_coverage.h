/// Which commits a gateway has seen at a replica that control knows.
///
/// A primary confirms a commit once any replica has received it, also one that
/// control does not know yet. Control promotes the highest of the replicas that
/// it knows, all of which it has paused before. So a gateway acknowledges a
/// commit only once it has itself seen a replica of its view at or beyond the
/// commit's position. An order to promote then need not wait for gateways, and
/// a replica that control does not know does not matter.
///
/// What counts is the process that control pauses. A connection to a replica
/// reaches the same process as long as it is open, so it must have been opened
/// before control last confirmed that the group has a primary: every later
/// promotion pauses that process, or takes its end into account.
#pragma once

#include "core/position.h"
#include "core/timer_service.h"

namespace teasellock {

/// What a gateway knows of the commits of one group that replicas have.
struct commit_coverage {
  /// Whether commits wait for a replica at all: a primary may confirm them
  /// without one.
  bool IsRequired = true;
  /// At this time or later control knew a primary of ConfirmedTerm or a later
  /// term, and no promotion was under way.
  time_point ConfirmedAt;
  term ConfirmedTerm;
  /// Highest position seen at a replica that counts.
  position Covered;
};

/// Position that a replica has reported over one connection.
struct replica_sighting {
  time_point ConnectedAt;
  /// Highest position in its log.
  position Received;
};

/// Records that control knew a primary of Term, and no promotion was under way,
/// at At or later.
void confirmLeadership(commit_coverage &Coverage, time_point At, term Term);

/// Reports whether the sighting counts: the connection is old enough, and the
/// replica has followed a primary of the confirmed term or a later one.
bool isConfirmed(const commit_coverage &Coverage,
                 const replica_sighting &Sighting);

/// Raises what is covered by a sighting that counts.
void recordSighting(commit_coverage &Coverage,
                    const replica_sighting &Sighting);

/// Reports whether a commit is known to be in the log of a replica. A log of a
/// later term need not contain it.
bool covers(const commit_coverage &Coverage, const position &Commit);

} // namespace teasellock
