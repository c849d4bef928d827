/// Assignment: which VMs are gateways of a group, and when one that no longer
/// is has let go of it.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// Brings a group's gateways, their budgets and the holders of earlier shares
/// up to date.
group_decision decideAssignment(const control_state &State,
                                const group_state &Group,
                                const leader_state &Leader,
                                const decision_settings &Settings,
                                time_point Now);

/// Whether a VM that drains has nothing left to hand over.
bool isReleased(const control_state &State, const vm_id &Vm);

} // namespace teasellock
