/// Failure detection of a primary from the reports of its gateways.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// Summary of what the gateways report on the primary. The counts are numbers
/// of gateways.
struct primary_health {
  /// Gateways that are alive.
  std::uint32_t AliveGateways = 0;
  /// Gateways that reach the primary.
  std::uint32_t ReachingGateways = 0;
  /// Gateways that have not reached it for the row's failure timeout.
  std::uint32_t TimedOutGateways = 0;
  /// Gateways whose connections it refuses, so that it is known to be down.
  std::uint32_t RefusedGateways = 0;
  /// Gateways to ask for a new report, which may decide whether it has failed.
  std::vector<vm_id> NudgeTargets;
  /// Describes the failed probes for operators; empty if there are none.
  std::string Summary;
};

/// Summarises the reports of the group's gateways. The group must have a
/// primary.
primary_health healthOf(const group_state &Group, const leader_state &Leader,
                        const decision_settings &Settings, time_point Now);

/// Reports whether the primary must be replaced. This is the case if no gateway
/// that is alive reaches it, and it refuses the connections of all of them or
/// has been unreachable for long enough for all of them or for a majority of
/// the group's gateways.
bool hasFailed(const group_state &Group, const primary_health &Health);

} // namespace teasellock
