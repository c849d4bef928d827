#include "modules/control/decision_queue.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

constexpr std::size_t GroupCount = 57;

control_state manyGroups() {
  control_state State;
  for (std::size_t Number = 0; Number < GroupCount; ++Number) {
    group_id Name("g" + std::to_string(Number));
    State.Groups[Name].Group = Name;
  }
  return State;
}

/// A group whose only gateway has recently reached the primary.
struct settled_group {
  group_state Group;
  leader_state Leader;
  decision_settings Settings;
  time_point Now{fromMilliseconds(5000)};

  settled_group() {
    Group.Group = group_id("g");
    Group.Removed = false;
    Group.Primary = upstream_id("u1");
    gateway_share Share;
    Share.Vm = vm_id("a");
    Group.Gateways.push_back(Share);
    share_holder Holder;
    Holder.Vm = Share.Vm;
    Group.Holders.push_back(Holder);
    auto &Vm = Leader.Vms[Share.Vm];
    Vm.LastReceivedAt = Now;
    Vm.Groups[Group.Group].Upstreams[*Group.Primary].Reachable = true;
  }

  bool settled() const { return isSettled(Group, Leader, Settings, Now); }
};

} // namespace

TEST_CASE("control: the sweep visits every group within TicksPerSweep ticks") {
  auto State = manyGroups();
  decision_queue Queue;
  std::set<group_id> Visited;
  for (std::size_t Tick = 0; Tick < TicksPerSweep; ++Tick)
    for (const auto &Group : advanceSweep(Queue, State))
      Visited.insert(Group);
  CHECK(Visited.size() == GroupCount);
  CHECK(advanceSweep(Queue, control_state()).empty());
}

TEST_CASE("control: a group that is not settled is due on every tick") {
  auto State = manyGroups();
  decision_queue Queue;
  group_id Name("g7");
  recordSettled(Queue, Name, false);
  for (std::size_t Tick = 0; Tick < TicksPerSweep; ++Tick) {
    auto Due = advanceSweep(Queue, State);
    CHECK(std::count(Due.begin(), Due.end(), Name) == 1);
  }
  recordSettled(Queue, Name, true);
  CHECK(Queue.Unsettled.empty());
  Queue.Pending.insert(Name);
  CHECK(popPending(Queue) == std::vector<group_id>{Name});
  CHECK(popPending(Queue).empty());
}

TEST_CASE("control: a group is settled only while every gateway reaches its "
          "primary and no change is in progress") {
  CHECK(settled_group().settled());
  settled_group Unreachable;
  Unreachable.Leader.Vms.begin()
      ->second.Groups.begin()
      ->second.Upstreams.begin()
      ->second.Reachable = false;
  CHECK_FALSE(Unreachable.settled());
  settled_group Silent;
  Silent.Now += Silent.Settings.AliveTimeout + fromMilliseconds(1);
  CHECK_FALSE(Silent.settled());
  settled_group Dirty;
  Dirty.Group.Dirty = true;
  CHECK_FALSE(Dirty.settled());
  settled_group Headless;
  Headless.Group.Primary.reset();
  CHECK_FALSE(Headless.settled());
  settled_group Handover;
  Handover.Group.Holders.emplace_back();
  CHECK_FALSE(Handover.settled());
}
