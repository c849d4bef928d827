/// Leases: one for each VM, covering all its groups.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

enum class renewal_verdict {
  /// The lease runs anew.
  Granted,
  /// No lease yet: the run reports a group that was released when its earlier
  /// lease had ended unheard, and must let go of it first.
  HoldsReleased,
  /// A newer incarnation of that VM is known.
  Refused,
  /// The VM or this incarnation must be committed first.
  Unregistered,
};

/// Judges a renewal and, if it is granted, notes its reports and counts the
/// lease from Now.
renewal_verdict takeRenewal(const control_state &State, leader_state &Leader,
                            const wire::renewal &Renewal,
                            const decision_settings &Settings, time_point Now);

/// The record to commit for a renewal, if it differs from the known one.
/// Throws error when the VM's address can't be read.
std::optional<vm_record> changedRecord(const control_state &State,
                                       const wire::renewal &Renewal);

/// When a gateway run can no longer hold a lease. A leader that has not
/// granted it one waits for the longest that an earlier leader could have.
time_point leaseEnd(const leader_state &Leader, const gateway_run &Run,
                    const decision_settings &Settings);

/// Whether a VM was heard within a span.
bool heardWithin(const leader_state &Leader, const vm_id &Vm, duration Span,
                 time_point Now);

/// Reads a report's probes.
std::map<upstream_id, upstream_observation>
readReports(const std::vector<wire::upstream_report> &Reports);

/// Forgets ended leases that no group needs any more.
void forgetEndedLeases(const control_state &State, leader_state &Leader,
                       time_point Now);

} // namespace teasellock
