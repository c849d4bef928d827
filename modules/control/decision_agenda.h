/// Which groups the control leader decides on next, so that its work follows
/// what happens and not the number of groups.
#pragma once

#include "modules/control/leader_state.h"

#include <set>
#include <vector>

namespace teasellock {

/// Groups that wait for a decision.
struct decision_agenda {
  /// Something was heard or committed about them.
  std::set<group_id> Marked;
  /// They are not settled: time alone may make a step due.
  std::set<group_id> Unsettled;
  /// Where the sweep over all groups goes on.
  group_id SweepAfter;
};

/// Ticks within which the sweep has visited every group.
constexpr std::size_t TicksPerSweep = 10;

/// Takes the groups that were marked.
std::vector<group_id> takeMarked(decision_agenda &Agenda);

/// Takes the groups that are due when only time has passed: those not settled
/// and the next part of the sweep.
std::vector<group_id> takeDue(decision_agenda &Agenda,
                              const control_state &State);

/// Whether nothing can become due for the group by time alone before the sweep
/// comes by: it has a primary that all its gateways lately reached, and nothing
/// is under way.
bool isSettled(const group_state &Group, const leader_state &Leader,
               const decision_settings &Settings, time_point Now);

/// Notes after a decision whether the group is settled.
void noteSettled(decision_agenda &Agenda, const group_id &Group, bool Settled);

} // namespace teasellock
