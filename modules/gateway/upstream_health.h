/// What a gateway knows about an upstream from its probes.
#pragma once

#include "core/time.h"
#include "modules/control/gen/control_messages_types.h"
#include "modules/upstream/dialect.h"

#include <deque>
#include <optional>
#include <string>

namespace teasellock {

/// The result of one probe.
struct probe_result {
  time_point StartedAt;
  time_point EndedAt;
  /// Empty when the probe failed.
  std::optional<upstream_status> Status;
  std::string Problem;
  /// The connection was refused or reset, so that the server is known to be
  /// down; otherwise it may just be unresponsive.
  bool ConnectionRefused = false;
  /// The probe timed out on the existing connection and then succeeded on a new
  /// one.
  bool OldConnectionUnresponsive = false;
};

/// The state of an upstream according to its probes.
struct upstream_health {
  bool Probed = false;
  bool Reachable = false;
  std::optional<time_point> UnreachableSince;
  /// The last answer and the start and end of its probe.
  upstream_status Status;
  time_point StatusStartedAt;
  time_point StatusAt;
  std::string Problem;
  bool ConnectionRefused = false;
};

/// Records a probe. Returns true if it is the first one or the reachability
/// changed.
bool recordProbe(upstream_health &Health, const probe_result &Probe);

/// Returns the report of an upstream for control.
wire::upstream_report toReport(const upstream_id &Upstream,
                               const upstream_health &Health, time_point Now);

/// Samples of the primary's position over time, from which the age of a
/// replica's data is derived: a replica that has replayed a sampled position
/// holds all data as of the start of that sample's probe.
class position_history {
public:
  /// Adds a sample. The gateway's lease must have been valid when the answer
  /// arrived: otherwise another primary may have accepted later writes.
  void add(time_point ProbeStartedAt, const position &Primary);

  /// Returns an upper bound on the age of the data of a replica, or nothing if
  /// it has not replayed the oldest sample.
  std::optional<duration> ageOf(const position &Replayed, time_point Now) const;

private:
  struct sample {
    time_point ProbeStartedAt;
    position PrimaryPosition;
  };
  std::deque<sample> Samples;
};

} // namespace teasellock
