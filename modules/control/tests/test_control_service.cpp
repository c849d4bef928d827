#include "modules/control/control_service.h"
#include "modules/control/internal_calls.h"
#include "modules/control/operator_json.h"
#include "modules/deployment/key_digest.h"
#include "modules/link/codec.h"
#include "modules/membership/member_agent.h"
#include "tests/temporary_folder.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace teasellock;

namespace {

/// The result of probing an upstream.
struct fake_upstream {
  bool Up = true;
  bool Replica = true;
  position Replayed{term(1), 100};
};

using fake_group = std::map<std::string, fake_upstream>;

/// A VM whose gateway reports the state of a fake group.
struct test_vm {
  metrics Metrics;
  tracer Tracer;
  daemon_context Context;
  link_hub Hub;
  fake_group &Upstreams;
  std::unique_ptr<member_agent> Agent;
  time_point DownSince{};

  test_vm(event_loop &Loop, timer_service &Timers, const std::string &Name,
          fake_group &Upstreams)
      : Context{Loop,
                Timers,
                Metrics,
                Tracer,
                {vm_id(Name),
                 incarnation(1),
                 availability_zone_id("zone-" + Name),
                 region_id("region"),
                 {"127.0.0.1", 0}}},
        Hub(Context, link_settings()), Upstreams(Upstreams) {
    Context.Self.InternalEndpoint = Hub.listen();
  }

  void join(const endpoint &Control) {
    membership_settings Settings;
    Settings.ControlEndpoints = {Control};
    Settings.RenewalPeriod = fromMilliseconds(40);
    Agent = std::make_unique<member_agent>(Context, Hub, Settings);
    gateway_hooks Hooks;
    Hooks.BuildReports = [this] { return reports(); };
    Hooks.Fence = [this](const wire::fence &Fence, auto Answer) {
      wire::fence_reply Reply;
      Reply.group = Fence.group;
      Reply.term = Fence.term;
      Reply.upstreams = probes();
      Answer(Reply);
    };
    Hooks.Promote = [this](const wire::promote &Order, auto Answer) {
      auto &Upstream = Upstreams[Order.upstream];
      Upstream.Replica = false;
      Upstream.Replayed = {term(static_cast<std::uint64_t>(Order.term)),
                           Upstream.Replayed.Offset + 1};
      wire::promote_reply Reply;
      Reply.group = Order.group;
      Reply.upstream = Order.upstream;
      Reply.term = Order.term;
      Reply.done = true;
      Answer(Reply);
    };
    Agent->attachGateway(std::move(Hooks));
    Agent->start();
  }

  std::vector<wire::upstream_report> probes() {
    std::vector<wire::upstream_report> Result;
    for (auto &[Name, Upstream] : Upstreams) {
      wire::upstream_report Report;
      Report.upstream = Name;
      Report.reachable = Upstream.Up;
      Report.refused = !Upstream.Up;
      Report.unreachable_ms = Upstream.Up ? 0 : 150;
      Report.replica = Upstream.Replica;
      Report.replayed = toWire(Upstream.Replayed);
      Result.push_back(Report);
    }
    return Result;
  }

  std::vector<wire::group_report> reports() {
    std::vector<wire::group_report> Result;
    for (const auto &[Name, View] : Agent->views())
      for (const auto &Share : View.Gateways)
        if (Share.Vm == Context.Self.Vm) {
          wire::group_report Report;
          Report.group = Name.Value;
          Report.term = static_cast<std::int64_t>(View.Term.Value);
          Report.budget_epoch = static_cast<std::int64_t>(Share.BudgetEpoch);
          Report.upstreams = probes();
          Result.push_back(Report);
        }
    return Result;
  }
};

/// Three VMs on one event loop; the first is the only control member.
struct test_deployment {
  event_loop Loop;
  timer_service Timers{Loop};
  temporary_folder Folder;
  fake_group Upstreams;
  test_vm First{Loop, Timers, "one", Upstreams};
  test_vm Second{Loop, Timers, "two", Upstreams};
  test_vm Third{Loop, Timers, "three", Upstreams};
  std::unique_ptr<control_service> Control;

  test_deployment() {
    consensus_settings Consensus;
    Consensus.DataFolder = Folder.Path;
    Consensus.HeartbeatPeriod = fromMilliseconds(20);
    Consensus.ElectionTimeout = fromMilliseconds(100);
    Control = std::make_unique<control_service>(First.Context, First.Hub,
                                                control_settings(), Consensus);
    Control->start();
  }

  template <typename Condition> bool runUntil(Condition Done) {
    const duration Timeout = fromMilliseconds(10000);
    for (time_point Start = Timers.now();
         Timers.now() - Start < Timeout && !Done();)
      Loop.runOnce();
    return Done();
  }

  std::pair<int, nlohmann::json> ask(const std::string &Method,
                                     const std::string &Path,
                                     const nlohmann::json &Body = {}) {
    std::optional<std::pair<int, nlohmann::json>> Result;
    Control->handleOperator(Method, Path, Body.dump(),
                            [&](int Status, const std::string &Text) {
                              Result = {Status, nlohmann::json::parse(Text)};
                            });
    REQUIRE(runUntil([&] { return Result.has_value(); }));
    return *Result;
  }

  void found() {
    auto Status = ask("GET", "/v1/control/status").second;
    nlohmann::json Member = {
        {"store", Status["store"]},
        {"vm", "one"},
        {"address", toString(First.Context.Self.InternalEndpoint)}};
    CHECK(ask("POST", "/v1/control/init", {{"members", {Member}}}).first ==
          200);
    REQUIRE(runUntil([&] { return Control->isLeader(); }));
    for (auto *Vm : {&First, &Second, &Third})
      Vm->join(First.Context.Self.InternalEndpoint);
  }

  void announce(const std::string &Upstream, bool Leaving = false) {
    upstream_announcement Announcement;
    Announcement.Group = group_id("fares");
    Announcement.Upstream = upstream_id(Upstream);
    Announcement.Address = {"10.0.0.1", 5432};
    Announcement.Connections = 25;
    Announcement.Slots = 3;
    Announcement.Leaving = Leaving;
    Second.Agent->announce(Announcement);
  }

  /// Submits an announcement as the platform does; returns the status of the
  /// answer.
  int submit(const upstream_announcement &Announcement) {
    std::optional<int> Result;
    Control->handleOperator(
        "POST", AnnouncementPath, encode(toWire(Announcement)),
        [&](int Status, const std::string &) { Result = Status; });
    REQUIRE(runUntil([&] { return Result.has_value(); }));
    return *Result;
  }

  const group_view *view() { return Third.Agent->find(group_id("fares")); }

  bool primaryIs(const std::string &Upstream) {
    const auto *View = view();
    return View && View->Primary == upstream_id(Upstream);
  }

  void serve() {
    found();
    Upstreams["a"].Replica = false;
    Upstreams["a"].Replayed.Offset = 120;
    Upstreams["b"] = {};
    Upstreams["c"].Replayed.Offset = 120;
    nlohmann::json Row = {{"group", "fares"}};
    auto Edit =
        ask("PUT", "/v1/table",
            {{"edit_id", "first"}, {"base_version", 0}, {"rows", {Row}}});
    CHECK(Edit.first == 200);
    CHECK(Edit.second["version"] == 1);
    for (const char *Name : {"a", "b", "c"})
      announce(Name);
    REQUIRE(runUntil([&] { return primaryIs("a"); }));
  }

  /// Puts a version with one organisation in force and waits until all VMs have
  /// it.
  void submit(std::uint64_t Version, std::optional<operation_limit> Limit) {
    deployment_proposal Proposal;
    Proposal.Deployment.Version = deployment_version(Version);
    organisation Organisation;
    Organisation.Name = organisation_id("o");
    Organisation.Limit = Limit;
    Proposal.Deployment.Organisations = {Organisation};
    group_limits Limits;
    Limits.Group = group_id("fares");
    Limits.MaxConnections = 25;
    Proposal.Groups = {Limits};
    Control->handleOperator(
        "PUT", DeploymentPath, encode(makeDeploymentCommand(Proposal).change),
        [](int Status, const std::string &) { CHECK(Status == 200); });
    REQUIRE(runUntil([&] {
      return forAll([&](const member_agent &Agent) {
        return Agent.currentDeployment().Version == deployment_version(Version);
      });
    }));
  }

  template <typename Condition> bool forAll(Condition Holds) {
    return Holds(*First.Agent) && Holds(*Second.Agent) && Holds(*Third.Agent);
  }

  /// Reports whether the VM knows a holder of every slot.
  static bool knowsLimiters(const member_agent &Agent) {
    const auto &Slots = Agent.limiters().Slots;
    return Slots.size() == LimiterSlotCount &&
           std::count(Slots.begin(), Slots.end(), std::nullopt) == 0;
  }
};

std::size_t slotsOf(const limiter_view &View, const vm_id &Vm) {
  return static_cast<std::size_t>(
      std::count_if(View.Slots.begin(), View.Slots.end(),
                    [&](const auto &Slot) { return Slot && Slot->Vm == Vm; }));
}

} // namespace

TEST_CASE("control: a row, announcements and renewals lead to leases, "
          "gateways, a first primary and views") {
  test_deployment Deployment;
  Deployment.serve();
  CHECK(Deployment.Third.Agent->isLeaseValid());
  CHECK((Deployment.view()->Term == term(1)));
  CHECK(Deployment.view()->Gateways.size() == 2);
  CHECK(Deployment.view()->Upstreams.size() == 3);
  REQUIRE(Deployment.runUntil([&] {
    auto Status = Deployment.ask("GET", "/v1/table/status").second;
    return Status["behind"].empty();
  }));
}

TEST_CASE("control: a failed primary is replaced by the highest replica, and "
          "one that is leaving is handed over") {
  test_deployment Deployment;
  Deployment.serve();
  Deployment.Upstreams["a"].Up = false;
  REQUIRE(Deployment.runUntil([&] { return Deployment.primaryIs("c"); }));
  CHECK((Deployment.view()->Term == term(2)));
  Deployment.Upstreams["a"].Up = true;
  Deployment.Upstreams["a"].Replica = true;
  Deployment.Upstreams["b"].Replayed = {term(2), 121};
  Deployment.announce("c", true);
  REQUIRE(Deployment.runUntil([&] { return Deployment.primaryIs("b"); }));
  CHECK((Deployment.view()->Term == term(3)));
}

TEST_CASE("control: a draining VM hands over its groups first") {
  test_deployment Deployment;
  Deployment.serve();
  vm_id Leaving = Deployment.view()->Gateways.front().Vm;
  test_vm *Vm = Leaving == vm_id("one")   ? &Deployment.First
                : Leaving == vm_id("two") ? &Deployment.Second
                                          : &Deployment.Third;
  bool Released = false;
  Vm->Agent->drain([&] { Released = true; });
  REQUIRE(Deployment.runUntil([&] { return Released; }));
  auto Group = Deployment.ask("GET", "/v1/groups/fares").second;
  CHECK(Group["gateways"].size() == 2);
  for (const auto &Gateway : Group["gateways"])
    CHECK((Gateway["vm"] != Leaving.Value));
}

TEST_CASE("control: VMs learn the limiters and their leases, only while an "
          "organisation has a limit") {
  test_deployment Deployment;
  Deployment.serve();
  Deployment.submit(1, std::nullopt);
  // Renewals after the deployment was applied.
  time_point Applied = Deployment.Timers.now();
  Deployment.runUntil([&] {
    return Deployment.Timers.now() - Applied > fromMilliseconds(150);
  });
  CHECK(Deployment.forAll([](const member_agent &Agent) {
    return Agent.limiters().Revision == revision() &&
           Agent.limiters().LeaseEnd == time_point();
  }));
  CHECK(Deployment.ask("GET", "/v1/limiters").second["slots"].empty());
  std::size_t Changes = 0;
  Deployment.Third.Agent->onLimitersChanged([&] { ++Changes; });
  Deployment.submit(2, operation_limit{10, 10});
  REQUIRE(Deployment.runUntil([&] {
    return Deployment.forAll([&](const member_agent &Agent) {
      return test_deployment::knowsLimiters(Agent) &&
             Agent.limiters().LeaseEnd > Deployment.Timers.now();
    });
  }));
  CHECK(Changes > 0);
  const auto &View = Deployment.Third.Agent->limiters();
  for (const char *Name : {"one", "two", "three"})
    CHECK(slotsOf(View, vm_id(Name)) >= 2);
  auto Shown = Deployment.ask("GET", "/v1/limiters").second;
  REQUIRE(Shown["slots"].size() == LimiterSlotCount);
  CHECK(Shown["slots"][3]["vm"] == View.Slots[3]->Vm.Value);
  CHECK(Shown["slots"][3]["lease_ms"] > 0);
  Deployment.submit(3, std::nullopt);
  REQUIRE(Deployment.runUntil([&] {
    return Deployment.forAll([](const member_agent &Agent) {
      return Agent.limiters().Slots.empty();
    }) && Deployment.ask("GET", "/v1/limiters").second["slots"].empty();
  }));
}

TEST_CASE("control: a draining VM may stop only after other VMs hold its "
          "limiter slots or it has released them") {
  test_deployment Deployment;
  Deployment.serve();
  Deployment.submit(1, operation_limit{10, 10});
  REQUIRE(Deployment.runUntil(
      [&] { return Deployment.forAll(&test_deployment::knowsLimiters); }));
  vm_id Leaving("two");
  bool Released = false;
  Deployment.Second.Agent->drain([&] {
    Released = true;
    CHECK(slotsOf(Deployment.Second.Agent->limiters(), Leaving) == 0);
  });
  time_point Start = Deployment.Timers.now();
  REQUIRE(Deployment.runUntil([&] { return Released; }));
  REQUIRE(Deployment.runUntil([&] {
    return Deployment.forAll([&](const member_agent &Agent) {
      return test_deployment::knowsLimiters(Agent) &&
             slotsOf(Agent.limiters(), Leaving) == 0;
    });
  }));
  // The slots are handed over on the VM's report, long before its lease ends.
  CHECK(Deployment.Timers.now() - Start <
        decision_settings().LimiterLeaseTime / 2);
}

TEST_CASE("control: concurrent and resent edits, and invalid requests") {
  test_deployment Deployment;
  Deployment.serve();
  nlohmann::json Rows = {{{"group", "fares"}, {"queue_limit", 7}}};
  auto Edit = [&](const std::string &Id, int Base) {
    return Deployment.ask(
        "PUT", "/v1/table",
        {{"edit_id", Id}, {"base_version", Base}, {"rows", Rows}});
  };
  CHECK(Edit("left", 1).first == 200);
  auto Lost = Edit("right", 1);
  CHECK(Lost.first == 409);
  CHECK(Lost.second["winning_edit"] == "left");
  CHECK(Lost.second["version"] == 2);
  CHECK(Edit("left", 1).second["version"] == 2);
  CHECK(Edit("right", 2).first == 409);
  REQUIRE(Deployment.runUntil(
      [&] { return Deployment.view()->Row.QueueLimit == 7; }));
  CHECK(Deployment.ask("PUT", "/v1/table", {{"rows", 3}}).first == 400);
  CHECK(Deployment.ask("GET", "/v1/groups/none").first == 404);
  CHECK(Deployment.ask("POST", "/v1/groups/fares/promote").first == 400);
  CHECK(Deployment.ask("POST", "/v1/nothing").first == 404);
}

TEST_CASE("control: in hand mode nothing is promoted before an operator "
          "approves it") {
  test_deployment Deployment;
  Deployment.found();
  Deployment.Upstreams["a"].Replica = false;
  Deployment.Upstreams["b"] = {};
  nlohmann::json Row = {{"group", "fares"}, {"mode", "hand"}};
  Deployment.ask("PUT", "/v1/table",
                 {{"edit_id", "e"}, {"base_version", 0}, {"rows", {Row}}});
  Deployment.announce("a");
  Deployment.announce("b");
  auto Approve = [&](const std::string &Kind) {
    std::string Id;
    REQUIRE(Deployment.runUntil([&] {
      auto Proposals = Deployment.ask("GET", "/v1/proposals").second;
      for (const auto &Proposal : Proposals["proposals"])
        if (Proposal["kind"] == Kind)
          Id = Proposal["id"].get<std::string>();
      return !Id.empty();
    }));
    auto Group = Deployment.ask("GET", "/v1/groups/fares").second;
    CHECK_FALSE(Group["waiting"].get<std::string>().empty());
    CHECK(Deployment.ask("POST", "/v1/proposals/" + Id + "/approve").first ==
          200);
  };
  Approve("adopt");
  REQUIRE(Deployment.runUntil([&] { return Deployment.primaryIs("a"); }));
  Deployment.Upstreams["a"].Up = false;
  Approve("failover");
  REQUIRE(Deployment.runUntil([&] { return Deployment.primaryIs("b"); }));
}

TEST_CASE("control: a promotion by an operator goes to the requested upstream "
          "and lists what may be lost") {
  test_deployment Deployment;
  Deployment.serve();
  auto Promote = [&](const char *Upstream, bool Force) {
    return Deployment.ask("POST", "/v1/groups/fares/promote",
                          {{"upstream", Upstream}, {"force", Force}});
  };
  CHECK(Promote("none", true).first == 400);
  CHECK(Promote("a", false).first == 400);
  // The replica b is behind: refused until forced.
  CHECK(Promote("b", false).first == 202);
  REQUIRE(Deployment.runUntil([&] {
    auto Group = Deployment.ask("GET", "/v1/groups/fares").second;
    return Group["waiting"].get<std::string>().find("below") !=
           std::string::npos;
  }));
  auto Forced = Promote("b", true);
  CHECK(Forced.first == 202);
  CHECK(Forced.second["may_lose"].get<std::string>().find("1/120") !=
        std::string::npos);
  REQUIRE(Deployment.runUntil([&] { return Deployment.primaryIs("b"); }));
}

TEST_CASE("control: operators read the deployment in force") {
  test_deployment Deployment;
  Deployment.serve();
  auto Empty = Deployment.ask("GET", "/v1/deployment");
  CHECK(Empty.first == 200);
  CHECK(Empty.second["version"] == 0);
  CHECK(Empty.second["groups"][0]["group"] == "fares");
  control_state State;
  auto &Given = State.Deployment.Deployment;
  Given.Version = deployment_version(7);
  route Route;
  Route.Database = database_id("fares-live");
  Route.Group = group_id("fares");
  Route.Consistency = consistency::BoundedStaleness;
  Route.MaxStaleness = fromMilliseconds(1500);
  Given.Routes.push_back(Route);
  Given.IdleTransactionTimeout = fromMilliseconds(3000);
  auto Shown = deploymentJson(State);
  CHECK(Shown["version"] == 7);
  CHECK(Shown["routes"][0]["database"] == "fares-live");
  CHECK(Shown["routes"][0]["consistency"] == "bounded_staleness");
  CHECK(Shown["routes"][0]["max_staleness_ms"] == 1500);
  CHECK(Shown["routes"][0]["public"] == false);
  CHECK(Shown["idle_transaction_ms"] == 3000);
  CHECK(Shown["groups"].empty());
  CHECK_FALSE(Shown.contains("organisations"));
}

// Guards against keys or whole digests in what operators are shown.
TEST_CASE("control: operators see fingerprints of keys, and limits") {
  control_state State;
  auto &Given = State.Deployment.Deployment;
  Given.Routes.emplace_back().IsPublic = true;
  auto Digest = digestOf("secret");
  Given.Organisations = {
      {organisation_id("o1"), {Digest}, operation_limit{5, 10}, 1},
      {organisation_id("o2"), {}, std::nullopt, 0}};
  auto Shown = deploymentJson(State);
  CHECK(Shown["routes"][0]["public"] == true);
  const auto &First = Shown["organisations"][0];
  CHECK(First["organisation"] == "o1");
  CHECK(First["keys"][0] == fingerprintOf(Digest));
  CHECK(First["keys"][0].get<std::string>().size() == 8);
  CHECK(First["rate_per_s"] == 5);
  CHECK(First["burst"] == 10);
  CHECK(Shown["organisations"][1]["rate_per_s"].is_null());
}

// Guards against a drain that is acknowledged and ignored: the announcement of
// an incarnation that counts as outdated was answered like one that took
// effect.
TEST_CASE("control: an announcement without effect is not acknowledged") {
  test_deployment Deployment;
  Deployment.found();
  upstream_announcement Announcement;
  Announcement.Group = group_id("fares");
  Announcement.Upstream = upstream_id("a");
  Announcement.Address = {"10.0.0.1", 5432};
  Announcement.Incarnation = incarnation(7);
  CHECK(Deployment.submit(Announcement) == 200);
  Announcement.Incarnation = incarnation(6);
  Announcement.Leaving = true;
  CHECK(Deployment.submit(Announcement) == 409);
  CHECK(Deployment.First.Metrics
            .counterOf("teasellock_control_outdated_announcements_total")
            .Value == 1);
  Announcement.Incarnation = incarnation(7);
  CHECK(Deployment.submit(Announcement) == 200);
  CHECK(Deployment.submit(Announcement) == 200);
  Announcement.Gone = true;
  CHECK(Deployment.submit(Announcement) == 200);
  // The answer to a departure may have been lost.
  CHECK(Deployment.submit(Announcement) == 200);
}

// Guards against a former leader that goes on reporting groups which wait: what
// it knew of them ends with its leadership.
TEST_CASE("control: a change of leadership resets the number of waiting "
          "groups") {
  test_deployment Deployment;
  auto &Waiting = Deployment.First.Metrics.gaugeOf(
      "teasellock_control_groups_without_candidate");
  Waiting.set(1);
  Deployment.found();
  CHECK(Waiting.Value == 0);
}
