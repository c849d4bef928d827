/// Chooses the groups that the control leader decides on next, so that its work
/// depends on the number of events and not on the number of groups.
#pragma once

#include "modules/control/leader_state.h"

#include <set>
#include <vector>

namespace teasellock {

/// Groups that are due for a decision.
struct decision_queue {
  /// Groups with a new report or a committed change.
  std::set<group_id> Pending;
  /// Groups for which a step may become due by time alone; see isSettled.
  std::set<group_id> Unsettled;
  /// The group after which the sweep over all groups continues.
  group_id SweepPosition;
};

/// Number of ticks in which the sweep visits every group.
constexpr std::size_t TicksPerSweep = 10;

/// Removes and returns the groups with new reports or committed changes.
std::vector<group_id> popPending(decision_queue &Queue);

/// Returns the groups that are due on a timer tick: those that are not settled
/// and the next part of the sweep, which it advances.
std::vector<group_id> advanceSweep(decision_queue &Queue,
                                   const control_state &State);

/// Reports whether no step can become due for the group by time alone before
/// the sweep visits it again: all its gateways have recently reached its
/// primary, and no change is in progress.
bool isSettled(const group_state &Group, const leader_state &Leader,
               const decision_settings &Settings, time_point Now);

/// Records after a decision whether the group is settled.
void recordSettled(decision_queue &Queue, const group_id &Group, bool Settled);

} // namespace teasellock
