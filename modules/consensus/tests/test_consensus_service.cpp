#include "modules/consensus/consensus_service.h"

#include "core/event_log.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <map>
#include <unistd.h>

using namespace teasellock;

namespace {

/// A data folder that is gone after the test.
struct temporary_folder {
  std::string Path;

  temporary_folder() {
    char Pattern[] = "/tmp/teasellock-consensus-XXXXXX";
    Path = ::mkdtemp(Pattern);
  }
  ~temporary_folder() { std::filesystem::remove_all(Path); }
  temporary_folder(const temporary_folder &) = delete;
  temporary_folder &operator=(const temporary_folder &) = delete;
};

/// One VM with a control member whose state is the list of commands.
struct control_vm {
  metrics Metrics;
  tracer Tracer;
  daemon_context Context;
  link_hub Hub;
  endpoint Address;
  std::vector<std::string> Applied;
  bool Leading = false;
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
    Settings.SnapshotEvery = 50;
    Service =
        std::make_unique<consensus_service>(Context, Hub, Settings, hooks());
    Service->start();
  }

  control_member member() const {
    return {Service->store(), Context.Self.Vm, Address};
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
    Hooks.LeadershipChanged = [this](bool Now) { Leading = Now; };
    return Hooks;
  }
};

constexpr int MostTurns = 20000;

/// Three VMs on one loop.
struct control_trio {
  event_loop Loop;
  timer_service Timers{Loop};
  temporary_folder Folders[3];
  std::unique_ptr<control_vm> Vms[3];

  control_trio() {
    for (int Number = 0; Number < 3; ++Number)
      start(Number);
  }

  void start(int Number, std::uint16_t Port = 0) {
    Vms[Number] = std::make_unique<control_vm>(Loop, Timers,
                                               "vm" + std::to_string(Number),
                                               Folders[Number].Path, Port);
  }

  template <typename Condition> bool runUntil(Condition Done) {
    for (int Turn = 0; Turn < MostTurns && !Done(); ++Turn)
      Loop.runOnce();
    return Done();
  }

  control_vm *leader() {
    for (auto &Vm : Vms)
      if (Vm && Vm->Leading)
        return Vm.get();
    return nullptr;
  }

  std::size_t voters() {
    return leader() ? voterCount(leader()->Service->members()) : 0;
  }

  void found() {
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
  control_trio Trio;
  CHECK_FALSE(Trio.Vms[1]->Service->isInitialised());
  Trio.found();
  CHECK(Trio.Vms[1]->Service->isInitialised());
  for (int Number = 0; Number < 120; ++Number)
    Trio.propose("command " + std::to_string(Number));
  REQUIRE(Trio.runUntil([&] { return Trio.allApplied(120); }));
  for (auto &Vm : Trio.Vms) {
    std::uint16_t Port = Vm->Address.Port;
    int Number = static_cast<int>(&Vm - Trio.Vms);
    Vm.reset();
    Trio.start(Number, Port);
  }
  Trio.propose("after the restart");
  REQUIRE(Trio.runUntil([&] { return Trio.allApplied(121); }));
  for (auto &Vm : Trio.Vms) {
    CHECK(Vm->Applied.front() == "command 0");
    CHECK(Vm->Applied.back() == "after the restart");
  }
}

TEST_CASE("consensus: a leader that is gone is replaced and its VM catches "
          "up") {
  control_trio Trio;
  Trio.found();
  Trio.propose("before");
  auto Gone = std::find_if(std::begin(Trio.Vms), std::end(Trio.Vms),
                           [](auto &Vm) { return Vm->Leading; });
  std::uint16_t Port = (*Gone)->Address.Port;
  Gone->reset();
  for (int Number = 0; Number < 100; ++Number)
    Trio.propose("without " + std::to_string(Number));
  Trio.start(static_cast<int>(Gone - Trio.Vms), Port);
  REQUIRE(Trio.runUntil([&] { return Trio.allApplied(101); }));
}

TEST_CASE("consensus: leadership is confirmed by a quorum on request") {
  control_trio Trio;
  Trio.found();
  std::optional<bool> Confirmed;
  time_point Asked = Trio.Timers.now();
  Trio.leader()->Service->confirmLeadership(
      [&](bool Leads) { Confirmed = Leads; });
  CHECK_FALSE(Confirmed.has_value());
  REQUIRE(Trio.runUntil([&] { return Confirmed.has_value(); }));
  CHECK(*Confirmed);
  CHECK(Trio.leader()->Service->leaderConfirmedAt() >= Asked);
}

TEST_CASE("consensus: a wiped VM is a stranger and takes its place again in "
          "single steps") {
  control_trio Trio;
  Trio.found();
  for (int Number = 0; Number < 60; ++Number)
    Trio.propose("command " + std::to_string(Number));
  auto Wiped = std::find_if(std::begin(Trio.Vms), std::end(Trio.Vms),
                            [](auto &Vm) { return !Vm->Leading; });
  int Number = static_cast<int>(Wiped - Trio.Vms);
  store_id Old = (*Wiped)->Service->store();
  std::uint16_t Port = (*Wiped)->Address.Port;
  Wiped->reset();
  std::filesystem::remove_all(Trio.Folders[Number].Path);
  Trio.start(Number, Port);
  control_vm &Back = **Wiped;
  CHECK(Back.Service->store().Value != Old.Value);
  Trio.propose("while it is a stranger");
  CHECK_FALSE(Back.Service->isInitialised());
  std::vector<std::string> Steps;
  REQUIRE(Trio.runUntil([&] {
    if (!Trio.leader())
      return false;
    replacement_progress Progress =
        Trio.leader()->Service->replaceMember(Old, Back.member());
    if (Steps.empty() || Steps.back() != Progress.Text)
      Steps.push_back(Progress.Text);
    return Progress.Done;
  }));
  CHECK(Steps.front() == "add the new store as non-voter");
  CHECK(Steps.back() == "replaced");
  CHECK(Trio.voters() == 3);
  REQUIRE(Trio.runUntil([&] { return Trio.allApplied(61); }));
}

TEST_CASE("consensus: the last copy goes on by force and says what is lost") {
  control_trio Trio;
  Trio.found();
  Trio.propose("before");
  REQUIRE(Trio.runUntil([&] { return Trio.allApplied(1); }));
  CHECK_THROWS_AS(Trio.Vms[1]->Service->forceMembers(), error);
  Trio.Vms[0].reset();
  Trio.Vms[2].reset();
  std::string Risk;
  REQUIRE(Trio.runUntil([&] {
    try {
      Risk = Trio.Vms[1]->Service->forceMembers();
    } catch (const error &) {
    }
    return !Risk.empty();
  }));
  CHECK(Risk.find("are lost") != std::string::npos);
  Trio.propose("after");
  CHECK(Trio.Vms[1]->Applied.back() == "after");
  CHECK(Trio.Vms[1]->Applied.front() == "before");
  CHECK(Trio.Vms[1]->Service->members().size() == 1);
}

TEST_CASE("consensus: members are read as operators write them") {
  control_member Member = parseMember("17:vm-2:10.0.0.2:9000");
  CHECK(Member.Store.Value == 17);
  CHECK(Member.Vm.Value == "vm-2");
  CHECK(toString(Member.Address) == "10.0.0.2:9000");
  for (const char *Bad : {"", "17", "17:vm", "x:vm:10.0.0.2:9000",
                          "0:vm:10.0.0.2:9000", "17:vm:host:9000"})
    CHECK_THROWS_AS(parseMember(Bad), error);
}
