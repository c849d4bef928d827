/// What a leader knows about a promotion with paused replicas: the answers of
/// gateways and of the platform.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// Returns what is known about the group's promotion, or null.
const pause_progress *progressOf(const group_state &Group,
                                 const leader_state &Leader);

/// Records that gateways were asked to pause the replicas.
void recordPausesSent(const group_state &Group, leader_state &Leader,
                      const std::vector<gateway_incarnation> &Gateways,
                      time_point Now);

/// Records which replicas a gateway's reply to such a request reports as
/// paused, and the highest position that the gateway may have acknowledged.
/// Ignores the reply to a request of an earlier promotion: the replicas have
/// received more since.
void recordPauseReply(const group_state &Group, leader_state &Leader,
                      const wire::fence_reply &Reply, time_point FenceSentAt,
                      time_point Now);

/// Discards the answers to earlier pauses if the decision, which this leader is
/// about to commit, begins to pause the replicas.
void recordPausingBegins(const group_decision &Decision, leader_state &Leader);

} // namespace teasellock
