#pragma once

#include "modules/consensus/consensus_state.h"

#include <string>

namespace teasellock {

/// Returns the status of a member for operators, as JSON text. Failed is
/// whether the member has stopped taking part after a failure, such as of its
/// disk.
std::string consensusStatusJson(const consensus_state &State, bool Failed,
                                time_point Now);

} // namespace teasellock
