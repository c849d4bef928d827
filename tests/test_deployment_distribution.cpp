#include "modules/control/control_service.h"
#include "modules/control/internal_calls.h"
#include "modules/link/codec.h"
#include "modules/membership/member_agent.h"
#include "tests/soak/relay.h"
#include "tests/temporary_folder.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <random>

using namespace teasellock;

namespace {

/// In force everywhere within this time; see docs/CAPACITY.md.
const duration InForceTimeout = fromMilliseconds(4000);
constexpr std::uint64_t KilobitsPerSecond = 1000 / 8;

daemon_context makeContext(event_loop &Loop, timer_service &Timers,
                           metrics &Metrics, tracer &Tracer,
                           const std::string &Name) {
  return {Loop,
          Timers,
          Metrics,
          Tracer,
          {vm_id(Name),
           incarnation(1),
           availability_zone_id("zone"),
           region_id("region"),
           {"127.0.0.1", 0}}};
}

/// A VM without gateway role.
struct plain_vm {
  metrics Metrics;
  tracer Tracer;
  daemon_context Context;
  link_hub Hub;
  member_agent Agent;

  plain_vm(event_loop &Loop, timer_service &Timers, const std::string &Name,
           const membership_settings &Settings)
      : Context(makeContext(Loop, Timers, Metrics, Tracer, Name)),
        Hub(Context, link_settings()), Agent(Context, Hub, Settings) {
    Context.Self.InternalEndpoint = Hub.listen();
    Agent.start();
  }

  std::uint64_t version() const {
    return Agent.currentDeployment().Version.Value;
  }
};

/// A control VM, and VMs that reach it through one link of limited bandwidth.
struct distribution {
  event_loop Loop;
  timer_service Timers{Loop};
  temporary_folder Folder;
  metrics Metrics;
  tracer Tracer;
  daemon_context Context =
      makeContext(Loop, Timers, Metrics, Tracer, "control");
  link_hub Hub{Context, link_settings()};
  std::unique_ptr<control_service> Control;
  std::unique_ptr<soak::relay> Link;
  membership_settings Membership;
  std::vector<std::unique_ptr<plain_vm>> Vms;

  distribution(int VmCount, std::uint64_t BytesPerSecond) {
    Context.Self.InternalEndpoint = Hub.listen();
    consensus_settings Consensus;
    Consensus.DataFolder = Folder.Path;
    Control = std::make_unique<control_service>(Context, Hub,
                                                control_settings(), Consensus);
    Control->start();
    // Control names this address to the VMs, so all their traffic uses it.
    endpoint Entrance{"127.0.0.2", Context.Self.InternalEndpoint.Port};
    Link = std::make_unique<soak::relay>(Loop, Timers, Entrance,
                                         Context.Self.InternalEndpoint);
    Link->limitRate(BytesPerSecond);
    initialise(Entrance);
    Membership.ControlEndpoints = {Entrance};
    for (int I = 0; I < VmCount; ++I)
      addVm();
  }

  plain_vm &addVm() {
    Vms.push_back(std::make_unique<plain_vm>(
        Loop, Timers, "vm-" + std::to_string(Vms.size()), Membership));
    return *Vms.back();
  }

  template <typename Condition>
  bool runUntil(Condition Done, duration Timeout = fromMilliseconds(10000)) {
    for (time_point Start = Timers.now();
         Timers.now() - Start < Timeout && !Done();)
      Loop.runOnce();
    return Done();
  }

  std::pair<int, std::string> ask(const std::string &Method,
                                  const std::string &Path,
                                  const std::string &Body) {
    std::optional<std::pair<int, std::string>> Result;
    Control->handleOperator(Method, Path, Body,
                            [&](int Status, const std::string &Text) {
                              Result = {Status, Text};
                            });
    REQUIRE(runUntil([&] { return Result.has_value(); }));
    return *Result;
  }

  void initialise(const endpoint &Address) {
    auto Status =
        nlohmann::json::parse(ask("GET", "/v1/control/status", "").second);
    nlohmann::json Member = {{"store", Status["store"]},
                             {"vm", "control"},
                             {"address", toString(Address)}};
    nlohmann::json Members = {{"members", {Member}}};
    CHECK(ask("POST", "/v1/control/init", Members.dump()).first == 200);
    REQUIRE(runUntil([&] { return Control->isLeader(); }));
  }

  void submit(std::uint64_t Version, const std::vector<route> &Routes,
              const std::vector<group_limits> &Groups = {
                  {group_id("g"), 24, 1}});

  /// Commits a change of a group, after which control notifies all VMs.
  void announce(std::uint64_t Number) {
    upstream_announcement Announcement;
    Announcement.Group = group_id("g");
    Announcement.Upstream = upstream_id("u" + std::to_string(Number));
    Announcement.Address = {"10.0.0.1", 5432};
    ask("POST", std::string("/") + AnnouncementPath,
        encode(toWire(Announcement)));
  }

  bool isInForce(std::uint64_t Version) const {
    return std::all_of(Vms.begin(), Vms.end(), [&](const auto &Vm) {
      return Vm->version() == Version;
    });
  }

  std::uint64_t copies() {
    return Metrics.counterOf("teasellock_control_deployment_copies_total")
        .Value;
  }
};

std::string randomName(std::mt19937_64 &Random) {
  constexpr std::size_t Length = 11;
  std::string Name;
  while (Name.size() < Length)
    Name += static_cast<char>('a' + Random() % 26);
  return Name;
}

std::vector<route> randomRoutes(std::uint64_t Seed, int Count) {
  std::mt19937_64 Random(Seed);
  std::vector<route> Routes;
  for (int I = 0; I < Count; ++I) {
    route Route;
    Route.Name = "r-" + randomName(Random);
    Route.Database = database_id(randomName(Random));
    Route.Group = group_id("g");
    Route.StatementTimeout = fromMilliseconds(800);
    Route.TargetLatency = fromMilliseconds(400);
    Routes.push_back(Route);
  }
  return Routes;
}

void distribution::submit(std::uint64_t Version,
                          const std::vector<route> &Routes,
                          const std::vector<group_limits> &Groups) {
  deployment_proposal Proposal;
  Proposal.Deployment.Version = deployment_version(Version);
  Proposal.Deployment.Routes = Routes;
  Proposal.Groups = Groups;
  Proposal.Document = "{}";
  CHECK(ask("PUT", std::string("/") + DeploymentPath,
            encode(makeDeploymentCommand(Proposal).change))
            .first == 200);
}

} // namespace

// Guards against a deployment that never arrives on a slow link because its
// transfer takes longer than the timeout of a renewal.
TEST_CASE("distribution: a deployment of 1,466 routes is in force within 4 s "
          "behind a link of 1 Mbit/s") {
  distribution Distribution(1, 1000 * KilobitsPerSecond);
  Distribution.submit(3, randomRoutes(3, 66));
  REQUIRE(Distribution.runUntil([&] { return Distribution.isInForce(3); }));
  Distribution.submit(7, randomRoutes(7, 1466));
  CHECK(Distribution.runUntil([&] { return Distribution.isInForce(7); },
                              InForceTimeout));
}

// Guards against a copy of the deployment for each renewal that arrives while
// the first copy is still on its way: the copies filled the links between
// regions and the leader's memory.
TEST_CASE("distribution: each VM is sent one copy of a deployment while "
          "notifications make it renew often") {
  constexpr int VmCount = 8;
  distribution Distribution(VmCount, 4000 * KilobitsPerSecond);
  Distribution.submit(3, randomRoutes(3, 66));
  REQUIRE(Distribution.runUntil([&] { return Distribution.isInForce(3); }));
  auto Before = Distribution.copies();
  Distribution.submit(7, randomRoutes(7, 1466));
  time_point Start = Distribution.Timers.now();
  std::uint64_t Number = 0;
  while (!Distribution.isInForce(7) &&
         Distribution.Timers.now() - Start < InForceTimeout) {
    Distribution.announce(++Number);
    Distribution.runUntil([] { return false; }, fromMilliseconds(30));
  }
  CHECK(Distribution.isInForce(7));
  CHECK(Distribution.copies() - Before == VmCount);
}

// Guards against a change of one route that sends all routes to every VM: the
// copies filled slow links, and changes in quick succession kept them full.
TEST_CASE("distribution: changes of one route of 1,466 are in force within 4 s "
          "on eight VMs behind a link of 1 Mbit/s") {
  constexpr std::uint64_t LastVersion = 15;
  const duration ChangeInterval = fromMilliseconds(160);
  distribution Distribution(8, 1000 * KilobitsPerSecond);
  auto Routes = randomRoutes(3, 1466);
  Distribution.submit(3, Routes);
  REQUIRE(Distribution.runUntil([&] { return Distribution.isInForce(3); },
                                fromMilliseconds(20000)));
  for (std::uint64_t Version = 4; Version <= LastVersion; ++Version) {
    Routes[100 * Version % Routes.size()].StatementTimeout =
        fromMilliseconds(900);
    Distribution.submit(Version, Routes);
    Distribution.runUntil([] { return false; }, ChangeInterval);
  }
  CHECK(
      Distribution.runUntil([&] { return Distribution.isInForce(LastVersion); },
                            InForceTimeout - ChangeInterval));
}

// Guards against a page of views for each renewal that arrives while the same
// page is still on its way: a joining VM never got its first lease.
TEST_CASE(
    "distribution: a VM that joins 2,900 groups behind a link of 1 Mbit/s "
    "has a lease within 4 s while notifications make it renew often") {
  distribution Distribution(0, 1000 * KilobitsPerSecond);
  std::vector<group_limits> Groups = {{group_id("g"), 24, 1}};
  for (int I = 1; I < 2900; ++I)
    Groups.push_back({group_id("g" + std::to_string(I)), 24, 1});
  Distribution.submit(3, {}, Groups);
  auto &Vm = Distribution.addVm();
  auto HasLease = [&] { return Vm.Agent.isLeaseValid(); };
  time_point Start = Distribution.Timers.now();
  std::uint64_t Number = 0;
  while (!HasLease() && Distribution.Timers.now() - Start < InForceTimeout) {
    Distribution.announce(++Number);
    Distribution.runUntil(HasLease, fromMilliseconds(30));
  }
  CHECK(HasLease());
}
