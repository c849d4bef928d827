/// Chooses the control VM that a VM sends its renewals and the requests of
/// operators to.
#pragma once

#include "core/endpoint.h"

#include <functional>
#include <optional>
#include <vector>

namespace teasellock {

/// The control VMs that are known, and what is known about them.
struct control_selection {
  /// From the settings.
  std::vector<endpoint> Configured;
  /// Named by the last reply, in addition.
  std::vector<endpoint> Named;
  /// Contacted first if it can be reached.
  std::optional<endpoint> Leader;
  /// Index of the next one to contact, in Configured followed by Named.
  std::size_t Next = 0;
  /// The last one that did not reply to a renewal. Skipped until another one
  /// replies, unless it is the leader or the only one.
  std::optional<endpoint> Unresponsive;
};

/// Reports whether a control VM can be reached now.
using reachability = std::function<bool(const endpoint &)>;

/// Returns the control VM to contact, or nothing if none can be reached. In
/// that case the unresponsive one is tried again from then on.
std::optional<endpoint> chooseControl(control_selection &Selection,
                                      const reachability &IsReachable);

/// Forgets the leader and moves on to the next control VM.
void selectNextControl(control_selection &Selection);

/// Records that a control VM has not replied to a renewal, and moves on.
void recordNoReply(control_selection &Selection,
                   const std::optional<endpoint> &Target);

/// Records that a control VM has replied to a renewal.
void recordReply(control_selection &Selection,
                 const std::optional<endpoint> &Target);

} // namespace teasellock
