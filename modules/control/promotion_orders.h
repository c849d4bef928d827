/// Fences and orders to promote that are under way, and their answers.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// The orders under way in the group's term. Null without any.
const group_orders *ordersOf(const group_state &Group,
                             const leader_state &Leader);

/// Notes that fences were sent. Starts anew when the group's term has changed.
void noteFencesSent(const group_state &Group, leader_state &Leader,
                    const std::vector<gateway_run> &Runs, time_point Now);

/// Takes a gateway's answer to the fence that was sent at AskedAt.
void takeFenceReply(const group_state &Group, leader_state &Leader,
                    const gateway_run &Run, const wire::fence_reply &Reply,
                    time_point AskedAt);

/// Notes that an order to promote was sent.
void noteOrderSent(const group_state &Group, leader_state &Leader,
                   time_point Now);

/// Takes a gateway's answer to an order to promote.
void takePromoteReply(const group_state &Group, leader_state &Leader,
                      const wire::promote_reply &Reply);

} // namespace teasellock
