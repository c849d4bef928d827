/// Steps that every way to replace a primary shares.
#pragma once

#include "modules/control/leader_state.h"

#include <string>

namespace teasellock {

/// Nothing is done now, for this reason.
group_decision waitingFor(std::string Why);

/// A change of the group to be committed.
group_decision changeTo(group_state Next, std::string Kind, std::string Reason);

/// The group without its primary, at the begin of a promotion.
group_state beginFencing(const group_state &Group, const std::string &Reason);

} // namespace teasellock
