#include "modules/link/link_heartbeat.h"

#include <algorithm>

namespace teasellock {

namespace {

duration timeSinceReceivedWhileActive(const heartbeat_state &Heartbeat,
                                      time_point Now) {
  return Now - std::max(Heartbeat.LastReceivedAt, Heartbeat.ActiveSince);
}

} // namespace

bool isIdle(const heartbeat_state &Heartbeat,
            const heartbeat_settings &Settings, time_point Now) {
  return Now - Heartbeat.LastMessageAt > Settings.ActivePeriod;
}

void recordMessage(heartbeat_state &Heartbeat,
                   const heartbeat_settings &Settings, time_point Now) {
  if (isIdle(Heartbeat, Settings, Now))
    Heartbeat.ActiveSince = Now;
  Heartbeat.LastMessageAt = Now;
}

bool isHeartbeatDue(const heartbeat_state &Heartbeat,
                    const heartbeat_settings &Settings, time_point Now) {
  bool Idle = isIdle(Heartbeat, Settings, Now);
  return Now - Heartbeat.LastSentAt >=
         (Idle ? Settings.IdleInterval : Settings.Interval);
}

bool hasTimedOut(const heartbeat_state &Heartbeat,
                 const heartbeat_settings &Settings, time_point Now) {
  if (isIdle(Heartbeat, Settings, Now))
    return Now - Heartbeat.LastReceivedAt > Settings.IdleTimeout;
  return timeSinceReceivedWhileActive(Heartbeat, Now) > Settings.Timeout;
}

bool isSuspected(const heartbeat_state &Heartbeat,
                 const heartbeat_settings &Settings, time_point Now) {
  return !isIdle(Heartbeat, Settings, Now) &&
         timeSinceReceivedWhileActive(Heartbeat, Now) > Settings.Timeout / 2;
}

} // namespace teasellock
