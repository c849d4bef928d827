#include "tests/line_group_fixture.h"

#include <array>
#include <optional>
#include <rapidcheck.h>
#include <utility>

using namespace teasellock;

namespace {

using soak::statement_fault;

constexpr std::size_t CallerCount = 4;
constexpr int MinEvents = 40;
constexpr int MaxEvents = 120;
constexpr duration StatementTimeout = std::chrono::milliseconds(300);
/// Longer than the gateway waits for an answer after its statement has timed
/// out.
constexpr duration RestTimeout = std::chrono::milliseconds(6000);

/// A caller's session at an entry, which sends one statement at a time.
struct model_caller {
  std::map<std::string, std::string> Settings{{"tag", "v0"}};
  /// The open transaction; zero outside one.
  std::int64_t Transaction = 0;
  /// The statement without an answer, if any, and its request.
  std::shared_ptr<line_group_fixture::collected_reply> Outstanding;
  request_id Request{};
  std::string StatementId;
};

/// What the upstreams are to answer to one of the next statements.
struct planned_fault {
  /// Statements that are executed before it.
  int Skipped = 0;
  statement_fault Fault = statement_fault::None;
};

/// The gateway of a group, callers that follow random steps, and upstreams
/// whose answers fail.
struct property_fixture : line_group_fixture {
  std::array<model_caller, CallerCount> Callers;
  std::optional<planned_fault> Planned;
  std::int64_t LastTransaction = 0;
  int LastStatement = 0;
  std::size_t Succeeded = 0;

  explicit property_fixture(even_load_settings EvenLoad)
      : line_group_fixture(3, false, EvenLoad) {
    Upstreams.selectFaults([this](const std::string &) { return nextFault(); });
  }

  statement_fault nextFault() {
    if (!Planned || Planned->Skipped-- > 0)
      return statement_fault::None;
    return std::exchange(Planned, std::nullopt)->Fault;
  }

  /// Records the answer to the caller's statement, if it has arrived.
  void takeAnswer(model_caller &Caller) {
    if (!Caller.Outstanding || !Caller.Outstanding->Done)
      return;
    const auto &Reply = Caller.Outstanding->Reply;
    if (Reply.outcome == wire::statement_outcome::not_run)
      Oracle.recordNotCommitted({Caller.StatementId});
    Succeeded += succeeded(Reply) ? 1 : 0;
    if (Reply.transaction_status != 'T')
      Caller.Transaction = 0;
    Caller.Outstanding.reset();
  }

  void send(model_caller &Caller, statement Statement) {
    Statement.Id = "s" + std::to_string(++LastStatement);
    Statement.Settings = Caller.Settings;
    Statement.Timeout = StatementTimeout;
    Caller.StatementId = Statement.Id;
    Caller.Outstanding = start(Statement);
    Caller.Request = request_id(LastRequest);
    takeAnswer(Caller);
  }

  statement randomStatement() {
    auto Kind = *rc::gen::inRange(0, 3);
    if (Kind == 0)
      return {"", wire::line_verb::write, "WRITE item a"};
    if (Kind == 1)
      return {"", wire::line_verb::read, "READ item"};
    statement Statement{"", wire::line_verb::execute, "booking"};
    Statement.Arguments = *rc::gen::element<std::string>("item", "other");
    return Statement;
  }

  /// The caller disconnects, also while a statement is executed.
  void leave(model_caller &Caller) {
    if (Caller.Outstanding)
      Gateway->cancel({link_id(1), Caller.Request});
    if (Caller.Transaction != 0)
      Gateway->release(link_id(1), transaction_id(Caller.Transaction));
    Caller = model_caller();
  }

  void sendNext(model_caller &Caller) {
    auto Statement = randomStatement();
    if (Caller.Transaction != 0) {
      Statement.Transaction = Caller.Transaction;
      if (*rc::gen::inRange(0, 3) == 0) {
        Statement.Verb = wire::line_verb::commit;
        Statement.Text = "COMMIT";
      }
    } else if (*rc::gen::arbitrary<bool>()) {
      Caller.Transaction = Statement.Transaction = ++LastTransaction;
      Statement.OpensTransaction = true;
    }
    send(Caller, std::move(Statement));
  }

  void planFault() {
    Planned = planned_fault{*rc::gen::inRange(0, 4),
                            *rc::gen::weightedElement<statement_fault>(
                                {{6, statement_fault::ReadOnly},
                                 {6, statement_fault::Failed},
                                 {6, statement_fault::Reset},
                                 {1, statement_fault::Silent}})};
  }

  void step() {
    auto &Caller = Callers[*rc::gen::inRange<std::size_t>(0, CallerCount)];
    takeAnswer(Caller);
    switch (*rc::gen::weightedElement<int>(
        {{8, 0}, {2, 1}, {1, 2}, {2, 3}, {6, 4}})) {
    case 0:
      if (!Caller.Outstanding)
        sendNext(Caller);
      break;
    case 1:
      if (!Caller.Outstanding)
        Caller.Settings["tag"] = "v" + std::to_string(*rc::gen::inRange(0, 3));
      break;
    case 2:
      leave(Caller);
      break;
    case 3:
      planFault();
      break;
    default:
      run(fromMilliseconds(*rc::gen::inRange(1, 8)));
    }
  }

  double gaugeOf(const std::string &Name) {
    return Metrics.gaugeOf(Name, {{"group", "g"}}).Value;
  }

  bool isAtRest() {
    return Upstreams.openTransactions() == 0 && Gateway->inFlight() == 0 &&
           gaugeOf("teasellock_gateway_open_transactions") == 0 &&
           gaugeOf("teasellock_gateway_connections_in_use") == 0;
  }

  /// Checks that nothing is left once all callers have left.
  void checkEnd() {
    Planned.reset();
    for (auto &Caller : Callers)
      leave(Caller);
    time_point End = Timers.now() + RestTimeout;
    // The gauges are updated with the gateway's next tick.
    run(fromMilliseconds(60));
    runUntil([&] { return isAtRest() || Timers.now() >= End; });
    RC_ASSERT(Upstreams.openTransactions() == 0u);
    RC_ASSERT(Gateway->inFlight() == 0u);
    RC_ASSERT(gaugeOf("teasellock_gateway_open_transactions") == 0);
    RC_ASSERT(gaugeOf("teasellock_gateway_connections_in_use") == 0);
    RC_ASSERT(
        succeeded(finish({"end", wire::line_verb::write, "WRITE item z"})));
    RC_ASSERT(Upstreams.unknownNames() == 0u);
    RC_ASSERT(Oracle.violations() == std::vector<std::string>());
  }
};

void checkSessions(even_load_settings EvenLoad) {
  std::size_t Succeeded = 0;
  CHECK(rc::check([&] {
    property_fixture Fixture(EvenLoad);
    int Events = *rc::gen::inRange(MinEvents, MaxEvents);
    for (int Event = 0; Event < Events; ++Event)
      Fixture.step();
    Fixture.checkEnd();
    Succeeded += Fixture.Succeeded;
  }));
  // The runs must contain enough answers to be meaningful.
  CHECK(Succeeded > 300);
}

} // namespace

// Guards against statements that run with values or names that their session
// does not have, and against sessions and counters that are left over, whatever
// upstreams answer to any statement of a session and whenever callers leave.
TEST_CASE("line: sessions are intact whatever upstreams answer") {
  checkSessions({});
}

// The same, and guards against measures for even load that break the rules of
// consistency or lose count of the statements in flight.
TEST_CASE("line: sessions are intact with all measures for even load") {
  checkSessions(parseEvenLoad("positions,spread,reliability,limit"));
}
