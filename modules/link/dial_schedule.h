/// When a peer is dialled again, and how long a dial may take.
///
/// Load answered: VMs that come back within a second of each other, as after a
/// loss of power. What is sent to a VM without power is lost without an answer,
/// and the kernel repeats it only after a second: a dial that began too early
/// must be given up for a new one.
#pragma once

#include "core/time.h"

namespace teasellock {

/// The next dial of one peer.
struct dial_schedule {
  /// Given up when the peer has not answered by then: several round trips
  /// between regions.
  duration Timeout = fromMilliseconds(150);
  /// From the end of a connection or a dial to the next dial.
  duration Delay = fromMilliseconds(50);
};

/// Notes a dial that failed or a connection that ended. Returns how long to
/// wait until the next dial.
duration noteDialEnded(dial_schedule &Schedule);

/// Notes that the peer has answered.
void notePeerAnswered(dial_schedule &Schedule);

} // namespace teasellock
