#include "modules/control/decision_agenda.h"

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
struct settled_world {
  group_state Group;
  leader_state Leader;
  decision_settings Settings;
  time_point Now{fromMilliseconds(5000)};

  settled_world() {
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
    Vm.HeardAt = Now;
    Vm.Groups[Group.Group].Upstreams[*Group.Primary].Reachable = true;
  }

  bool settled() const { return isSettled(Group, Leader, Settings, Now); }
};

} // namespace

TEST_CASE("control: the sweep visits every group within TicksPerSweep ticks") {
  auto State = manyGroups();
  decision_agenda Agenda;
  std::set<group_id> Visited;
  for (std::size_t Tick = 0; Tick < TicksPerSweep; ++Tick)
    for (const auto &Group : takeDue(Agenda, State))
      Visited.insert(Group);
  CHECK(Visited.size() == GroupCount);
  CHECK(takeDue(Agenda, control_state()).empty());
}

TEST_CASE("control: a group that is not settled is due on every tick") {
  auto State = manyGroups();
  decision_agenda Agenda;
  group_id Name("g7");
  noteSettled(Agenda, Name, false);
  for (std::size_t Tick = 0; Tick < TicksPerSweep; ++Tick) {
    auto Due = takeDue(Agenda, State);
    CHECK(std::count(Due.begin(), Due.end(), Name) == 1);
  }
  noteSettled(Agenda, Name, true);
  CHECK(Agenda.Unsettled.empty());
  Agenda.Marked.insert(Name);
  CHECK(takeMarked(Agenda) == std::vector<group_id>{Name});
  CHECK(takeMarked(Agenda).empty());
}

TEST_CASE("control: a group is settled only while every gateway reaches its "
          "primary and no change is in progress") {
  CHECK(settled_world().settled());
  settled_world Unreachable;
  Unreachable.Leader.Vms.begin()
      ->second.Groups.begin()
      ->second.Upstreams.begin()
      ->second.Reachable = false;
  CHECK_FALSE(Unreachable.settled());
  settled_world Unheard;
  Unheard.Now += Unheard.Settings.AliveTimeout + fromMilliseconds(1);
  CHECK_FALSE(Unheard.settled());
  settled_world Dirty;
  Dirty.Group.Dirty = true;
  CHECK_FALSE(Dirty.settled());
  settled_world Headless;
  Headless.Group.Primary.reset();
  CHECK_FALSE(Headless.settled());
  settled_world Handover;
  Handover.Group.Holders.emplace_back();
  CHECK_FALSE(Handover.settled());
}
