#include "modules/consensus/consensus_service.h"

#include "core/event_log.h"
#include "tests/temporary_folder.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <map>

using namespace teasellock;

namespace {

/// A VM with a control member whose state machine is the list of commands.
struct control_vm {
  metrics Metrics;
  tracer Tracer;
  daemon_context Context;
  link_hub Hub;
  endpoint Address;
  std::vector<std::string> Applied;
  bool IsLeading = false;
  std::unique_ptr<consensus_service> Service;

  control_vm(event_loop &Loop, timer_service &Timers, const std::string &Name,
             const std::string &Folder, std::uint16_t Port = 0)
      : Context{Loop, Timers, Metrics, Tracer,
                vm_identity{vm_id(Name),
                            incarnation(1),
                            {},
                            {},
                            endpoint{"127.0.0.1", Port}}},
        Hub(Context, link_settings()), Address(Hub.listen()) {
    consensus_settings Settings;
    Settings.DataFolder = Folder;
    Settings.HeartbeatPeriod = fromMilliseconds(20);
    Settings.ElectionTimeout = fromMilliseconds(150);
    Settings.MaxEntriesBeforeSnapshot = 50;
    Service =
        std::make_unique<consensus_service>(Context, Hub, Settings, hooks());
    Service->start();
  }

  control_member member() const {
    return {Service->storeId(), Context.Self.Vm, Address};
  }

  state_machine_hooks hooks() {
    state_machine_hooks Hooks;
    Hooks.Apply = [this](revision, const std::string &Command) {
      Applied.push_back(Command);
    };
    Hooks.Snapshot = [this] {
      std::string Text;
      for (const std::string &Command : Applied)
        Text += Command + "\n";
      return Text;
    };
    Hooks.Restore = [this](revision, const std::string &Snapshot) {
      Applied.clear();
      for (std::size_t At = 0; At < Snapshot.size();) {
        std::size_t End = Snapshot.find('\n', At);
        Applied.push_back(Snapshot.substr(At, End - At));
        At = End + 1;
      }
    };
    Hooks.LeadershipChanged = [this](bool Now) { IsLeading = Now; };
    return Hooks;
  }
};

constexpr int MaxTurns = 20000;

/// Three VMs on one event loop.
struct three_vm_group {
  event_loop Loop;
  timer_service Timers{Loop};
  temporary_folder Folders[3];
  std::unique_ptr<control_vm> Vms[3];

  three_vm_group() {
    for (int Number = 0; Number < 3; ++Number)
      start(Number);
  }

  void start(int Number, std::uint16_t Port = 0) {
    Vms[Number] = std::make_unique<control_vm>(Loop, Timers,
                                               "vm" + std::to_string(Number),
                                               Folders[Number].Path, Port);
  }

  template <typename Condition> bool runUntil(Condition Done) {
    for (int Turn = 0; Turn < MaxTurns && !Done(); ++Turn)
      Loop.runOnce();
    return Done();
  }

  control_vm *leader() {
    for (auto &Vm : Vms)
      if (Vm && Vm->IsLeading)
        return Vm.get();
    return nullptr;
  }

  std::size_t voters() {
    return leader() ? voterCount(leader()->Service->members()) : 0;
  }

  void initialise() {
    Vms[0]->Service->initialise(
        {Vms[0]->member(), Vms[1]->member(), Vms[2]->member()});
    REQUIRE(runUntil([&] { return voters() == 3; }));
  }

  void propose(const std::string &Command) {
    REQUIRE(runUntil([&] { return leader() != nullptr; }));
    bool Committed = false;
    leader()->Service->propose(
        Command, [&](proposal_outcome Outcome, revision) {
          Committed = Outcome == proposal_outcome::Committed;
        });
    REQUIRE(runUntil([&] { return Committed; }));
  }

  bool allApplied(std::size_t Count) {
    for (auto &Vm : Vms)
      if (!Vm || Vm->Applied.size() != Count)
        return false;
    return true;
  }
};

} // namespace

TEST_CASE("consensus: three VMs elect, commit, apply and recover") {
  three_vm_group Group;
  CHECK_FALSE(Group.Vms[1]->Service->isInitialised());
  Group.initialise();
  CHECK(Group.Vms[1]->Service->isInitialised());
  for (int Number = 0; Number < 120; ++Number)
    Group.propose("command " + std::to_string(Number));
  REQUIRE(Group.runUntil([&] { return Group.allApplied(120); }));
  for (auto &Vm : Group.Vms) {
    std::uint16_t Port = Vm->Address.Port;
    int Number = static_cast<int>(&Vm - Group.Vms);
    Vm.reset();
    Group.start(Number, Port);
  }
  Group.propose("after the restart");
  REQUIRE(Group.runUntil([&] { return Group.allApplied(121); }));
  for (auto &Vm : Group.Vms) {
    CHECK(Vm->Applied.front() == "command 0");
    CHECK(Vm->Applied.back() == "after the restart");
  }
}

TEST_CASE("consensus: a leader that is gone is replaced and catches up after "
          "its restart") {
  three_vm_group Group;
  Group.initialise();
  Group.propose("before");
  auto Stopped = std::find_if(std::begin(Group.Vms), std::end(Group.Vms),
                              [](auto &Vm) { return Vm->IsLeading; });
  std::uint16_t Port = (*Stopped)->Address.Port;
  Stopped->reset();
  for (int Number = 0; Number < 100; ++Number)
    Group.propose("without " + std::to_string(Number));
  Group.start(static_cast<int>(Stopped - Group.Vms), Port);
  REQUIRE(Group.runUntil([&] { return Group.allApplied(101); }));
}

TEST_CASE("consensus: leadership is confirmed by a quorum on request") {
  three_vm_group Group;
  Group.initialise();
  std::optional<bool> Confirmed;
  time_point RequestedAt = Group.Timers.now();
  Group.leader()->Service->confirmLeadership(
      [&](bool IsLeading) { Confirmed = IsLeading; });
  CHECK_FALSE(Confirmed.has_value());
  REQUIRE(Group.runUntil([&] { return Confirmed.has_value(); }));
  CHECK(*Confirmed);
  CHECK(Group.leader()->Service->leaderConfirmedAt() >= RequestedAt);
}

TEST_CASE("consensus: a wiped VM gets a new store id and rejoins in single "
          "steps") {
  three_vm_group Group;
  Group.initialise();
  for (int Number = 0; Number < 60; ++Number)
    Group.propose("command " + std::to_string(Number));
  auto Wiped = std::find_if(std::begin(Group.Vms), std::end(Group.Vms),
                            [](auto &Vm) { return !Vm->IsLeading; });
  int Number = static_cast<int>(Wiped - Group.Vms);
  store_id Old = (*Wiped)->Service->storeId();
  std::uint16_t Port = (*Wiped)->Address.Port;
  Wiped->reset();
  std::filesystem::remove_all(Group.Folders[Number].Path);
  Group.start(Number, Port);
  control_vm &Returned = **Wiped;
  CHECK(Returned.Service->storeId().Value != Old.Value);
  Group.propose("while it is not a member");
  CHECK_FALSE(Returned.Service->isInitialised());
  std::vector<std::string> Steps;
  REQUIRE(Group.runUntil([&] {
    if (!Group.leader())
      return false;
    replacement_progress Progress =
        Group.leader()->Service->replaceMember(Old, Returned.member());
    if (Steps.empty() || Steps.back() != Progress.Step)
      Steps.push_back(Progress.Step);
    return Progress.IsDone;
  }));
  CHECK(Steps.front() == "add the new store as non-voter");
  CHECK(Steps.back() == "replaced");
  CHECK(Group.voters() == 3);
  REQUIRE(Group.runUntil([&] { return Group.allApplied(61); }));
}

TEST_CASE("consensus: the last member continues by force and reports what is "
          "lost") {
  three_vm_group Group;
  Group.initialise();
  Group.propose("before");
  REQUIRE(Group.runUntil([&] { return Group.allApplied(1); }));
  CHECK_THROWS_AS(Group.Vms[1]->Service->forceSingleMember(), error);
  Group.Vms[0].reset();
  Group.Vms[2].reset();
  std::string Risk;
  REQUIRE(Group.runUntil([&] {
    try {
      Risk = Group.Vms[1]->Service->forceSingleMember();
    } catch (const error &) {
    }
    return !Risk.empty();
  }));
  CHECK(Risk.find("are lost") != std::string::npos);
  Group.propose("after");
  CHECK(Group.Vms[1]->Applied.back() == "after");
  CHECK(Group.Vms[1]->Applied.front() == "before");
  CHECK(Group.Vms[1]->Service->members().size() == 1);
}

TEST_CASE("consensus: members are read as operators write them") {
  control_member Member = parseControlMember("17:vm-2:10.0.0.2:9000");
  CHECK(Member.Store.Value == 17);
  CHECK(Member.Vm.Value == "vm-2");
  CHECK(toString(Member.Address) == "10.0.0.2:9000");
  for (const char *Bad : {"", "17", "17:vm", "x:vm:10.0.0.2:9000",
                          "0:vm:10.0.0.2:9000", "17:vm:host:9000"})
    CHECK_THROWS_AS(parseControlMember(Bad), error);
}
