#pragma once

#include "modules/gateway/group_gateway.h"
#include "tests/stand_in/server.h"

#include <doctest/doctest.h>
#include <map>

namespace teasellock {

/// Returns a request to stop acknowledging writes in a term.
inline wire::fence fenceOf(std::int64_t Term) {
  wire::fence Fence;
  Fence.group = "despacho";
  Fence.term = Term;
  return Fence;
}

/// A gateway of one group with three stand-in upstreams on one event loop.
/// Upstream "a" is the primary of term 1; "b" and "c" are its replicas.
struct gateway_fixture {
  static constexpr int MaxTurns = 20000;

  event_loop Loop;
  timer_service Timers{Loop};
  metrics Metrics;
  tracer Tracer;
  daemon_context Context{Loop, Timers, Metrics, Tracer, identity()};
  gateway_settings Settings;
  std::map<std::string, std::unique_ptr<stand_in::server>> Servers;
  group_view View;
  bool LeaseValid = true;
  int ReportRequests = 0;
  std::uint64_t LastRequest = 0;
  std::unique_ptr<group_gateway> Gateway;

  explicit gateway_fixture(std::uint32_t Connections = 12,
                           std::uint32_t Slots = 3) {
    View.Group = group_id("despacho");
    View.Row.Group = View.Group;
    View.Term = term(1);
    View.Primary = upstream_id("a");
    addServer("a", "zocalo", std::nullopt);
    addServer("b", "mercado", Servers["a"]->listenEndpoint());
    addServer("c", "malecon", Servers["a"]->listenEndpoint());
    gateway_share Share;
    Share.Vm = Context.Self.Vm;
    Share.Incarnation = Context.Self.Incarnation;
    Share.Connections = Connections;
    Share.Slots = Slots;
    Share.BudgetEpoch = 1;
    View.Gateways.push_back(Share);
    Settings.ProbePeriod = fromMilliseconds(20);
    Settings.ProbeTimeout = fromMilliseconds(100);
    Gateway = std::make_unique<group_gateway>(
        Context,
        membership_hooks{[this] { return LeaseValid; },
                         [this] { ++ReportRequests; }},
        Settings, View.Group);
    Gateway->apply(View);
    REQUIRE(runUntil([&] { return allUpstreamsReachable(); }));
  }

  // Queued tasks hold sockets: they are executed before the loop is destroyed.
  ~gateway_fixture() {
    Gateway.reset();
    auto Tick = Timers.every(fromMilliseconds(1), [] {});
    for (int Turn = 0; Turn < 30; ++Turn)
      Loop.runOnce();
  }

  static vm_identity identity() {
    return {vm_id("vm1"), incarnation(7), availability_zone_id("mercado"),
            region_id("centro"), endpoint{"127.0.0.1", 0}};
  }

  void addServer(const std::string &Name, const std::string &Zone,
                 std::optional<endpoint> Follow) {
    stand_in::server_options Options;
    Options.Group = View.Group;
    Options.Name = upstream_id(Name);
    Options.Listen = {"127.0.0.1", 0};
    Options.FollowPrimary = Follow;
    Servers[Name] = std::make_unique<stand_in::server>(Loop, Timers, Options);
    upstream_announcement Announcement;
    Announcement.Group = View.Group;
    Announcement.Upstream = upstream_id(Name);
    Announcement.Address = Servers[Name]->listenEndpoint();
    Announcement.AvailabilityZone = availability_zone_id(Zone);
    Announcement.Region = region_id("centro");
    Announcement.Slots = 3;
    Announcement.Connections = 25;
    View.Upstreams.push_back(Announcement);
  }

  template <typename Condition> bool runUntil(Condition Done) {
    for (int Turn = 0; Turn < MaxTurns && !Done(); ++Turn)
      Loop.runOnce();
    return Done();
  }

  bool allUpstreamsReachable() {
    std::size_t Ready = 0;
    for (const wire::upstream_report &Report : Gateway->report().upstreams)
      if (Report.reachable && (Report.replica || Report.upstream == "a"))
        ++Ready;
    return Ready == Servers.size();
  }

  /// The parts of one statement's answer.
  struct collected_answer {
    bool Done = false;
    wire::statement_reply Last;
    std::string Messages;
  };

  static wire::statement_request request(const std::string &Sql,
                                         wire::statement_access::type Access) {
    wire::statement_request Request;
    Request.group = "despacho";
    Request.term = 1;
    Request.floor_known = true;
    Request.access = Access;
    Request.timeout_ms = 2000;
    wire::statement_step Step;
    Step.kind = wire::step_kind::simple;
    Step.sql = Sql;
    Request.steps.push_back(Step);
    return Request;
  }

  static wire::statement_request read(const std::string &Sql) {
    return request(Sql, wire::statement_access::read);
  }
  static wire::statement_request write(const std::string &Sql) {
    return request(Sql, wire::statement_access::write);
  }

  std::shared_ptr<collected_answer> start(wire::statement_request Request) {
    auto Answer = std::make_shared<collected_answer>();
    incoming_statement Arrived;
    Arrived.Key = {link_id(1), request_id(++LastRequest)};
    Arrived.Statement = std::move(Request);
    Arrived.Reply = [Answer](wire::statement_reply Reply) {
      Answer->Messages += Reply.messages;
      if (Reply.last) {
        CHECK_FALSE(Answer->Done);
        Answer->Done = true;
        Answer->Last = std::move(Reply);
      }
    };
    Gateway->submit(std::move(Arrived));
    return Answer;
  }

  collected_answer finish(wire::statement_request Request) {
    auto Answer = start(std::move(Request));
    REQUIRE(runUntil([&] { return Answer->Done; }));
    return *Answer;
  }
};

} // namespace teasellock
