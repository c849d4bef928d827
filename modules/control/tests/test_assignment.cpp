#include "modules/control/assignment.h"
#include "modules/control/pause_promotion.h"

#include <doctest/doctest.h>
#include <set>

using namespace teasellock;

TEST_CASE("control: a lost gateway delays no promotion with paused replicas") {
  control_state State;
  auto &Group = State.Groups[group_id("g")];
  Group.Group = group_id("g");
  Group.Removed = false;
  Group.Upstreams[upstream_id("u")].Connections = 24;
  share_holder Holder;
  Holder.Vm = vm_id("lost");
  Holder.RemovedAt = revision(1);
  Group.Holders.push_back(Holder);
  leader_state Leader;
  decision_settings Settings;
  time_point Now(fromMilliseconds(100000));
  auto Fence = decideAssignment(State, Group, Leader, Settings, Now);
  REQUIRE(Fence.Next);
  CHECK(Fence.Next->Dirty);
  Settings.Method = promotion_method::Pause;
  auto Pause = decideAssignment(State, Group, Leader, Settings, Now);
  REQUIRE(Pause.Next);
  CHECK_FALSE(Pause.Next->Dirty);
  CHECK(Pause.Next->Holders.empty());
}

// An announcement may name a group that no row has: nothing must connect to the
// address that it names.
TEST_CASE("control: a group that only an announcement names gets no gateways") {
  control_state State;
  leader_state Leader;
  time_point Now(fromMilliseconds(100000));
  vm_record Vm;
  Vm.Vm = vm_id("vm");
  Vm.Incarnation = incarnation(1);
  State.Vms[Vm.Vm] = Vm;
  Leader.Vms[Vm.Vm].LastReceivedAt = Now;
  upstream_announcement Announcement;
  Announcement.Group = group_id("unknown");
  Announcement.Upstream = upstream_id("u");
  Announcement.Address = {"10.0.0.1", 5432};
  Announcement.ClaimsPrimary = true;
  Announcement.Connections = 24;
  applyCommand(State, revision(1), makeAnnouncementCommand(Announcement));
  decision_settings Settings;
  Settings.Method = promotion_method::Pause;
  for (const auto &[Name, Group] : State.Groups) {
    CHECK(Group.Removed);
    auto Decision = decideAssignment(State, Group, Leader, Settings, Now);
    CHECK_FALSE(Decision.Next);
    CHECK_FALSE(decidePausePromotion(Group, Leader, Settings, Now).Next);
  }
}

TEST_CASE("control: after a change of leader a few VMs do not get all groups") {
  // Shortly after a change of leader most VMs have not sent it a renewal yet.
  // Their groups must not be moved to the few that have.
  control_state State;
  leader_state Leader;
  time_point Now(fromMilliseconds(100000));
  Leader.LeadingSince = Now - fromMilliseconds(4000);
  for (int Number = 0; Number < 20; ++Number) {
    vm_record Vm;
    Vm.Vm = vm_id("vm" + std::to_string(Number));
    Vm.Incarnation = incarnation(1);
    State.Vms[Vm.Vm] = Vm;
    if (Number < 4)
      Leader.Vms[Vm.Vm].LastReceivedAt = Now;
  }
  for (int Number = 0; Number < 10; ++Number) {
    group_id Name("g" + std::to_string(Number));
    auto &Group = State.Groups[Name];
    Group.Group = Name;
    Group.Removed = false;
    Group.Row.GatewayCount = 0;
    Group.Row.MaxConnections = 45;
    Group.Upstreams[upstream_id("u")].Connections = 0;
    for (int Part = 0; Part < 3; ++Part) {
      gateway_share Share;
      Share.Vm = vm_id("vm" + std::to_string((Number * 2 + Part) % 20));
      Share.Incarnation = incarnation(1);
      Group.Gateways.push_back(Share);
    }
  }
  State.Index = buildGroupIndex(State);
  decision_settings Settings;
  for (const auto &[Name, Group] : State.Groups) {
    auto Decision = decideAssignment(State, Group, Leader, Settings, Now);
    const auto &Next = Decision.Next ? *Decision.Next : Group;
    CHECK(Next.Gateways.size() == 3);
    for (const auto &Share : Group.Gateways)
      CHECK(findShare(Next, Share.Vm));
  }
}

TEST_CASE("control: an overloaded VM is relieved of a group") {
  control_state State;
  leader_state Leader;
  time_point Now(fromMilliseconds(100000));
  for (int Number = 0; Number < 12; ++Number) {
    vm_record Vm;
    Vm.Vm = vm_id("vm" + std::to_string(Number));
    Vm.Incarnation = incarnation(1);
    State.Vms[Vm.Vm] = Vm;
    Leader.Vms[Vm.Vm].LastReceivedAt = Now;
    Leader.Vms[Vm.Vm].Incarnation = incarnation(1);
  }
  for (int Number = 0; Number < 4; ++Number) {
    group_id Name("g" + std::to_string(Number));
    auto &Group = State.Groups[Name];
    Group.Group = Name;
    Group.Removed = false;
    Group.Row.GatewayCount = 0;
    Group.Row.MaxConnections = 45;
    Group.Upstreams[upstream_id("u")].Connections = 0;
    for (int Vm : {0, 1 + Number, 6 + Number}) {
      gateway_share Share;
      Share.Vm = vm_id("vm" + std::to_string(Vm));
      Share.Incarnation = incarnation(1);
      Group.Gateways.push_back(Share);
      share_holder Holder;
      Holder.Vm = Share.Vm;
      Holder.Incarnation = incarnation(1);
      Group.Holders.push_back(Holder);
    }
  }
  State.Index = buildGroupIndex(State);
  CHECK(State.Index.GroupCounts[vm_id("vm0")] == 4);
  // Only one group moves at a time: the last by name.
  const auto &First = State.Groups.begin()->second;
  auto Other = decideAssignment(State, First, Leader, decision_settings(), Now);
  CHECK((!Other.Next || Other.Next->Gateways.size() == 3));
  const auto &Group = State.Groups.rbegin()->second;
  auto Decision =
      decideAssignment(State, Group, Leader, decision_settings(), Now);
  REQUIRE(Decision.Next);
  // Another gateway is added first; vm0 is removed once that one is ready.
  CHECK(Decision.Next->Gateways.size() == 4);
  CHECK(findShare(*Decision.Next, vm_id("vm0")));
}

TEST_CASE("control: moving groups off overloaded VMs converges") {
  // After VMs have restarted in turn, some have several groups.
  for (int Vms : {9, 16, 40}) {
    CAPTURE(Vms);
    control_state State;
    leader_state Leader;
    time_point Now(fromMilliseconds(100000));
    for (int Number = 0; Number < Vms; ++Number) {
      vm_record Vm;
      Vm.Vm = vm_id("vm" + std::to_string(Number));
      Vm.Incarnation = incarnation(1);
      State.Vms[Vm.Vm] = Vm;
      Leader.Vms[Vm.Vm].Incarnation = incarnation(1);
    }
    for (int Number = 0; Number < 3; ++Number) {
      group_id Name("g" + std::to_string(Number));
      auto &Group = State.Groups[Name];
      Group.Group = Name;
      Group.Removed = false;
      Group.Row.GatewayCount = 0;
      Group.Row.MaxConnections = 34;
      Group.Upstreams[upstream_id("u")].Connections = 0;
      // All groups are assigned to the same three VMs.
      for (int Vm : {0, 1, 2}) {
        gateway_share Share;
        Share.Vm = vm_id("vm" + std::to_string(Vm));
        Share.Incarnation = incarnation(1);
        Group.Gateways.push_back(Share);
        share_holder Holder;
        Holder.Vm = Share.Vm;
        Holder.Incarnation = incarnation(1);
        Group.Holders.push_back(Holder);
      }
    }
    int LastChange = 0;
    for (int Round = 1; Round <= 60; ++Round) {
      State.Index = buildGroupIndex(State);
      Now += fromMilliseconds(400);
      for (auto &[Name, Vm] : Leader.Vms) {
        Vm.LastReceivedAt = Now;
        Vm.AppliedRevision = revision(static_cast<std::uint64_t>(Round));
        Vm.Groups.clear();
        for (auto &[Id, Group] : State.Groups)
          if (const auto *Share = findShare(Group, Name))
            Vm.Groups[Id].BudgetEpoch = Share->BudgetEpoch;
      }
      for (auto &[Id, Group] : State.Groups) {
        auto Decision =
            decideAssignment(State, Group, Leader, decision_settings(), Now);
        if (!Decision.Next)
          continue;
        LastChange = Round;
        Group = *Decision.Next;
        for (auto &Holder : Group.Holders)
          if (Holder.RemovedAt == revision(CommandRevision))
            Holder.RemovedAt = revision(static_cast<std::uint64_t>(Round));
      }
    }
    CHECK(LastChange < 40);
    State.Index = buildGroupIndex(State);
    for (const auto &[Name, Load] : State.Index.GroupCounts)
      CHECK(Load <= 2);
  }
}

TEST_CASE("control: restarted VMs keep their shares unchanged") {
  // All VMs lose power and register again, one after the other. Each must
  // change a group once, not twice, and must not move other gateways.
  control_state State;
  leader_state Leader;
  time_point Now(fromMilliseconds(100000));
  auto &Group = State.Groups[group_id("g")];
  Group.Group = group_id("g");
  Group.Removed = false;
  Group.Row.GatewayCount = 0;
  Group.Row.MaxConnections = 24;
  Group.Upstreams[upstream_id("u")].Connections = 0;
  for (int Number = 0; Number < 3; ++Number) {
    vm_record Vm;
    Vm.Vm = vm_id("vm" + std::to_string(Number));
    Vm.Incarnation = incarnation(2);
    State.Vms[Vm.Vm] = Vm;
    gateway_share Share;
    Share.Vm = Vm.Vm;
    Share.Incarnation = incarnation(1);
    Share.Connections = 8;
    Group.Gateways.push_back(Share);
    share_holder Holder;
    Holder.Vm = Vm.Vm;
    Holder.Incarnation = incarnation(1);
    Holder.Connections = 8;
    Group.Holders.push_back(Holder);
  }
  State.Index = buildGroupIndex(State);
  Leader.LeadingSince = Now;
  decision_settings Settings;
  Settings.Method = promotion_method::Pause;
  auto First = decideAssignment(State, Group, Leader, Settings, Now);
  REQUIRE(First.Next);
  CHECK(First.Next->Holders.size() == 3);
  for (std::size_t Index = 0; Index < 3; ++Index) {
    const auto &Share = First.Next->Gateways[Index];
    CHECK((Share.Vm == Group.Gateways[Index].Vm));
    CHECK((Share.Incarnation == incarnation(2)));
    CHECK(Share.Connections == 8);
  }
  auto Second = decideAssignment(State, *First.Next, Leader, Settings, Now);
  CHECK_FALSE(Second.Next);
}

TEST_CASE("control: a group without a set number of gateways has one in each "
          "zone") {
  // With many VMs and few groups, more gateways would only divide an upstream's
  // connections and slots into smaller shares.
  for (std::size_t Zones : {1u, 3u, 6u}) {
    CAPTURE(Zones);
    control_state State;
    leader_state Leader;
    time_point Now(fromMilliseconds(100000));
    for (std::size_t Number = 0; Number < 80; ++Number) {
      vm_record Vm;
      Vm.Vm = vm_id("vm" + std::to_string(Number));
      Vm.AvailabilityZone =
          availability_zone_id("z" + std::to_string(Number % Zones));
      State.Vms[Vm.Vm] = Vm;
      Leader.Vms[Vm.Vm].LastReceivedAt = Now;
    }
    auto &Group = State.Groups[group_id("g")];
    Group.Group = group_id("g");
    Group.Removed = false;
    Group.Row.GatewayCount = 0;
    Group.Row.MaxConnections = 216;
    Group.Upstreams[upstream_id("u")].Connections = 0;
    State.Index = buildGroupIndex(State);
    auto Decision =
        decideAssignment(State, Group, Leader, decision_settings(), Now);
    REQUIRE(Decision.Next);
    CHECK(Decision.Next->Gateways.size() == std::max<std::size_t>(Zones, 3));
    std::set<availability_zone_id> Covered;
    for (const auto &Share : Decision.Next->Gateways)
      Covered.insert(Share.AvailabilityZone);
    CHECK(Covered.size() == Zones);
  }
}

TEST_CASE("control: the first gateways are chosen once VMs have registered") {
  // All VMs of a deployment start at once. Gateways chosen among the first few
  // would all have to move.
  control_state State;
  leader_state Leader;
  time_point Now(fromMilliseconds(100000));
  Leader.LeadingSince = Now;
  Leader.LastNewVmAt = Now;
  for (int Number = 0; Number < 3; ++Number) {
    vm_record Vm;
    Vm.Vm = vm_id("vm" + std::to_string(Number));
    Vm.Incarnation = incarnation(1);
    State.Vms[Vm.Vm] = Vm;
    Leader.Vms[Vm.Vm].LastReceivedAt = Now;
  }
  auto &Group = State.Groups[group_id("g")];
  Group.Group = group_id("g");
  Group.Removed = false;
  Group.Row.MaxConnections = 45;
  Group.Upstreams[upstream_id("u")].Connections = 0;
  State.Index = buildGroupIndex(State);
  decision_settings Settings;
  Settings.RegistrationPause = fromMilliseconds(200);
  auto DecidedAt = [&](duration After) {
    return decideAssignment(State, Group, Leader, Settings, Now + After)
        .Next.has_value();
  };
  CHECK_FALSE(DecidedAt(fromMilliseconds(100)));
  CHECK(DecidedAt(fromMilliseconds(250)));
  // VMs that keep appearing do not delay it for good.
  Leader.LastNewVmAt = Now + fromMilliseconds(2100);
  CHECK(DecidedAt(fromMilliseconds(2150)));
}
