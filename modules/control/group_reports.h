/// Access to the latest reports of a group's gateways.
#pragma once

#include "modules/control/leader_state.h"

#include <string>

namespace teasellock {

/// Returns a gateway's latest report on the group, or null if the assigned
/// incarnation has not reported.
const group_observation *reportOf(const group_state &Group,
                                  const leader_state &Leader,
                                  const gateway_share &Share);

/// Returns a report's probe of an upstream, or null. The report may be null.
const upstream_observation *probeOf(const group_observation *Report,
                                    const upstream_id &Upstream);

/// Returns the latest successful probe of each upstream over all gateways that
/// are alive.
std::map<upstream_id, upstream_observation>
latestProbes(const group_state &Group, const leader_state &Leader,
             const decision_settings &Settings, time_point Now);

/// Lists each upstream with its position, for the event log and operators.
std::string
positionsText(const std::map<upstream_id, upstream_observation> &Probes);

/// Formats a duration, such as "250 ms".
std::string millisecondsText(duration Span);

} // namespace teasellock
