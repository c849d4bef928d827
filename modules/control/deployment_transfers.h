/// Decides when the leader sends the deployment to a VM.
///
/// A copy may take seconds on a slow link, during which the VM sends further
/// renewals. A link delivers what was sent, so a VM that is behind gets no
/// second copy while the first is on its way, and a newer version only after
/// the VM has reported the one before.
#pragma once

#include "modules/deployment/deployment.h"
#include "modules/link/link_hub.h"

#include <map>

namespace teasellock {

/// The last copy that was sent to a VM.
struct deployment_transfer {
  link_id Link;
  /// What the VM had applied then. A copy is a patch of this version, of no
  /// use if the VM has got another one since.
  deployment_version Base;
  time_point SentAt;
  /// Another copy is sent if the VM has not reported this one for so long.
  duration ResendDelay{};
};

/// The copies that VMs have not reported as applied, by VM.
using deployment_transfers = std::map<vm_id, deployment_transfer>;

/// A renewal's state of the deployment, and the link that it came on.
struct deployment_report {
  vm_id Vm;
  link_id Link;
  /// The version that the VM has applied.
  deployment_version Applied;
};

/// Reports whether the reply to a renewal should contain the newest version,
/// and records that it is sent. A copy on a link that has ended counts as lost.
bool startTransfer(deployment_transfers &Transfers,
                   const deployment_report &Report, deployment_version Newest,
                   time_point Now);

} // namespace teasellock
