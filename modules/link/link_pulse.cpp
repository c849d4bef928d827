#include "modules/link/link_pulse.h"

#include <algorithm>

namespace teasellock {

namespace {

duration unheardInUse(const link_pulse &Pulse, time_point Now) {
  return Now - std::max(Pulse.LastHeard, Pulse.InUseSince);
}

} // namespace

bool isIdle(const link_pulse &Pulse, const pulse_settings &Settings,
            time_point Now) {
  return Now - Pulse.LastMessage > Settings.InUse;
}

void noteMessage(link_pulse &Pulse, const pulse_settings &Settings,
                 time_point Now) {
  if (isIdle(Pulse, Settings, Now))
    Pulse.InUseSince = Now;
  Pulse.LastMessage = Now;
}

bool heartbeatDue(const link_pulse &Pulse, const pulse_settings &Settings,
                  time_point Now) {
  bool Idle = isIdle(Pulse, Settings, Now);
  return Now - Pulse.LastSent >= (Idle ? Settings.IdlePeriod : Settings.Period);
}

bool isSilent(const link_pulse &Pulse, const pulse_settings &Settings,
              time_point Now) {
  if (isIdle(Pulse, Settings, Now))
    return Now - Pulse.LastHeard > Settings.IdleSilenceLimit;
  return unheardInUse(Pulse, Now) > Settings.SilenceLimit;
}

bool isDoubtful(const link_pulse &Pulse, const pulse_settings &Settings,
                time_point Now) {
  return !isIdle(Pulse, Settings, Now) &&
         unheardInUse(Pulse, Now) > Settings.SilenceLimit / 2;
}

} // namespace teasellock
