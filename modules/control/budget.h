/// Budgets: how a group's connections and slots are divided among its
/// gateways. See docs/decisions/one-shot-budgets.md.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// What all gateways of a group together may hold to each of its upstreams.
struct budget_limits {
  std::uint32_t Connections = 0;
  std::uint32_t Slots = 0;

  bool operator==(const budget_limits &) const = default;
};

/// The least over the upstreams of what each announced, within the table's
/// caps.
budget_limits limitsOf(const group_state &Group);

/// What holders may still hold together.
budget_limits heldBudget(const group_state &Group);

/// Takes the reports that confirm shrunk shares. True if anything changed.
bool confirmShares(group_state &Group, const leader_state &Leader);

/// Decides all shares of the group at once: equal parts of the limits, but no
/// part of a share that another holder has not confirmed to have given up.
/// True if anything changed.
bool divideBudget(group_state &Group);

} // namespace teasellock
