/// Heartbeats and failure detection of a link.
///
/// Designed for thousands of links of which many are idle, such as those to
/// spare gateways: heartbeats four times a second on all of them would need
/// more bytes than the statements. Links without recent messages therefore have
/// longer heartbeat intervals and timeouts.
#pragma once

#include "core/time.h"

namespace teasellock {

/// Heartbeat intervals and timeouts of a link. A link is active for some time
/// after each message, and idle otherwise.
struct heartbeat_settings {
  /// An active link that has sent nothing for this long sends a heartbeat.
  duration Interval = fromMilliseconds(250);
  /// An active link on which nothing has arrived for this long is closed. Four
  /// heartbeat intervals: a frozen VM is abandoned before most callers give up.
  duration Timeout = fromMilliseconds(1000);
  /// How long after a message the link is active.
  duration ActivePeriod = fromMilliseconds(2000);
  duration IdleInterval = fromMilliseconds(1500);
  /// More than two heartbeat intervals of an idle link.
  duration IdleTimeout = fromMilliseconds(4000);
};

/// When a link has last received and sent. Only messages keep it active, not
/// heartbeats. As messages of either side count, both ends agree on whether
/// the link is active.
struct heartbeat_state {
  time_point LastReceivedAt;
  time_point LastSentAt;
  time_point LastMessageAt;
  /// When the link last became active.
  time_point ActiveSince;
};

/// Records that a message, not a heartbeat, was sent or received.
void recordMessage(heartbeat_state &Heartbeat,
                   const heartbeat_settings &Settings, time_point Now);

/// Reports whether a heartbeat has to be sent now.
bool isHeartbeatDue(const heartbeat_state &Heartbeat,
                    const heartbeat_settings &Settings, time_point Now);

/// Reports whether nothing has arrived from the peer for longer than the
/// timeout. For a link that has become active, the time counts from then on.
bool hasTimedOut(const heartbeat_state &Heartbeat,
                 const heartbeat_settings &Settings, time_point Now);

/// Reports whether nothing has arrived on an active link for half of the
/// timeout. Other peers may have failed with this one: all idle links are then
/// made active too, or callers would wait for one timeout after the other.
bool isSuspected(const heartbeat_state &Heartbeat,
                 const heartbeat_settings &Settings, time_point Now);

/// Reports whether the link is idle, so that the longer timeout applies.
bool isIdle(const heartbeat_state &Heartbeat,
            const heartbeat_settings &Settings, time_point Now);

} // namespace teasellock
