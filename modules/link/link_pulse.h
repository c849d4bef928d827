/// When a link sends a heartbeat, and when its peer counts as silent.
///
/// Load answered: thousands of links of which most carry nothing. Every entry
/// has a link to every gateway; heartbeats four times a second on all of them
/// are more bytes than the statements.
#pragma once

#include "core/time.h"

namespace teasellock {

/// Periods of a link's heartbeats. Links that carried a message lately are
/// watched closely, the others are not.
struct pulse_settings {
  /// A link that sent nothing for this long sends a heartbeat.
  duration Period = fromMilliseconds(250);
  /// Four heartbeats: a frozen VM is left before most callers give up.
  duration SilenceLimit = fromMilliseconds(1000);
  /// How long after a message the link counts as in use.
  duration InUse = fromMilliseconds(2000);
  duration IdlePeriod = fromMilliseconds(1500);
  /// More than two heartbeats of an idle link.
  duration IdleSilenceLimit = fromMilliseconds(4000);
};

/// What a link has heard and sent. Messages of either side, not heartbeats,
/// keep it in use: both ends see the same ones.
struct link_pulse {
  time_point LastHeard;
  time_point LastSent;
  time_point LastMessage;
  /// When the present use began.
  time_point InUseSince;
};

/// Notes a message that was sent or has arrived.
void noteMessage(link_pulse &Pulse, const pulse_settings &Settings,
                 time_point Now);

/// Whether to send a heartbeat now.
bool heartbeatDue(const link_pulse &Pulse, const pulse_settings &Settings,
                  time_point Now);

/// Whether the peer has been silent for too long. A peer that is asked after a
/// while without messages gets the whole limit from then on.
bool isSilent(const link_pulse &Pulse, const pulse_settings &Settings,
              time_point Now);

/// Whether a peer in use has been silent for half of that. Others may have
/// failed with it: idle links are then watched closely as well, or callers
/// would wait for one after the other.
bool isDoubtful(const link_pulse &Pulse, const pulse_settings &Settings,
                time_point Now);

/// Whether the link carries nothing, so that it is not watched closely.
bool isIdle(const link_pulse &Pulse, const pulse_settings &Settings,
            time_point Now);

} // namespace teasellock
