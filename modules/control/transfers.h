/// Large parts of renewal replies that are on their way to VMs.
///
/// On a slow link a part may take seconds, during which the VM sends further
/// renewals. A link delivers what was sent, so the same part is not sent again
/// while it is on its way: copies would keep the link full.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "modules/link/link_hub.h"

#include <algorithm>
#include <map>

namespace teasellock {

/// A part is sent again after this time if the VM still reports what it had
/// applied before: it has discarded the part. The delay doubles each time, so
/// that copies can't fill a link on which one takes longer.
const duration MinResendDelay = fromMilliseconds(3000);
const duration MaxResendDelay = fromMilliseconds(60000);

/// What a renewal says that a VM has applied, and the link that it came on.
template <typename Version> struct applied_report {
  vm_id Vm;
  link_id Link;
  Version Applied;
};

/// The last part that was sent to a VM.
template <typename Version> struct transfer {
  link_id Link;
  /// What the VM had applied then. The part is of no use if this has changed.
  Version Base;
  time_point SentAt;
  duration ResendDelay{};
};

/// The parts that VMs have not reported as applied.
template <typename Version>
using transfer_map = std::map<vm_id, transfer<Version>>;

/// Reports whether the part after what the VM has applied was sent on this
/// link, which may still deliver it. A link that has ended has lost its parts.
template <typename Version>
bool wasSent(const transfer_map<Version> &Transfers,
             const applied_report<Version> &Report) {
  auto Last = Transfers.find(Report.Vm);
  return Last != Transfers.end() && Last->second.Link == Report.Link &&
         Last->second.Base == Report.Applied;
}

/// Reports whether that part is on its way, so that it must not be sent again
/// now.
template <typename Version>
bool isOnItsWay(const transfer_map<Version> &Transfers,
                const applied_report<Version> &Report, time_point Now) {
  if (!wasSent(Transfers, Report))
    return false;
  const auto &Last = Transfers.at(Report.Vm);
  return Now - Last.SentAt < Last.ResendDelay;
}

/// Records that the part after what the VM has applied is sent now.
template <typename Version>
void recordTransfer(transfer_map<Version> &Transfers,
                    const applied_report<Version> &Report, time_point Now) {
  duration ResendDelay = MinResendDelay;
  if (wasSent(Transfers, Report))
    ResendDelay =
        std::min(2 * Transfers.at(Report.Vm).ResendDelay, MaxResendDelay);
  Transfers[Report.Vm] = {Report.Link, Report.Applied, Now, ResendDelay};
}

} // namespace teasellock
