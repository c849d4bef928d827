/// Leases: one per VM incarnation, covering all its groups.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// The outcome of a renewal.
enum class renewal_verdict {
  /// The lease starts again from now.
  Granted,
  /// No lease: the incarnation reports a group that it lost when an earlier
  /// lease ended, and must release it first.
  HoldsLostGroup,
  /// A newer incarnation of the VM is known.
  Refused,
  /// The VM's record with this incarnation must be committed first.
  Unregistered,
};

/// Decides on a renewal. Records its reports unless it is refused or its
/// incarnation is not registered; if it is granted, starts the lease at Now.
renewal_verdict processRenewal(const control_state &State, leader_state &Leader,
                               const wire::renewal &Renewal,
                               const decision_settings &Settings,
                               time_point Now);

/// Returns the VM record to commit for a renewal, if it differs from the known
/// one. Throws error if the VM's address is malformed.
std::optional<vm_record> changedRecord(const control_state &State,
                                       const wire::renewal &Renewal);

/// Returns the time from which a gateway incarnation can no longer hold a
/// lease. If this leader has not granted one, an earlier leader may have
/// granted one just before this leader was elected.
time_point leaseEnd(const leader_state &Leader,
                    const gateway_incarnation &Gateway,
                    const decision_settings &Settings);

/// Reports whether the last renewal of a VM is no older than Span.
bool hasRenewedWithin(const leader_state &Leader, const vm_id &Vm,
                      duration Span, time_point Now);

/// Converts the probes of a report, by upstream. Negative durations become
/// zero.
std::map<upstream_id, upstream_observation>
parseReports(const std::vector<wire::upstream_report> &Reports);

/// Removes leases that have ended and whose incarnations no longer hold a
/// group.
void removeEndedLeases(const control_state &State, leader_state &Leader,
                       time_point Now);

} // namespace teasellock
