/// Backoff and timeout of connection attempts (dials) to a peer.
///
/// Designed for VMs that return within a second of each other, as after a loss
/// of power. A connection request to a VM without power is lost without a
/// reply, and the kernel repeats it only after a second. A dial that started
/// too early must therefore be aborted and replaced by a new one.
#pragma once

#include "core/time.h"

namespace teasellock {

/// Timeout and delay of the next dial to one peer.
struct dial_schedule {
  /// A dial is aborted if the peer has not replied after this time, which is
  /// several round trips between regions.
  duration Timeout = fromMilliseconds(150);
  /// Time from the end of a connection or dial to the next dial.
  duration Delay = fromMilliseconds(50);
};

/// To be called when a dial has failed or a connection has ended. Returns the
/// delay until the next dial, and increases delay and timeout for later ones.
duration backOffDial(dial_schedule &Schedule);

/// Resets the schedule. To be called when the peer has replied.
void resetDialSchedule(dial_schedule &Schedule);

} // namespace teasellock
