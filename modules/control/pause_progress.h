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
void recordPauseReply(const group_state &Group, leader_state &Leader,
                      const wire::fence_reply &Reply, time_point Now);

/// Records the attempt of a group state that this leader is about to commit.
/// Discards the progress if the promotion has ended or pauses replicas again.
void recordAttempt(const group_state &Next, leader_state &Leader);

/// Records that the order of the current attempt was sent to the platform.
void recordPlatformOrderSent(const group_state &Group, leader_state &Leader,
                             time_point Now);

/// Records the platform's answer to the order of an attempt; ignored if a later
/// attempt has been made.
void recordPlatformAnswer(const group_state &Group, leader_state &Leader,
                          std::uint32_t Attempt, promotion_answer Answer);

} // namespace teasellock
