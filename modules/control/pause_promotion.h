/// Promotion of upstreams that refuse writes themselves once they have lost
/// the lead, and whose replicas can be told to receive nothing more.
///
/// A write is acknowledged once a replica has received it. When no replica
/// receives any more, nothing is acknowledged any more, and the replica with
/// the highest position holds all that was. A replica that left or started
/// again may have been the only one with a write: it marks the group dirty
/// until another replica is seen at a position of the primary that was read
/// after the loss was known.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// Which parts of the rule are in force; tests switch single ones off.
struct pause_rules {
  /// All replicas must be heard, not just one.
  bool All = true;
  /// Only positions read after the pause count.
  bool Paused = true;
  /// The run that answered must be the one that is known.
  bool Run = true;
  /// No promotion while the group is dirty.
  bool Dirty = true;
};

/// The next step towards a primary, if one is due.
group_decision decidePausePromotion(const group_state &Group,
                                    const leader_state &Leader,
                                    const decision_settings &Settings,
                                    time_point Now,
                                    const pause_rules &Rules = {});

/// Clears the dirty mark once another replica has what a lost one may have
/// confirmed.
group_decision decidePauseCleaning(const group_state &Group,
                                   const leader_state &Leader);

/// Notes that gateways were asked to pause the replicas.
void notePausesSent(const group_state &Group, leader_state &Leader,
                    const std::vector<gateway_run> &Runs, time_point Now);

/// Takes a gateway's answer to that.
void takePauseReply(const group_state &Group, leader_state &Leader,
                    const wire::fence_reply &Reply, time_point Now);

/// Notes that this leader has decided on an attempt.
void noteAttempt(const group_state &Next, leader_state &Leader);

/// Notes that the order of the present attempt was sent.
void noteOrderSentToPlatform(const group_state &Group, leader_state &Leader,
                             time_point Now);

/// Takes the platform's answer to an order.
void takePlatformAnswer(const group_state &Group, leader_state &Leader,
                        std::uint32_t Attempt, promotion_answer Answer);

} // namespace teasellock
