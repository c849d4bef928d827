/// The gateway's handling of a group whose upstreams speak the line protocol.
///
/// An upstream that is no longer the primary rejects writes and read-write
/// transactions itself, so correctness does not depend on this gateway's lease.
/// The group view names the upstreams; probes find out which one is the
/// primary.
#pragma once

#include "modules/gateway/group_handler.h"
#include "modules/line/even_load.h"
#include "modules/line/line_protocol.h"

#include <memory>

namespace teasellock {

/// How the gateway connects to upstreams and how often it probes them.
struct line_group_settings {
  /// Never null once the gateway runs.
  const line_protocol *Protocol = nullptr;
  /// User name of the gateway's sessions at upstreams.
  std::string User = "teasellock";
  duration ConnectTimeout = fromMilliseconds(1000);
  /// An upstream counts as unreachable when a probe has no answer after this:
  /// many round trips between regions, but less than callers wait.
  duration ProbeTimeout = fromMilliseconds(600);
  /// Maximum interval between samples of the primary's log position.
  duration SampleInterval = fromMilliseconds(300);
  /// A replica is probed for its position when nothing was received from it for
  /// this long.
  duration PositionInterval = fromMilliseconds(600);
  even_load_settings EvenLoad;
};

/// Creates the gateway of one group whose upstreams speak the line protocol.
std::shared_ptr<group_handler>
makeLineGroup(daemon_context &Context, membership_hooks Member,
              const line_group_settings &Settings, const group_id &Group);

} // namespace teasellock
