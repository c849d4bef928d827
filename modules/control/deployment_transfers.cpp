#include "modules/control/deployment_transfers.h"

namespace teasellock {

bool startTransfer(deployment_transfers &Transfers,
                   const deployment_report &Report, deployment_version Newest,
                   time_point Now) {
  if (Report.Applied >= Newest) {
    Transfers.erase(Report.Vm);
    return false;
  }
  if (isOnItsWay(Transfers, Report, Now))
    return false;
  recordTransfer(Transfers, Report, Now);
  return true;
}

} // namespace teasellock
