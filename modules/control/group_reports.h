/// What gateways last reported on a group's upstreams.
#pragma once

#include "modules/control/leader_state.h"

#include <string>

namespace teasellock {

/// A gateway's latest report on the group, if it is from the assigned run.
const group_observation *reportOf(const group_state &Group,
                                  const leader_state &Leader,
                                  const gateway_share &Share);

/// A report's probe of an upstream. Null without one, or without a report.
const upstream_observation *probeOf(const group_observation *Report,
                                    const upstream_id &Upstream);

/// The latest probe of each upstream over all gateways that are alive.
std::map<upstream_id, upstream_observation>
latestProbes(const group_state &Group, const leader_state &Leader,
             const decision_settings &Settings, time_point Now);

/// Each upstream with its position, for events and operators.
std::string
positionsText(const std::map<upstream_id, upstream_observation> &Probes);

/// "250 ms".
std::string millisecondsText(duration Span);

} // namespace teasellock
