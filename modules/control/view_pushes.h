/// Views that the leader sends to VMs on its own account.
///
/// Designed for hundreds of VMs: a change that each VM is told of, asks for,
/// receives and confirms needs five messages for each VM, most of them decoded
/// by the leader. Instead, the leader encodes the views once and sends them to
/// all VMs that lack the same changes.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "modules/link/link_hub.h"

#include <map>

namespace teasellock {

/// The last push to a VM. Links deliver in order, so whatever is sent later on
/// the same link finds it applied.
struct sent_push {
  link_id Link;
  /// The VM has all changes up to this revision once it has applied the push.
  revision Revision;
  time_point SentAt;
};

using sent_pushes = std::map<vm_id, sent_push>;

/// Returns the revision up to which a VM will have applied all changes when the
/// next message on the link arrives. Reported: what the VM last reported.
revision expectedRevision(const sent_pushes &Pushes, const vm_id &Vm,
                          link_id Link, revision Reported, time_point Now);

/// Returns the time from the start of an update of all outdated VMs to the next
/// one, from how long it took: a series of commits must not use up the time
/// that the log's heartbeats need.
duration nextUpdateInterval(duration LastDuration);

} // namespace teasellock
