/// Budgets: how a group's connections and slots are divided among its
/// gateways. See docs/decisions/one-shot-budgets.md.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// What all gateways of a group together may hold to each of its upstreams:
/// connections, and slots (statements executed at once).
struct budget_limits {
  std::uint32_t Connections = 0;
  std::uint32_t Slots = 0;

  bool operator==(const budget_limits &) const = default;
};

/// Returns the minimum over the upstreams of what each announced, within the
/// caps of the table's row.
budget_limits limitsOf(const group_state &Group);

/// Returns the sum of what the holders may still hold.
budget_limits sumHeldBudget(const group_state &Group);

/// Reduces the holders' entries to the current shares that their reports
/// confirm. Returns true if an entry changed.
bool confirmShares(group_state &Group, const leader_state &Leader);

/// Decides all shares of the group at once: equal parts of the limits, except
/// that nothing is granted that another holder has not confirmed to have
/// released. Returns true if a share changed.
bool divideBudget(group_state &Group);

} // namespace teasellock
