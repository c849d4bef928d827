/// The gateway's work for a group whose upstreams speak the line protocol.
///
/// Upstreams refuse writes and plain transactions themselves once they have
/// lost the lead, so nothing here depends on a lease: the view only says where
/// to ask first.
#pragma once

#include "modules/gateway/group_port.h"
#include "modules/line/line_protocol.h"

#include <memory>

namespace teasellock {

/// How the gateway speaks to upstreams and how often it looks at them.
struct line_group_settings {
  const line_protocol *Protocol = nullptr;
  /// Towards upstreams.
  std::string User = "teasellock";
  duration ConnectTimeout = fromMilliseconds(1000);
  /// A probe without an answer after this finds the upstream unreachable: many
  /// times a round trip between regions, below what callers wait.
  duration ProbeTimeout = fromMilliseconds(600);
  /// A sample of the primary's position is taken so often at least.
  duration SamplePeriod = fromMilliseconds(300);
  /// A replica that no statement has shown the position of is asked after this.
  duration PositionPeriod = fromMilliseconds(600);
};

/// Makes the work for a group.
std::shared_ptr<group_port> makeLineGroup(daemon_context &Context,
                                          membership_hooks Member,
                                          const line_group_settings &Settings,
                                          const group_id &Group);

} // namespace teasellock
