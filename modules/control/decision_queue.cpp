#include "modules/control/decision_queue.h"

#include "modules/control/leases.h"

#include <algorithm>

namespace teasellock {

namespace {

bool reachesPrimary(const group_state &Group, const leader_state &Leader,
                    const gateway_share &Share,
                    const decision_settings &Settings, time_point Now) {
  if (!hasRenewedWithin(Leader, Share.Vm, Settings.AliveTimeout, Now))
    return false;
  const auto &Vm = Leader.Vms.at(Share.Vm);
  auto Report = Vm.Groups.find(Group.Group);
  if (Vm.Incarnation != Share.Incarnation || Report == Vm.Groups.end())
    return false;
  auto Probe = Report->second.Upstreams.find(*Group.Primary);
  return Probe != Report->second.Upstreams.end() && Probe->second.Reachable;
}

} // namespace

std::vector<group_id> popPending(decision_queue &Queue) {
  std::vector<group_id> Taken(Queue.Pending.begin(), Queue.Pending.end());
  Queue.Pending.clear();
  return Taken;
}

std::vector<group_id> advanceSweep(decision_queue &Queue,
                                   const control_state &State) {
  std::set<group_id> Due = Queue.Unsettled;
  std::size_t Part = (State.Groups.size() + TicksPerSweep - 1) / TicksPerSweep;
  auto Next = State.Groups.upper_bound(Queue.SweepPosition);
  for (std::size_t Taken = 0; Taken < Part; ++Taken) {
    if (Next == State.Groups.end())
      Next = State.Groups.begin();
    Due.insert(Next->first);
    Queue.SweepPosition = Next->first;
    ++Next;
  }
  return {Due.begin(), Due.end()};
}

bool isSettled(const group_state &Group, const leader_state &Leader,
               const decision_settings &Settings, time_point Now) {
  if (Group.Removed)
    return Group.Gateways.empty() && Group.Holders.empty();
  if (!Group.Primary || Group.Promotion || Group.Dirty ||
      !Group.OpenOrders.empty() ||
      Group.Holders.size() != Group.Gateways.size())
    return false;
  return std::all_of(Group.Gateways.begin(), Group.Gateways.end(),
                     [&](const gateway_share &Share) {
                       return reachesPrimary(Group, Leader, Share, Settings,
                                             Now);
                     });
}

void recordSettled(decision_queue &Queue, const group_id &Group, bool Settled) {
  if (Settled)
    Queue.Unsettled.erase(Group);
  else
    Queue.Unsettled.insert(Group);
}

} // namespace teasellock
