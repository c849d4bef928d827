#include "modules/control/group_reports.h"
#include "modules/control/pause_promotion.h"
#include "modules/control/promotion_steps.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Ages are reported in whole milliseconds, rounded down.
const duration AgeResolution = fromMilliseconds(1);

} // namespace

group_decision decidePauseDirtyClearing(const group_state &Group,
                                        const leader_state &Leader) {
  if (!Group.Dirty || !Group.Primary)
    return {};
  auto Orders = Leader.Orders.find(Group.Group);
  if (Orders == Leader.Orders.end() ||
      Orders->second.DirtySince != Group.DirtySince)
    return {};
  // The lowest position of the primary that was read after the group was marked
  // dirty.
  std::optional<position> Primary;
  position Replica;
  for (const auto &Share : Group.Gateways) {
    const auto *Report = reportOf(Group, Leader, Share);
    if (!Report)
      continue;
    auto DirtyApplied = Orders->second.DirtyAppliedAtUs.find(
        gateway_incarnation(Share.Vm, Share.Incarnation));
    for (const auto &[Name, Probe] : Report->Upstreams) {
      if (!Probe.Reachable)
        continue;
      if (Name != *Group.Primary) {
        if (Probe.IsReplica && Group.Upstreams.contains(Name))
          Replica = std::max({Replica, Probe.Replayed, Probe.Received});
        continue;
      }
      std::int64_t ProbedAtUs =
          Report->SentAtUs - (Probe.Age + AgeResolution).count();
      if (Probe.IsReplica ||
          DirtyApplied == Orders->second.DirtyAppliedAtUs.end() ||
          ProbedAtUs <= DirtyApplied->second)
        continue;
      // Received is the end of the primary's log; Replayed has the term in
      // which it is primary.
      if (!Primary || Probe.Received < *Primary)
        Primary = Probe.Received;
    }
  }
  if (!Primary || Replica < *Primary)
    return {};
  group_state Next = Group;
  Next.Dirty = false;
  return changeTo(std::move(Next), "covered",
                  "a replica at " + toString(Replica) +
                      " has reached the primary's " + toString(*Primary));
}

} // namespace teasellock
