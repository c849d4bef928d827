/// What the upstreams of a group have answered while its primary is replaced,
/// and which of them may be promoted.
#pragma once

#include "modules/control/pause_promotion.h"

#include <optional>
#include <string>
#include <utility>

namespace teasellock {

/// A primary that no gateway could demote within this time is replaced like one
/// that has failed.
const duration DemotionTimeout = fromMilliseconds(1000);

/// What the upstreams of a group have answered so far.
struct pause_answers {
  /// Null before gateways were first asked.
  const pause_progress *Progress = nullptr;
  /// The replicas that are paused and confirmed, and the former primary once it
  /// is demoted.
  std::map<upstream_id, paused_replica> Confirmed;
  /// The others, for the reason to wait.
  std::string Missing;
  /// A replica that counts as lost has not answered: it may have been the only
  /// one to confirm a commit.
  bool HasLost = false;

  bool isOlderThan(duration Span, time_point Now) const {
    return Progress && Now - Progress->StartedAt >= Span;
  }
};

/// An upstream that may be promoted, and its answer.
using candidate = std::pair<const upstream_id, paused_replica>;

/// Returns the primary that is to be demoted before it is replaced, if any.
std::optional<upstream_id> demotionTarget(const group_state &Group);

pause_answers collectAnswers(const group_state &Group,
                             const leader_state &Leader,
                             const decision_settings &Settings, time_point Now,
                             const pause_rules &Rules);

/// Reports whether a leader has led for long enough that every upstream that
/// runs has announced itself. A replica that started while there was no leader
/// may have confirmed writes.
bool hasHeardAll(const leader_state &Leader, const decision_settings &Settings,
                 time_point Now);

/// Returns the highest position that gateways are known to have acknowledged in
/// the group's term, or up to its start.
position acknowledgedPosition(const group_state &Group,
                              const leader_state &Leader);

/// Reports whether a replica has left that may have been the only one to
/// confirm an acknowledged write. The log of the deposed primary has those of
/// its term.
bool mayLackWrites(const group_state &Group, const pause_answers &Answers);

/// Reports whether the replica's log is known to have every acknowledged write.
/// If every replica that may have confirmed one has answered, the highest has.
/// If one is lost, only a replica that has reached the acknowledged position
/// has, and an empty log never has any of them.
bool hasAllAcknowledged(const group_state &Group, const leader_state &Leader,
                        const pause_answers &Answers,
                        const paused_replica &Replica);

/// Returns the upstream to promote if all replicas are paused, or null. The
/// writes of a lost replica are waited for as long as that or the former
/// primary may still come back, and for good if no replica is known to have
/// them.
const candidate *candidateOfPauses(const group_state &Group,
                                   const leader_state &Leader,
                                   const pause_answers &Answers,
                                   const decision_settings &Settings,
                                   time_point Now, const pause_rules &Rules);

/// Returns the upstream to promote if the primary was demoted, or null: any
/// that has the primary's whole log. The former primary itself has, but
/// replicas that have not answered yet are preferred for a while. Null if
/// another upstream may have led since.
const candidate *candidateAfterDemotion(const group_state &Group,
                                        const pause_answers &Answers,
                                        time_point Now);

} // namespace teasellock
