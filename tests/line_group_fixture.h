#pragma once

#include "modules/line/line_group.h"
#include "platform/line_codec.h"
#include "tests/soak/upstream_group.h"

#include <doctest/doctest.h>

namespace teasellock {

/// The gateway of one group for the line protocol with three simulated
/// upstreams on one event loop. "g-1" is the primary of term 1. The oracle
/// checks what the upstreams execute.
struct line_group_fixture {
  static constexpr int MaxTurns = 20000;
  static constexpr std::uint64_t PromotionRevision = 10;

  event_loop Loop;
  timer_service Timers{Loop};
  metrics Metrics;
  tracer Tracer;
  daemon_context Context{Loop, Timers, Metrics, Tracer, identity()};
  soak::oracle Oracle;
  soak::upstream_group Upstreams{Loop, Timers, Oracle, upstreamSettings()};
  line_group_settings Settings;
  group_view View;
  std::uint64_t LastRequest = 0;
  std::shared_ptr<group_handler> Gateway;
  /// When control last confirmed the view; if empty, it always does.
  std::optional<time_point> LastConfirmedAt;

  /// The gateway knows the first KnownUpstreams of the three.
  explicit line_group_fixture(std::size_t KnownUpstreams = 3,
                              bool HasOrganisations = false,
                              even_load_settings EvenLoad = {}) {
    View.Group = group_id("g");
    View.Revision = revision(1);
    View.Row.Group = View.Group;
    View.Term = term(1);
    View.Primary = upstream_id("g-1");
    for (std::size_t Index = 0; Index < KnownUpstreams; ++Index)
      announce(Index);
    gateway_share Share;
    Share.Vm = Context.Self.Vm;
    Share.Incarnation = Context.Self.Incarnation;
    Share.Connections = 12;
    Share.Slots = 3;
    View.Gateways.push_back(Share);
    Settings.Protocol = &platform::lineProtocol();
    Settings.ProbeTimeout = fromMilliseconds(200);
    Settings.EvenLoad = EvenLoad;
    Gateway = makeLineGroup(
        Context,
        membership_hooks{
            [] { return true; }, [] {},
            [HasOrganisations] { return HasOrganisations; },
            [this] { return LastConfirmedAt.value_or(Timers.now()); }},
        Settings, View.Group);
    Gateway->apply(View);
    REQUIRE(runUntil([&] { return countReachable() == KnownUpstreams; }));
  }

  // Queued tasks hold sockets: they are executed before the loop is destroyed.
  ~line_group_fixture() {
    Gateway.reset();
    run(fromMilliseconds(30));
  }

  static vm_identity identity() {
    return {vm_id("vm1"), incarnation(7), availability_zone_id("z"),
            region_id("r"), endpoint{"127.0.0.1", 0}};
  }

  static soak::group_settings upstreamSettings() {
    soak::group_settings Settings;
    Settings.Group = group_id("g");
    Settings.Address = {"127.0.0.1", 0};
    return Settings;
  }

  void announce(std::size_t Index) {
    auto Status = Upstreams.statusOf(Index);
    upstream_announcement Announcement;
    Announcement.Group = View.Group;
    Announcement.Upstream = upstream_id(Status.Id);
    Announcement.Address = Status.Address;
    Announcement.Slots = 3;
    Announcement.Connections = 24;
    Announcement.Incarnation = incarnation(Status.Incarnation);
    View.Upstreams.push_back(Announcement);
  }

  template <typename Condition> bool runUntil(Condition Done) {
    auto Tick = Timers.every(fromMilliseconds(1), [] {});
    for (int Turn = 0; Turn < MaxTurns && !Done(); ++Turn)
      Loop.runOnce();
    return Done();
  }

  void run(duration Span) {
    time_point End = Timers.now() + Span;
    runUntil([&] { return Timers.now() >= End; });
  }

  std::size_t countReachable() const {
    std::size_t Count = 0;
    for (const auto &Report : Gateway->report().upstreams)
      if (Report.reachable && (Report.replica || Report.upstream == "g-1"))
        ++Count;
    return Count;
  }

  /// Sends the fence of a promotion that begins, and waits for the reply.
  wire::fence_reply fence(const upstream_id &Demoted = {}) {
    wire::fence Fence;
    Fence.demoted = Demoted.Value;
    Fence.group = View.Group.Value;
    Fence.term = 1;
    Fence.pause_term = 2;
    Fence.revision = PromotionRevision;
    std::optional<wire::fence_reply> Reply;
    Gateway->fence(Fence, [&](wire::fence_reply Got) { Reply = Got; });
    REQUIRE(runUntil([&] { return Reply.has_value(); }));
    return *Reply;
  }

  /// A statement of session 1; Transaction is zero outside a transaction.
  struct statement {
    std::string Id;
    wire::line_verb::type Verb = wire::line_verb::read;
    std::string Text;
    std::int64_t Transaction = 0;
    bool OpensTransaction = false;
    std::map<std::string, std::string> Settings = {};
    duration Timeout = fromMilliseconds(2000);
    /// Of a prepared statement; its shape is Text.
    std::string Arguments = "";
    /// Negative: reads see every acknowledged write.
    duration MaxStaleness = fromMilliseconds(-1);
    std::string Organisation = "";
    /// 0 is the highest priority.
    std::int32_t Priority = 0;
    /// Of a transaction that the statement opens.
    bool ReadOnly = false;
  };

  struct collected_reply {
    bool Done = false;
    wire::statement_reply Reply;
  };

  std::shared_ptr<collected_reply> start(const statement &Statement) {
    bool Writes = Statement.Verb == wire::line_verb::write;
    bool IsPrepared = Statement.Verb == wire::line_verb::execute;
    std::string Text = Statement.Text;
    if (IsPrepared)
      Text += " " + Statement.Arguments;
    Oracle.recordSent({Statement.Id, Text, 1,
                       static_cast<std::uint64_t>(Statement.Transaction),
                       Statement.Settings, Writes});
    Oracle.recordReadStart(
        Statement.Id, 1,
        {View.Group, std::max(Statement.MaxStaleness, duration())},
        Timers.now());
    incoming_statement Arrived;
    Arrived.Key = {link_id(1), request_id(++LastRequest)};
    auto &Request = Arrived.Statement;
    Request.group = View.Group.Value;
    Request.organisation = Statement.Organisation;
    Request.priority = Statement.Priority;
    Request.term = 1;
    Request.access =
        Writes ? wire::statement_access::write : wire::statement_access::read;
    Request.transaction = Statement.Transaction;
    Request.opens_transaction = Statement.OpensTransaction;
    Request.read_only = Statement.ReadOnly;
    Request.settings = Statement.Settings;
    Request.timeout_ms = toMilliseconds(Statement.Timeout);
    Request.max_staleness_ms = toMilliseconds(Statement.MaxStaleness);
    Request.line.verb = Statement.Verb;
    Request.line.id = Statement.Id;
    Request.line.text = IsPrepared ? "" : Statement.Text;
    Request.line.shape = IsPrepared ? Statement.Text : "";
    Request.line.arguments = Statement.Arguments;
    Request.__isset.line = true;
    auto Answer = std::make_shared<collected_reply>();
    Arrived.Reply = [Answer](wire::statement_reply Reply) {
      CHECK_FALSE(Answer->Done);
      Answer->Done = true;
      Answer->Reply = std::move(Reply);
    };
    Gateway->submit(std::move(Arrived));
    return Answer;
  }

  wire::statement_reply finish(const statement &Statement) {
    auto Answer = start(Statement);
    REQUIRE(runUntil([&] { return Answer->Done; }));
    return Answer->Reply;
  }

  static bool succeeded(const wire::statement_reply &Reply) {
    return Reply.outcome == wire::statement_outcome::answered &&
           Reply.code.empty();
  }
};

} // namespace teasellock
