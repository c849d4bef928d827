/// Renewals that arrive while no leader is known, as after a restart of all
/// VMs.
///
/// Load answered: every VM asks at once, before the election is over. A VM that
/// is told to look elsewhere asks again a renewal period later; one whose
/// renewal is kept is answered as soon as the leader is known.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "modules/link/link_hub.h"

#include <map>
#include <vector>

namespace teasellock {

/// A renewal and the link that its answer goes to.
struct held_renewal {
  link_id Link;
  link_message Message;
  time_point Since;
};

/// The latest renewal of each VM that waits.
using held_renewals = std::map<vm_id, held_renewal>;

/// Keeps a renewal in place of an earlier one of the same VM, which then counts
/// as having waited since the earlier one came.
void holdRenewal(held_renewals &Held, const vm_id &Vm, link_id Link,
                 link_message Message, time_point Now);

/// Removes and returns what is to be answered now: everything once a leader is
/// known, else what has waited for longer than an election takes.
std::vector<held_renewal> takeAnswerable(held_renewals &Held, bool LeaderKnown,
                                         time_point Now);

} // namespace teasellock
