/// The links of an entry to gateways: which ones are opened and closed as views
/// change and gateways fail. The rules are in gateway_choice.h.
#pragma once

#include "modules/routing/gateway_choice.h"
#include "modules/routing/routing_state.h"

namespace teasellock {

/// Returns the gateways of a group as seen now.
std::vector<gateway_option> gatewayOptions(const routing_state &State,
                                           const group_routes &Routes,
                                           time_point Now);

/// Applies the gateways of a new or changed view. Returns those that have moved
/// to another address, which ends their links.
std::vector<vm_id> applyGateways(routing_state &State, const group_view &View,
                                 time_point Now, routing_effects &Effects);

/// Records that the link to a gateway has opened.
void recordLinkOpened(routing_state &State, const vm_id &Gateway,
                      time_point Now, routing_effects &Effects);

/// Records that the link to a gateway has ended.
void recordLinkFailed(routing_state &State, const vm_id &Gateway,
                      time_point Now, routing_effects &Effects);

/// Adds links in place of those that have not opened in time, and closes links
/// that have not been needed or used for a while. To be called regularly.
void reviewLinks(routing_state &State, time_point Now,
                 routing_effects &Effects);

} // namespace teasellock
