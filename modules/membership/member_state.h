/// What a VM has been told by control, and its lease.
#pragma once

#include "modules/control/group_view.h"
#include "modules/deployment/deployment.h"

#include <map>
#include <vector>

namespace teasellock {

/// The lease and the views of one VM.
struct member_state {
  vm_id Self;
  incarnation Incarnation;
  /// This run may use shares that control gave to an earlier run of this VM:
  /// that one has ended, and nothing is acknowledged under its lease.
  bool InheritsShares = false;
  /// The lease is valid before this.
  time_point LeaseEnd;
  /// Highest revision whose changes are all in Views.
  revision Applied;
  std::map<group_id, group_view> Views;
  /// Never goes back to an older version.
  deployment Deployment;
  /// The last view of an answer beyond which more follow.
  revision AfterRevision;
  group_id AfterGroup;
};

/// Takes a reply to the renewal that was sent at SentAt. Views only move to
/// higher revisions; a reply that is behind what was applied brings none.
/// Returns the groups whose views changed.
std::vector<group_id> applyReply(member_state &State,
                                 const wire::renewal_reply &Reply,
                                 time_point SentAt);

/// Whether the lease is valid.
bool leaseValid(const member_state &State, time_point Now);

/// Why an order to promote must not be carried out. Empty: it may.
std::string staleOrder(const member_state &State, const wire::promote &Order);

} // namespace teasellock
