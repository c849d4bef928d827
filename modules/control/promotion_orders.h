/// Records the fences and promote orders that the leader has sent for a group,
/// and the replies. Each function starts from empty records if the group's term
/// has changed since.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// Returns the orders of the group's current term, or null if there are none.
const group_orders *ordersOf(const group_state &Group,
                             const leader_state &Leader);

/// Records that fences were sent to the gateways.
void recordFencesSent(const group_state &Group, leader_state &Leader,
                      const std::vector<gateway_incarnation> &Gateways,
                      time_point Now);

/// Records a gateway's reply to the fence that was sent at FenceSentAt; ignored
/// if it is for another term.
void recordFenceReply(const group_state &Group, leader_state &Leader,
                      const gateway_incarnation &Gateway,
                      const wire::fence_reply &Reply, time_point FenceSentAt);

/// Records that a promote order was sent; clears the reply to an earlier one.
void recordOrderSent(const group_state &Group, leader_state &Leader,
                     time_point Now);

/// Records a gateway's reply to a promote order; ignored if it is for another
/// term or upstream.
void recordPromoteReply(const group_state &Group, leader_state &Leader,
                        const wire::promote_reply &Reply);

} // namespace teasellock
