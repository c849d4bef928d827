#include "modules/control/deployment_transfers.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Resends are for a VM that has discarded a copy. The delays grow, so that
/// copies can't fill a link on which one takes longer than the first delay.
const duration MinResendDelay = fromMilliseconds(3000);
const duration MaxResendDelay = fromMilliseconds(60000);

} // namespace

bool startTransfer(deployment_transfers &Transfers,
                   const deployment_report &Report, deployment_version Newest,
                   time_point Now) {
  if (Report.Applied >= Newest) {
    Transfers.erase(Report.Vm);
    return false;
  }
  duration ResendDelay = MinResendDelay;
  auto Last = Transfers.find(Report.Vm);
  bool IsPending = Last != Transfers.end() &&
                   Last->second.Link == Report.Link &&
                   Last->second.Base == Report.Applied;
  if (IsPending) {
    if (Now - Last->second.SentAt < Last->second.ResendDelay)
      return false;
    ResendDelay = std::min(2 * Last->second.ResendDelay, MaxResendDelay);
  }
  Transfers[Report.Vm] = {Report.Link, Report.Applied, Now, ResendDelay};
  return true;
}

} // namespace teasellock
