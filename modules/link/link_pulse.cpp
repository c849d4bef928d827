#include "modules/link/link_pulse.h"

#include <algorithm>

namespace teasellock {

namespace {

bool inUse(const link_pulse &Pulse, const pulse_settings &Settings,
           time_point Now) {
  return Now - Pulse.LastMessage <= Settings.InUse;
}

} // namespace

void noteMessage(link_pulse &Pulse, const pulse_settings &Settings,
                 time_point Now) {
  if (!inUse(Pulse, Settings, Now))
    Pulse.InUseSince = Now;
  Pulse.LastMessage = Now;
}

bool heartbeatDue(const link_pulse &Pulse, const pulse_settings &Settings,
                  time_point Now) {
  bool InUse = inUse(Pulse, Settings, Now);
  return Now - Pulse.LastSent >=
         (InUse ? Settings.Period : Settings.IdlePeriod);
}

bool isSilent(const link_pulse &Pulse, const pulse_settings &Settings,
              time_point Now) {
  if (!inUse(Pulse, Settings, Now))
    return Now - Pulse.LastHeard > Settings.IdleSilenceLimit;
  time_point Since = std::max(Pulse.LastHeard, Pulse.InUseSince);
  return Now - Since > Settings.SilenceLimit;
}

} // namespace teasellock
