#include "modules/limits/limit_shares.h"
#include "modules/line/operation_starter.h"
#include "modules/line/tests/line_session_harness.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

const organisation_id Organisation("miny420");

/// A session whose statements are refused.
struct refused_session : line_session_harness {
  refused_session() { sendMessage("START db key"); }

  std::string refuse(limit_verdict Verdict) {
    return deliverReply(refusalOf(Verdict, Organisation));
  }
};

wire::statement_reply replyOf(wire::statement_outcome::type Outcome,
                              line_error Code) {
  wire::statement_reply Reply;
  Reply.outcome = Outcome;
  Reply.last = true;
  Reply.code = sqlStateOf(Code);
  return Reply;
}

/// Operations of the organisation, one in each share of its limit.
constexpr std::size_t Operations = LimitShares;

/// An entry whose VM is the limiter of all shares of an organisation's limit.
struct starter_harness {
  event_loop Loop;
  timer_service Timers{Loop};
  metrics Metrics;
  tracer Tracer;
  daemon_context Context{
      Loop, Timers, Metrics, Tracer,
      vm_identity{
          vm_id("entry"), incarnation(7), {}, {}, endpoint{"127.0.0.1", 0}}};
  link_hub Hub{Context, {}};
  limiter_view View;
  deployment Deployment;
  limit_service Limits{Context,
                       Hub,
                       {[this]() -> const limiter_view & { return View; },
                        [this]() -> const deployment & { return Deployment; }}};
  bool IsConnected = true;
  std::vector<line_caller_id> Submitted;
  std::vector<std::string> Refused;
  operation_starter Starter{
      Loop, Limits,
      operation_hooks{
          [this](line_caller_id Id, const wire::statement_request &) {
            if (IsConnected)
              Submitted.push_back(Id);
            return IsConnected;
          },
          [this](line_caller_id, const wire::statement_reply &Reply) {
            Refused.push_back(Reply.code);
          }}};
  /// Ends waits of the event loop.
  timer_subscription Tick = Timers.every(std::chrono::milliseconds(5), [] {});
  std::uint64_t LastCaller = 0;

  starter_harness() {
    Deployment.Version = deployment_version(1);
    Deployment.Organisations = {
        {Organisation, {}, operation_limit{0, double{Operations}}, 0}};
    Limits.start(true);
    setLimiter();
  }
  void setLimiter() {
    View.Slots.assign(LimiterSlotCount,
                      limiter_holder{Context.Self.Vm, Context.Self.Incarnation,
                                     endpoint{"127.0.0.1", 1}});
    View.LeaseEnd = Timers.now() + std::chrono::seconds(60);
    Limits.handleViewChange();
  }
  line_caller_id begin() {
    line_caller_id Id(++LastCaller);
    Starter.begin(Id, Organisation, {});
    return Id;
  }
  template <typename Condition> bool runUntil(Condition Done) {
    auto End = Timers.now() + std::chrono::seconds(20);
    while (!Done() && Timers.now() < End)
      Loop.runOnce();
    return Done();
  }
};

} // namespace

// Guards against refusals inside the processing of a session's input, which
// would process the same message again.
TEST_CASE("line: a statement is submitted when its operation is granted, and "
          "refused by a later event") {
  starter_harness Entry;
  for (std::size_t Count = 0; Count < Operations + 1; ++Count)
    Entry.begin();
  CHECK(Entry.Submitted.size() == Operations);
  CHECK(Entry.Refused.empty());
  REQUIRE(Entry.runUntil([&] { return !Entry.Refused.empty(); }));
  CHECK(Entry.Refused ==
        std::vector<std::string>{sqlStateOf(line_error::TooMany)});
}

// Guards against operations that count although nothing was executed.
TEST_CASE("line: an operation is given back when its first statement was not "
          "executed") {
  starter_harness Entry;
  auto First = Entry.begin();
  for (std::size_t Count = 1; Count < Operations; ++Count)
    Entry.begin();
  auto NotRun = replyOf(wire::statement_outcome::not_run, line_error::Busy);
  Entry.Starter.handleReply(First, NotRun);
  // Further replies of the session are of later statements.
  Entry.Starter.handleReply(First, NotRun);
  Entry.begin();
  CHECK(Entry.Submitted.size() == Operations + 1);
  Entry.begin();
  CHECK(Entry.Submitted.size() == Operations + 1);
  REQUIRE(Entry.runUntil([&] { return Entry.Refused.size() == 1; }));
}

// Guards against operations that are given back although they may have been
// executed.
TEST_CASE("line: an operation counts when its caller leaves during its first "
          "statement") {
  starter_harness Entry;
  auto First = Entry.begin();
  for (std::size_t Count = 1; Count < Operations; ++Count)
    Entry.begin();
  Entry.Starter.handleDisconnect(First);
  Entry.Starter.handleReply(
      First, replyOf(wire::statement_outcome::not_run, line_error::Busy));
  Entry.begin();
  CHECK(Entry.Submitted.size() == Operations);
}

// Guards against operations that are lost with callers that leave while they
// wait.
TEST_CASE("line: the operation of a caller that left meanwhile serves another "
          "one") {
  starter_harness Entry;
  Entry.View.Slots.clear();
  Entry.Limits.handleViewChange();
  Entry.begin();
  CHECK(Entry.Submitted.empty());
  Entry.IsConnected = false;
  Entry.setLimiter();
  CHECK(Entry.Submitted.empty());
  Entry.IsConnected = true;
  for (int Count = 0; Count < 5; ++Count)
    Entry.begin();
  CHECK(Entry.Submitted.size() == Operations);
}

// Guards against sessions that stay busy without a limiter.
TEST_CASE("line: without a limiter a statement is refused as BUSY") {
  starter_harness Entry;
  Entry.View.Slots.clear();
  Entry.Limits.handleViewChange();
  Entry.begin();
  REQUIRE(Entry.runUntil([&] { return !Entry.Refused.empty(); }));
  CHECK(Entry.Refused ==
        std::vector<std::string>{sqlStateOf(line_error::Busy)});
  CHECK(Entry.Submitted.empty());
}

// Guards against a code that does not state that nothing was executed, and
// against one code for both causes.
TEST_CASE("line: a reached limit is TOOMANY, an unavailable limiter BUSY") {
  refused_session Session;
  Session.sendMessage("QUERY 1 WRITE x 1");
  REQUIRE(Session.Effects.Submit);
  // Empty: the caller has no organisation.
  REQUIRE(Session.Effects.BeginsOperationOf.has_value());
  CHECK(Session.Effects.BeginsOperationOf->Value.empty());
  auto Reached = Session.refuse(limit_verdict::LimitReached);
  CHECK(Reached.starts_with("ERR TOOMANY "));
  CHECK(Reached.ends_with("READY I -\r\n"));
  Session.sendMessage("QUERY 2 READ x");
  auto Unavailable = Session.refuse(limit_verdict::Unavailable);
  CHECK(Unavailable.starts_with("ERR BUSY "));
  CHECK(Unavailable.ends_with("READY I -\r\n"));
}

// Guards against a transaction that goes on without its first statement, or
// counts as open at a gateway that never had it.
TEST_CASE("line: a refused first statement fails its transaction") {
  refused_session Session;
  Session.sendMessage("QUERY 1 BEGIN");
  Session.sendMessage("QUERY 2 READ x");
  REQUIRE(Session.Effects.Submit);
  CHECK(Session.Effects.Submit->opens_transaction);
  auto Refused = Session.refuse(limit_verdict::LimitReached);
  CHECK(Refused.starts_with("ERR TOOMANY "));
  CHECK(Refused.ends_with("READY E -\r\n"));
  Session.sendMessage("QUERY 3 READ x");
  CHECK_FALSE(Session.Effects.Submit);
  CHECK(Session.sendMessage("QUERY 4 ROLLBACK").ends_with("READY I -\r\n"));
  CHECK(isIdle(Session.Caller));
}

// Guards against operations that are given back after an upstream executed a
// part of them, and against operations that are lost when nothing was executed.
TEST_CASE("line: only operations that no upstream executed are given back") {
  using outcome = wire::statement_outcome;
  CHECK(isReturnable(replyOf(outcome::not_run, line_error::Busy)));
  CHECK(isReturnable(replyOf(outcome::not_run, line_error::Overloaded)));
  CHECK(isReturnable(replyOf(outcome::not_run, line_error::TooMany)));
  // The statement may have been executed before the transaction was lost.
  CHECK_FALSE(isReturnable(replyOf(outcome::not_run, line_error::Aborted)));
  CHECK_FALSE(isReturnable(replyOf(outcome::unknown, line_error::InDoubt)));
  CHECK_FALSE(isReturnable(replyOf(outcome::answered, line_error::Failed)));
  // Routing's own code for a statement that was never sent.
  auto NotSent = replyOf(outcome::not_run, line_error::Busy);
  NotSent.code = "57P03";
  CHECK(isReturnable(NotSent));
}
