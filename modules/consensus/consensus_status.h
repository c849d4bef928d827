#pragma once

#include "modules/consensus/consensus_state.h"

#include <string>

namespace teasellock {

/// What an operator sees of a member, as JSON text. Failed: its disk refused a
/// write and it takes no part any more.
std::string statusText(const consensus_state &State, bool Failed,
                       time_point Now);

} // namespace teasellock
