#pragma once

#include "modules/control/control_state.h"

namespace teasellock {

/// Bytes of changed groups in one answer to a renewal.
constexpr std::size_t LargestRenewalReply = 64 * 1024;

/// The groups that changed after a revision, oldest change first, as many as
/// one answer takes, and the revision reached with them.
wire::renewal_reply changesSince(const control_state &State, revision Applied);

} // namespace teasellock
