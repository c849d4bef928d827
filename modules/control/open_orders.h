/// Orders to the platform to promote an upstream, from their decision until
/// they certainly have no further effect (promotion_method::Pause).
///
/// An accepted order takes effect some hundred milliseconds later and can't be
/// taken back; the platform checks the fencing token of one without an answer
/// when it carries it out, seconds later at worst. A leader may have sent an
/// order before it lost the leadership, and the next one sends another. So
/// each order is counted in the replicated state until one of these ends it:
///
/// - its upstream leads a new term: an order for it has taken effect;
/// - its upstream has left;
/// - the platform refuses it;
/// - OrderEffectTimeout has passed since the answer to a later one: those that
///   were accepted before have taken effect, and the others are refused.
///
/// While a primary has open orders it isn't demoted, as one of them would make
/// it lead again. An order for the primary itself, which changes nothing, gets
/// the answer that ends them.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// An order that failed without being refused is sent again after this: the
/// platform accepts tens of calls per second.
const duration FailedOrderDelay = fromMilliseconds(200);

/// Returns the progress of the group's last order if this leader has decided
/// on it, or null.
const order_progress *orderProgressOf(const group_state &Group,
                                      const leader_state &Leader);

/// Adds an order for the upstream to a group state that is to be committed.
void addOrder(group_state &Next, const upstream_id &Upstream);

/// Removes one order for the upstream, if there is one.
void endOrder(group_state &Next, const upstream_id &Upstream);

/// Reports whether orders for other upstreams than this one, and than the
/// primary that is being replaced without being demoted, may still take effect.
bool hasOrdersForOthers(const group_state &Group, const upstream_id &Upstream);

/// Reports whether orders may still take effect for any upstream but this one.
bool hasOrdersExceptFor(const group_state &Group,
                        const std::optional<upstream_id> &Upstream);

/// Returns how many orders may still promote an upstream other than the one
/// that is chosen, if any, and the primary that is being replaced.
std::uint32_t countOrdersForOthers(const group_state &Group);

/// Reports whether earlier orders may still take effect: the last answer to
/// this leader, or its election if there was none, is too recent.
bool mayOrdersTakeEffect(const group_state &Group, const leader_state &Leader,
                         const decision_settings &Settings, time_point Now);

/// Returns the next step that ends the open orders of a group with a primary:
/// an order for the primary, waiting for the answer, or their end. None is made
/// unless the primary was seen to lead: a process that has started under its id
/// has no log, and the order would promote it.
group_decision decideOpenOrders(const group_state &Group,
                                const leader_state &Leader,
                                const decision_settings &Settings,
                                time_point Now, bool PrimaryLeads);

/// Records a decision of this leader that is about to be committed.
void recordOrderDecided(const group_decision &Decision, leader_state &Leader);

/// Records that the group's last order was sent to the platform.
void recordPlatformOrderSent(const group_state &Group, leader_state &Leader,
                             time_point Now);

/// Records the platform's answer to an order; ignored if a later one was sent.
void recordPlatformAnswer(const group_id &Group, leader_state &Leader,
                          std::uint64_t OrderNumber, promotion_answer Answer,
                          time_point Now);

} // namespace teasellock
