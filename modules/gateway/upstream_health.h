/// What a gateway knows of an upstream from its probes.
#pragma once

#include "core/time.h"
#include "modules/control/gen/control_messages_types.h"
#include "modules/upstream/dialect.h"

#include <deque>
#include <optional>
#include <string>

namespace teasellock {

/// One probe, answered or failed.
struct probe_result {
  time_point StartedAt;
  time_point EndedAt;
  /// Nothing when the probe failed.
  std::optional<upstream_status> Status;
  std::string Problem;
  /// Connections are refused or reset: down, not silent.
  bool Refused = false;
  /// The old connection had gone silent while a new one works.
  bool OldConnectionSilent = false;
};

/// The probes of one upstream so far.
struct upstream_health {
  bool Probed = false;
  bool Reachable = false;
  std::optional<time_point> UnreachableSince;
  /// The last answer and when its probe started and ended.
  upstream_status Status;
  time_point StatusStartedAt;
  time_point StatusAt;
  std::string Problem;
  bool Refused = false;
};

/// Takes a probe in. True when reachability changed.
bool record(upstream_health &Health, const probe_result &Probe);

/// The report for control.
wire::upstream_report toReport(const upstream_id &Upstream,
                               const upstream_health &Health, time_point Now);

/// Positions of the primary over time. A replica that has replayed a sampled
/// position holds all data as of the start of that sample's probe.
class position_history {
public:
  /// Only samples whose lease was valid after the answer may be added.
  void add(time_point ProbeStartedAt, const position &Primary);

  /// How old the data of a replica may be at most; nothing when it is older
  /// than all samples.
  std::optional<duration> ageOf(const position &Replayed, time_point Now) const;

private:
  struct sample {
    time_point At;
    position Primary;
  };
  std::deque<sample> Samples;
};

} // namespace teasellock
