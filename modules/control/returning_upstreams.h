/// Upstreams that were given up after a long silence and announce themselves
/// again: they were cut off, not gone.
///
/// One announcement proves nothing, since it may have been on its way for as
/// long as its sender was silent, and the sender may have crashed meanwhile.
/// All that was held up arrives together, so a later one shows that it runs.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// Records an announcement of an upstream that was given up. Reports whether it
/// has certainly returned.
bool hasReturned(leader_state &Leader,
                 const upstream_announcement &Announcement, time_point Now);

} // namespace teasellock
