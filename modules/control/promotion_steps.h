/// Decisions shared by both promotion methods.
#pragma once

#include "modules/control/leader_state.h"

#include <string>

namespace teasellock {

/// Returns a decision without an action, with the reason for waiting.
group_decision waitingFor(std::string Reason);

/// Returns a decision that commits a change of the group.
group_decision changeTo(group_state Next, std::string Kind, std::string Reason);

/// Returns the group's state at the start of a promotion: without a primary, in
/// the phase Fencing.
group_state beginFencing(const group_state &Group, const std::string &Reason);

} // namespace teasellock
