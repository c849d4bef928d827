#include "modules/control/assignment.h"
#include "modules/control/budget.h"
#include "modules/control/leases.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

/// Simulates gateways that reduce their shares late, crash, drain and restart,
/// with control's real assignment. The oracle is what each process actually
/// holds.
struct budget_simulation {
  struct process {
    incarnation Incarnation;
    bool Alive = true;
    bool ReachesControl = true;
    std::uint32_t Connections = 0;
    std::uint32_t Slots = 0;
    std::uint64_t Epoch = 0;
    revision Applied;
    /// Once its lease has ended, the process holds nothing.
    time_point LeaseEnd;
  };

  control_state State;
  leader_state Leader;
  decision_settings Settings;
  time_point Now{fromMilliseconds(100000)};
  std::uint64_t Index = 0;
  std::uint64_t LastIncarnation = 0;
  std::map<vm_id, process> Processes;

  budget_simulation() {
    Leader.LeadingSince = Now;
    table_row Row;
    Row.Group = group_id("g");
    commit(makeEditCommand(edit_id("e"), table_version(), {Row}));
    upstream_announcement Upstream;
    Upstream.Group = Row.Group;
    Upstream.Upstream = upstream_id("u");
    Upstream.Address = {"10.0.0.1", 1};
    Upstream.Connections = 25;
    Upstream.Slots = 3;
    commit(makeAnnouncementCommand(Upstream));
    for (const char *Name : {"a", "b", "c", "d"})
      start(vm_id(Name));
  }

  void commit(const wire::control_command &Command) {
    applyCommand(State, revision(++Index), Command);
  }

  const group_state &group() const { return State.Groups.begin()->second; }

  void start(const vm_id &Name) {
    Processes[Name] = {};
    Processes[Name].Incarnation = incarnation(++LastIncarnation);
    vm_record Vm;
    Vm.Vm = Name;
    Vm.Incarnation = Processes[Name].Incarnation;
    Vm.Address = {"10.0.0.2", 2};
    Vm.AvailabilityZone = availability_zone_id("zone-" + Name.Value);
    commit(makeVmCommand(Vm));
    decide();
  }

  void decide() {
    auto Decision = decideAssignment(State, group(), Leader, Settings, Now);
    if (Decision.Next)
      commit(makeGroupCommand(*Decision.Next));
  }

  /// Sends a renewal. The process uses an increased share at once but reduces
  /// its use only if Shrink is set.
  void renew(const vm_id &Name, bool Shrink) {
    auto &Process = Processes[Name];
    if (!Process.Alive || !Process.ReachesControl)
      return;
    const auto *Share = findShare(group(), Name);
    bool Mine = Share && Share->Incarnation == Process.Incarnation;
    std::uint32_t Connections = Mine ? Share->Connections : 0;
    std::uint32_t Slots = Mine ? Share->Slots : 0;
    bool Shrinks = Connections < Process.Connections || Slots < Process.Slots;
    if (Shrink || !Shrinks) {
      Process.Connections = Connections;
      Process.Slots = Slots;
      Process.Epoch = Mine ? Share->BudgetEpoch : 0;
      Process.Applied = State.AppliedRevision;
    } else {
      // A process may use the increased one of connections and slots before it
      // reduces the other.
      Process.Connections = std::max(Process.Connections, Connections);
      Process.Slots = std::max(Process.Slots, Slots);
    }
    wire::renewal Renewal;
    Renewal.vm = Name.Value;
    Renewal.incarnation = static_cast<std::int64_t>(Process.Incarnation.Value);
    Renewal.sent_at_us = Now.time_since_epoch().count();
    Renewal.applied_revision = static_cast<std::int64_t>(Process.Applied.Value);
    Renewal.address = "10.0.0.2:2";
    if (Mine || Process.Connections > 0 || Process.Slots > 0) {
      wire::group_report Report;
      Report.group = "g";
      Report.budget_epoch = static_cast<std::int64_t>(Process.Epoch);
      Renewal.groups.push_back(Report);
    }
    auto Verdict = processRenewal(State, Leader, Renewal, Settings, Now);
    if (Verdict == renewal_verdict::Granted)
      Process.LeaseEnd = Now + Settings.LeaseTime;
    decide();
  }

  void drain(const vm_id &Name) {
    auto Vm = State.Vms.at(Name);
    Vm.Draining = true;
    commit(makeVmCommand(Vm));
    decide();
  }

  budget_limits held() const {
    budget_limits Held;
    for (const auto &[Name, Process] : Processes)
      if (Process.Alive && Now < Process.LeaseEnd) {
        Held.Connections += Process.Connections;
        Held.Slots += Process.Slots;
      }
    return Held;
  }

  void step(std::uint32_t Choice) {
    vm_id Name(std::string(1, static_cast<char>('a' + Choice % 4)));
    std::uint32_t Detail = Choice >> 8;
    switch ((Choice >> 2) % 12) {
    case 0:
      Processes[Name].Alive = false;
      return;
    case 1:
      return start(Name);
    case 2:
      Processes[Name].ReachesControl = !Processes[Name].ReachesControl;
      return;
    case 3:
      return drain(Name);
    case 4:
      Now += fromMilliseconds(Detail % 2 ? 200 : 1500);
      return decide();
    case 5:
      if (Detail % 8 == 0) {
        Leader = leader_state();
        Leader.LeadingSince = Now;
      }
      return decide();
    default:
      return renew(Name, Detail % 2 == 0);
    }
  }
};

/// Returns a group with four gateways of which the first two hold everything.
group_state uneven(std::uint32_t Connections) {
  group_state Group;
  auto &Upstream = Group.Upstreams[upstream_id("u")];
  Upstream.Connections = Connections;
  Upstream.Slots = Connections;
  for (int I = 0; I < 4; ++I) {
    gateway_share Share;
    Share.Vm = vm_id("vm" + std::to_string(I));
    Share.Connections = Share.Slots = I < 2 ? Connections / 2 : 0;
    share_holder Holder;
    Holder.Vm = Share.Vm;
    Holder.Connections = Holder.Slots = Share.Connections;
    Group.Gateways.push_back(Share);
    Group.Holders.push_back(Holder);
  }
  return Group;
}

/// Like divideBudget, but changes each share by at most one connection and one
/// slot.
bool divideStepwise(group_state &Group) {
  auto Target = Group;
  divideBudget(Target);
  for (std::size_t I = 0; I < Group.Gateways.size(); ++I) {
    auto Step = [](std::uint32_t From, std::uint32_t To) {
      return To > From ? From + 1 : To < From ? From - 1 : From;
    };
    auto &Share = Group.Gateways[I];
    Share.Connections = Step(Share.Connections, Target.Gateways[I].Connections);
    Share.Slots = Step(Share.Slots, Target.Gateways[I].Slots);
    auto &Holder = Group.Holders[I];
    Holder.Connections = std::max(Holder.Connections, Share.Connections);
    Holder.Slots = std::max(Holder.Slots, Share.Slots);
  }
  return Target.Gateways != Group.Gateways ||
         Target.BudgetEpoch != Group.BudgetEpoch;
}

/// Returns the number of rounds of decision and confirmation until all shares
/// are equal.
template <typename Divide>
int roundsToConverge(std::uint32_t Connections, Divide DivideOnce) {
  auto Group = uneven(Connections);
  for (int Round = 0;; ++Round) {
    bool Equal = std::all_of(Group.Gateways.begin(), Group.Gateways.end(),
                             [&](const auto &Share) {
                               return Share.Connections == Connections / 4;
                             });
    if (Equal || Round > 1000)
      return Round;
    DivideOnce(Group);
    REQUIRE(sumHeldBudget(Group).Connections <= Connections);
    for (std::size_t I = 0; I < Group.Holders.size(); ++I) {
      Group.Holders[I].Connections = Group.Gateways[I].Connections;
      Group.Holders[I].Slots = Group.Gateways[I].Slots;
    }
  }
}

} // namespace

TEST_CASE("control: all holders together never hold more than the limits") {
  bool Held = rc::check("budget", [] {
    auto Choices = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::arbitrary<std::uint32_t>());
    budget_simulation Simulation;
    for (auto Choice : Choices) {
      Simulation.step(Choice);
      RC_ASSERT(Simulation.held().Connections <= 25);
      RC_ASSERT(Simulation.held().Slots <= 3);
      RC_ASSERT(sumHeldBudget(Simulation.group()).Connections <= 25);
      RC_ASSERT(sumHeldBudget(Simulation.group()).Slots <= 3);
    }
  });
  CHECK(Held);
}

TEST_CASE("control: after faults end, the whole budget is in use") {
  bool IsWhole = rc::check("the whole budget is in use", [] {
    auto Choices = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::arbitrary<std::uint32_t>());
    budget_simulation Simulation;
    for (auto Choice : Choices)
      Simulation.step(Choice);
    for (const char *Name : {"a", "b", "c", "d"})
      Simulation.start(vm_id(Name));
    constexpr int Rounds = 20;
    for (int Round = 0; Round < Rounds; ++Round) {
      Simulation.Now += fromMilliseconds(400);
      for (const char *Name : {"a", "b", "c", "d"})
        Simulation.renew(vm_id(Name), true);
    }
    RC_ASSERT(Simulation.group().Gateways.size() == 2u);
    RC_ASSERT(Simulation.held().Connections == 25u);
    RC_ASSERT(Simulation.held().Slots == 3u);
  });
  CHECK(IsWhole);
}

TEST_CASE("control: one decision for all shares converges in fewer rounds than "
          "one connection at a time") {
  for (std::uint32_t Connections : {24u, 36u, 100u}) {
    int OneShot = roundsToConverge(Connections, divideBudget);
    int Stepwise = roundsToConverge(Connections, divideStepwise);
    MESSAGE("connections " << Connections << ": one-shot " << OneShot
                           << " rounds, stepwise " << Stepwise);
    CHECK(OneShot == 2);
    CHECK(OneShot < Stepwise);
  }
}
