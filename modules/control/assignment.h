/// Assignment: which VMs are gateways of a group, and when a former gateway has
/// released it.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// Updates a group's gateways, their shares of the budget, and the holders of
/// earlier shares. In hand mode, a change of the gateways becomes a proposal
/// until an operator approves it.
group_decision decideAssignment(const control_state &State,
                                const group_state &Group,
                                const leader_state &Leader,
                                const decision_settings &Settings,
                                time_point Now);

/// Reports whether VMs are still registering for the first time with this
/// leader. What is assigned to the first few would have to move to others at
/// once.
bool areVmsRegistering(const leader_state &Leader,
                       const decision_settings &Settings, time_point Now);

/// Reports whether no group is assigned to a VM and it holds no share of one
/// and no limiter slot, so that a draining VM may stop.
bool isReleased(const control_state &State, const vm_id &Vm);

} // namespace teasellock
