/// Limiters: which VM counts the operations of which organisations.
///
/// At most one VM process may act on a slot at any time. A process acts if the
/// assignment that it has applied names it and its incarnation as the holder,
/// and its limiter lease is valid. The lease is granted only together with the
/// newest assignment, unless the VM has that already. A slot is therefore
/// assigned in two steps: an entry of the log takes it from the former holder,
/// so that every later grant tells that holder so; the next one assigns it once
/// the former holder can't act any more.
///
/// A former leader may answer renewals after a new leader was elected. It does
/// so only for renewals that were sent before: it handles a renewal once a
/// quorum has confirmed it at a time after the renewal arrived, or less than
/// half an election timeout before, and the quorum elects no other leader for a
/// whole election timeout after that. As the lease counts from when the renewal
/// was sent, it ends at most the lease time after the new leader's election.
/// limiterLeaseEnd() waits for that.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// The change of one slot, for the event log.
struct limiter_change {
  std::size_t Slot = 0;
  /// The process that gets or loses the slot.
  vm_id Vm;
  incarnation Incarnation;
  std::string Reason;
};

/// The next assignment, to be committed, and what changes; empty if nothing
/// does.
struct limiter_decision {
  std::optional<limiter_assignment> Next;
  std::vector<limiter_change> Changes;
};

/// Decides on all slots. The assignment is empty unless an organisation of the
/// deployment in force has a limit.
limiter_decision decideLimiters(const control_state &State,
                                const leader_state &Leader,
                                const decision_settings &Settings,
                                time_point Now);

/// Adds the limiter lease to the reply to a granted renewal that the leader
/// handles at Now, and the assignment if the VM has an older one. Adds nothing
/// while the assignment is empty.
void grantLimiterLease(const control_state &State, leader_state &Leader,
                       const wire::renewal &Renewal,
                       const decision_settings &Settings, time_point Now,
                       wire::renewal_reply &Reply);

/// Returns the time from which an incarnation can no longer hold a limiter
/// lease, granted by this leader or an earlier one.
time_point limiterLeaseEnd(const leader_state &Leader,
                           const gateway_incarnation &Process,
                           const decision_settings &Settings);

/// Removes limiter leases that have ended.
void removeEndedLimiterLeases(leader_state &Leader, time_point Now);

/// Reports whether a VM holds a limiter slot or may still act on one.
bool holdsLimiterSlot(const limiter_assignment &Assignment, const vm_id &Vm);

/// Reports whether an organisation of the deployment has a limit.
bool hasLimits(const deployment &Deployment);

} // namespace teasellock
