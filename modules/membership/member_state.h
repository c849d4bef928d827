/// The state that a VM has received from control, and its lease.
#pragma once

#include "core/daemon_context.h"
#include "modules/control/group_view.h"
#include "modules/deployment/deployment.h"
#include "modules/limits/limiter_view.h"

#include <map>
#include <vector>

namespace teasellock {

/// The lease and the views of one VM.
struct member_state {
  vm_id Self;
  incarnation Incarnation;
  /// Whether this incarnation may use gateway shares that control gave to an
  /// earlier incarnation of this VM. Safe when that one has ended, so that
  /// nothing is acknowledged under its lease.
  bool InheritsShares = false;
  /// The lease is valid before this instant.
  time_point LeaseEnd;
  /// All views were in force at this time or later: when the last renewal was
  /// sent whose granted reply completed them.
  time_point ConfirmedAt;
  /// Highest revision up to which all changes are in Views.
  revision Applied;
  std::map<group_id, group_view> Views;
  /// Never replaced by an older version.
  deployment Deployment;
  /// Revision and group of the last view in an incomplete reply, after which
  /// the next reply continues. Zero and empty after a complete reply.
  revision AfterRevision;
  group_id AfterGroup;
  /// The assignment of limiters, never replaced by an older one, and this VM's
  /// limiter lease.
  limiter_view Limiters;
};

/// Returns a renewal with the VM's identity and what it has applied.
wire::renewal describeMember(const member_state &State,
                             const vm_identity &Self);

/// Applies the reply to a renewal that was sent at SentAt; the lease counts
/// from then. Views are only replaced by ones of a higher revision. A reply
/// that is not granted changes nothing; one that is older than the applied
/// revision or based on changes that the VM lacks, or whose views are pending,
/// changes only the deployment, if it contains a newer version. Throws error if
/// the reply's deployment is malformed. Returns the groups whose views have
/// changed.
std::vector<group_id> applyRenewalReply(member_state &State,
                                        const wire::renewal_reply &Reply,
                                        time_point SentAt);

/// Applies the assignment of limiters and the limiter lease in the reply to a
/// renewal that was sent at SentAt; the lease counts from then. A reply that is
/// not granted changes nothing. Throws error if an address is malformed.
/// Returns whether the assignment has changed.
bool applyLimiters(member_state &State, const wire::renewal_reply &Reply,
                   time_point SentAt);

/// Reports whether this VM holds a slot of the assignment.
bool holdsLimiterSlot(const member_state &State);

/// Applies views that control sent without a renewal. Changes nothing if the VM
/// lacks earlier changes, or has later ones. Returns the groups whose views
/// have changed.
std::vector<group_id> applyViewPush(member_state &State,
                                    const wire::view_push &Push);

/// Reports whether this VM is a gateway of one of the groups according to the
/// new or the current views, so that control waits for its report.
bool concernsOwnGateways(const member_state &State,
                         const std::vector<wire::group_view> &Groups);

/// Reports whether the lease is valid at an instant.
bool isLeaseValid(const member_state &State, time_point Now);

/// Returns why a promote request is outdated and must be refused, or an empty
/// text if it may be executed.
std::string promotionRefusal(const member_state &State,
                             const wire::promote &Order);

} // namespace teasellock
