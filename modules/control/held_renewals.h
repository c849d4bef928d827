/// Holds renewals that arrive while no leader is known, for example after a
/// restart of all VMs.
///
/// After such a restart every VM sends a renewal before the election is over. A
/// VM that is refused tries again only a renewal period later; one whose
/// renewal is held gets its reply as soon as the leader is known.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "modules/link/link_hub.h"

#include <map>
#include <vector>

namespace teasellock {

/// A renewal and the link that its reply is sent on.
struct held_renewal {
  link_id Link;
  link_message Message;
  time_point Since;
};

/// The latest renewal of each VM that waits for a reply.
using held_renewals = std::map<vm_id, held_renewal>;

/// Holds a renewal; replaces an earlier one of the same VM and keeps the time
/// since which that one has waited.
void holdRenewal(held_renewals &Held, const vm_id &Vm, link_id Link,
                 link_message Message, time_point Now);

/// Removes and returns the renewals to reply to now: all once a leader is
/// known, otherwise those that have waited longer than an election takes.
std::vector<held_renewal> popAnswerable(held_renewals &Held, bool LeaderKnown,
                                        time_point Now);

} // namespace teasellock
