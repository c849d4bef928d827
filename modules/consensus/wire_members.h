#pragma once

#include "modules/consensus/control_member.h"
#include "modules/consensus/gen/consensus_messages_types.h"

namespace teasellock {

/// Members as they are sent and stored.
std::vector<wire::consensus_member> toWire(const member_list &Members);

/// Throws error when an address is not one.
member_list fromWire(const std::vector<wire::consensus_member> &Members);

} // namespace teasellock
