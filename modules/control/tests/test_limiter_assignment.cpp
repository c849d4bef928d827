#include "modules/control/assignment.h"
#include "modules/control/limiter_assignment.h"
#include "modules/control/tests/limiter_simulation.h"
#include "modules/link/codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

/// Simulated time under disturbances.
constexpr int DisturbedSteps = 6000;
/// Simulated time in steps of 20 ms after which every slot has a holder again:
/// the lease and its margin on the slowest clock (11.8 s), the time in which
/// VMs register with a new leader (2.1 s), and 1.1 s for renewals and commits.
constexpr int RecoverySteps = 750;

/// Plays one run. Returns whether two processes ever held one slot.
bool findsTwoHolders(std::uint64_t Seed, const limiter_rules &Rules) {
  limiter_simulation Simulation(Seed, Rules);
  for (int Step = 0; Step < DisturbedSteps; ++Step) {
    Simulation.step();
    if (Simulation.hasTwoHolders())
      return true;
  }
  return false;
}

/// Reports whether one of several runs shows two holders.
bool isNeeded(const limiter_rules &Rules) {
  constexpr std::uint64_t MaxRuns = 300;
  for (std::uint64_t Seed = 1; Seed <= MaxRuns; ++Seed)
    if (findsTwoHolders(Seed, Rules))
      return true;
  return false;
}

/// VMs that have all renewed at a leader that leads for long.
struct limiter_fixture {
  control_state State;
  leader_state Leader;
  decision_settings Settings;
  time_point Now = time_point(std::chrono::seconds(1000));

  limiter_fixture() { setLimit(operation_limit{10, 10}); }

  void setLimit(std::optional<operation_limit> Limit) {
    organisation Organisation;
    Organisation.Name = organisation_id("o");
    Organisation.Limit = Limit;
    State.Deployment.Deployment.Organisations = {Organisation};
  }

  void add(const std::string &Name, const std::string &Zone,
           std::uint64_t Incarnation = 1) {
    vm_record Record;
    Record.Vm = vm_id(Name);
    Record.Incarnation = incarnation(Incarnation);
    Record.Address = {"10.0.0." + std::to_string(State.Vms.size() + 1), 1};
    Record.AvailabilityZone = availability_zone_id(Zone);
    State.Vms[Record.Vm] = Record;
    auto &Vm = Leader.Vms[Record.Vm];
    Vm.Incarnation = Record.Incarnation;
    Vm.LastReceivedAt = Now;
    Vm.LimiterRevision = revision();
  }

  bool decide() {
    auto Decision = decideLimiters(State, Leader, Settings, Now);
    if (Decision.Next)
      applyCommand(State, revision(State.AppliedRevision.Value + 1),
                   makeLimiterCommand(*Decision.Next));
    return Decision.Next.has_value();
  }

  std::size_t slotsOf(const std::string &Name) {
    std::size_t Count = 0;
    for (const auto &Slot : State.Limiters.Slots)
      Count += Slot.Holder && Slot.Holder->Vm == vm_id(Name);
    return Count;
  }

  void report(const std::string &Name) {
    Leader.Vms[vm_id(Name)].LimiterRevision = State.Limiters.Revision;
  }
};

} // namespace

TEST_CASE("limiters: no two processes may act on a slot, and every slot has a "
          "holder again after disturbances") {
  bool Held = rc::check("limiters", [] {
    limiter_simulation Simulation(*rc::gen::arbitrary<std::uint64_t>(),
                                  limiter_rules());
    for (int Step = 0; Step < DisturbedSteps; ++Step) {
      Simulation.step();
      RC_ASSERT(!Simulation.hasTwoHolders());
    }
    Simulation.calm();
    for (int Step = 0; Step < RecoverySteps; ++Step) {
      Simulation.step();
      RC_ASSERT(!Simulation.hasTwoHolders());
    }
    RC_ASSERT(Simulation.isCovered());
  });
  CHECK(Held);
}

TEST_CASE("limiters: without any one rule, two processes act on a slot") {
  limiter_rules Rules;
  SUBCASE("the release of a former holder") { Rules.AwaitRelease = false; }
  SUBCASE("leases of earlier leaders") { Rules.CountEarlierLeaders = false; }
  SUBCASE("removal before assignment") { Rules.RemoveFirst = false; }
  SUBCASE("the margin") { Rules.AddMargin = false; }
  CHECK(isNeeded(Rules));
}

TEST_CASE("limiters: slots are spread over VMs and zones, and hosts of control "
          "stores come last") {
  limiter_fixture F;
  for (int Index = 0; Index < 12; ++Index)
    F.add("vm" + std::to_string(10 + Index), Index < 8 ? "a" : "b");
  F.Leader.ControlHosts = {"10.0.0.1", "10.0.0.9"};
  REQUIRE(F.decide());
  std::size_t InB = 0;
  for (int Index = 0; Index < 12; ++Index)
    CHECK(F.slotsOf("vm" + std::to_string(10 + Index)) <= 1);
  for (int Index = 8; Index < 12; ++Index)
    InB += F.slotsOf("vm" + std::to_string(10 + Index));
  CHECK(InB == 3);
  CHECK(F.slotsOf("vm10") == 0);
  CHECK(F.slotsOf("vm18") == 0);
  CHECK_FALSE(F.decide());
}

TEST_CASE("limiters: a later process of the holder's VM gets its slots at "
          "once") {
  limiter_fixture F;
  F.add("a", "z");
  REQUIRE(F.decide());
  F.add("a", "z", 2);
  F.add("b", "z");
  REQUIRE(F.decide());
  CHECK(F.slotsOf("a") == LimiterSlotCount);
  CHECK((F.State.Limiters.Slots[0].Holder->Incarnation == incarnation(2)));
}

TEST_CASE("limiters: the slots of a draining VM move once it reports that it "
          "has released them, and it may stop only then") {
  limiter_fixture F;
  F.add("a", "z");
  REQUIRE(F.decide());
  F.add("b", "z");
  F.Leader.LimiterLeaseEnds[{vm_id("a"), incarnation(1)}] =
      F.Now + F.Settings.LimiterLeaseTime;
  F.State.Vms[vm_id("a")].Draining = true;
  REQUIRE(F.decide());
  CHECK(F.slotsOf("a") + F.slotsOf("b") == 0);
  CHECK_FALSE(F.decide());
  CHECK_FALSE(isReleased(F.State, vm_id("a")));
  F.report("a");
  REQUIRE(F.decide());
  CHECK(F.slotsOf("b") == LimiterSlotCount);
  CHECK(isReleased(F.State, vm_id("a")));
}

// Guards against a start at which the first VM keeps all slots: while it was
// frozen, no organisation with a limit was served for the lease of 10 s.
TEST_CASE("limiters: slots move from the first VM to those that register "
          "later, and settle") {
  limiter_fixture F;
  F.add("a", "z");
  REQUIRE(F.decide());
  for (const char *Name : {"b", "c", "d"})
    F.add(Name, "z");
  F.Leader.LimiterLeaseEnds[{vm_id("a"), incarnation(1)}] =
      F.Now + F.Settings.LimiterLeaseTime;
  REQUIRE(F.decide());
  CHECK(F.slotsOf("a") == 2);
  CHECK_FALSE(F.decide());
  F.report("a");
  REQUIRE(F.decide());
  for (const char *Name : {"a", "b", "c", "d"})
    CHECK(F.slotsOf(Name) == 2);
  CHECK_FALSE(F.decide());
}

// Guards against slots that stay on the host of a control store, whose failure
// takes both away.
TEST_CASE("limiters: a slot moves from the host of a control store to a VM "
          "without slots") {
  limiter_fixture F;
  for (int Index = 0; Index < 8; ++Index)
    F.add("vm" + std::to_string(Index), "z");
  F.Leader.ControlHosts = {"10.0.0.1"};
  REQUIRE(F.decide());
  CHECK(F.slotsOf("vm0") == 1);
  F.add("vm8", "z");
  REQUIRE(F.decide());
  CHECK(F.slotsOf("vm0") == 0);
  F.report("vm0");
  REQUIRE(F.decide());
  CHECK(F.slotsOf("vm8") == 1);
  CHECK_FALSE(F.decide());
}

// Guards against a slot that is taken from a frozen VM, which can't release it
// and may be back before its lease has ended.
TEST_CASE("limiters: slots are not taken from a silent VM to balance them") {
  limiter_fixture F;
  F.add("a", "z");
  REQUIRE(F.decide());
  F.Leader.LimiterLeaseEnds[{vm_id("a"), incarnation(1)}] =
      F.Now + F.Settings.LimiterLeaseTime;
  F.Now += F.Settings.VmTimeout + fromMilliseconds(1);
  F.add("b", "z");
  CHECK_FALSE(F.decide());
}

TEST_CASE("limiters: a silent holder keeps its slots until its lease has "
          "ended") {
  limiter_fixture F;
  F.add("a", "z");
  REQUIRE(F.decide());
  time_point End = F.Now + F.Settings.LimiterLeaseTime;
  F.Leader.LimiterLeaseEnds[{vm_id("a"), incarnation(1)}] = End;
  F.Now = End - fromMilliseconds(1);
  F.add("b", "z");
  CHECK_FALSE(F.decide());
  F.Now = End;
  while (F.decide())
    continue;
  CHECK(F.slotsOf("b") == LimiterSlotCount);
}

TEST_CASE("limiters: the assignment is empty without limits, once all holders "
          "have released their slots, and is not in snapshots then") {
  limiter_fixture F;
  F.setLimit(std::nullopt);
  F.add("a", "z");
  auto IsInSnapshot = [&] {
    auto Snapshot = encodeSnapshot(F.State);
    CHECK((decodeSnapshot(Snapshot).Limiters == F.State.Limiters));
    return decode<wire::control_snapshot>(Snapshot, "test").__isset.limiters;
  };
  CHECK_FALSE(F.decide());
  CHECK_FALSE(IsInSnapshot());
  F.setLimit(operation_limit{1, 1});
  REQUIRE(F.decide());
  CHECK(IsInSnapshot());
  F.Leader.LimiterLeaseEnds[{vm_id("a"), incarnation(1)}] =
      F.Now + F.Settings.LimiterLeaseTime;
  F.setLimit(std::nullopt);
  REQUIRE(F.decide());
  CHECK(IsInSnapshot());
  CHECK_FALSE(F.decide());
  F.report("a");
  REQUIRE(F.decide());
  CHECK((F.State.Limiters == limiter_assignment()));
  CHECK_FALSE(IsInSnapshot());
}

TEST_CASE("limiters: a command based on an older revision changes nothing") {
  limiter_fixture F;
  F.add("a", "z");
  auto First = decideLimiters(F.State, F.Leader, F.Settings, F.Now);
  REQUIRE(F.decide());
  auto Before = F.State.Limiters;
  applyCommand(F.State, revision(9), makeLimiterCommand(*First.Next));
  CHECK((F.State.Limiters == Before));
}

TEST_CASE("limiters: VMs that don't report a revision get no slot") {
  limiter_fixture F;
  F.add("a", "z");
  F.Leader.Vms[vm_id("a")].LimiterRevision.reset();
  // The first assignment, by which VMs become eligible.
  REQUIRE(F.decide());
  CHECK(F.State.Limiters.Slots.size() == LimiterSlotCount);
  CHECK(F.slotsOf("a") == 0);
  CHECK_FALSE(F.decide());
  F.report("a");
  REQUIRE(F.decide());
  CHECK(F.slotsOf("a") == LimiterSlotCount);
}
