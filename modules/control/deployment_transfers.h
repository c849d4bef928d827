/// Decides when the leader sends the deployment to a VM: a newer version only
/// after the VM has reported the one before.
#pragma once

#include "modules/control/transfers.h"
#include "modules/deployment/deployment.h"

namespace teasellock {

using deployment_transfers = transfer_map<deployment_version>;
using deployment_report = applied_report<deployment_version>;

/// Reports whether the reply to a renewal should contain the newest version,
/// and records that it is sent.
bool startTransfer(deployment_transfers &Transfers,
                   const deployment_report &Report, deployment_version Newest,
                   time_point Now);

} // namespace teasellock
