/// Whether a primary has failed, from what its gateways say.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// What the gateways that are alive say of the primary.
struct primary_health {
  std::uint32_t Alive = 0;
  std::uint32_t Reaching = 0;
  /// Unreachable for the failure timeout.
  std::uint32_t Lost = 0;
  /// Known to be down.
  std::uint32_t Refused = 0;
  std::vector<vm_id> ToAsk;
  std::string Text;
};

/// Sums up the reports of the group's gateways. The group must have a primary.
primary_health healthOf(const group_state &Group, const leader_state &Leader,
                        const decision_settings &Settings, time_point Now);

/// Whether the primary is to be replaced: no gateway that is alive reaches it,
/// and enough of them say that it is down or have lost it.
bool isSuspect(const group_state &Group, const primary_health &Health);

} // namespace teasellock
