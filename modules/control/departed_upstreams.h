/// Upstreams that are gone without having said so: those whose process has been
/// replaced by another one at their address, and those that have been silent
/// for very long.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// Removes an upstream whose address a later process announces under another
/// id: only one process listens there. If it was the primary and the later
/// process claims to be it, that takes its place. Returns no change if there is
/// none, or while an order to the platform may be carried out.
group_decision decideSuccession(const group_state &Group);

/// Reports whether a replica has neither announced itself within
/// UpstreamLossTimeout nor is reached by any gateway.
bool isLost(const group_state &Group, const leader_state &Leader,
            const std::map<upstream_id, upstream_observation> &Probes,
            const decision_settings &Settings, time_point Now,
            const upstream_id &Upstream);

/// Removes a lost replica of a group that has a primary. The group becomes
/// dirty: the replica may have been the only one to hold a write.
group_decision
decideLostReplica(const group_state &Group, const leader_state &Leader,
                  const std::map<upstream_id, upstream_observation> &Probes,
                  const decision_settings &Settings, time_point Now);

} // namespace teasellock
