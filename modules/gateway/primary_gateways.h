/// Which gateways of a group serve the statements that only the primary may
/// execute, and which statements those are.
///
/// Designed against a split queue: with a gateway in each availability zone,
/// the few slots of a primary were divided among as many queues, and gateways
/// in another region needed a round trip between regions for each message to
/// the primary. Entries send these statements to the gateways in the primary's
/// region, from where the primary is near.
#pragma once

#include "modules/control/group_view.h"
#include "modules/gateway/gen/gateway_messages_types.h"

#include <set>

namespace teasellock {

/// Reports whether only the primary may execute a statement: a write, a read
/// that tolerates no staleness, or a transaction that is not both read-only and
/// tolerant of staleness.
bool needsPrimary(const wire::statement_request &Request);

/// Returns the VMs whose gateways serve a group's primary: those in its region,
/// or all if there are none or the group has no primary.
std::set<vm_id> primaryGateways(const group_view &View);

} // namespace teasellock
