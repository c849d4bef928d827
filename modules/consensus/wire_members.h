#pragma once

#include "modules/consensus/control_member.h"
#include "modules/consensus/gen/consensus_messages_types.h"

namespace teasellock {

/// Converts members to the form in which they are sent and stored.
std::vector<wire::consensus_member> toWire(const member_list &Members);

/// Converts members back. Throws error when an address is not valid.
member_list fromWire(const std::vector<wire::consensus_member> &Members);

} // namespace teasellock
