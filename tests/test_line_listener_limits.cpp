#include "modules/deployment/key_digest.h"
#include "tests/line_listener_fixture.h"

using namespace teasellock;

namespace {

const std::string Ready = "READY I -\r\n";
const std::string InTransaction = "READY T -\r\n";
const std::string Done = "DONE -\r\n";
const std::string LimitReached =
    "ERR TOOMANY the limit of o1 is reached\r\n" + Ready;
const std::string NoLimiter =
    "ERR BUSY the limiter of o1 can't be reached\r\n" + Ready;

/// The answer of the simulated gateway to a statement outside a transaction.
std::string servedAnswer(const std::string &Id) {
  return "ROW " + Id + "\r\n" + Done + Ready;
}

/// Organisation "o1" with key "k1". Its rate is not used, as the tests decide
/// what the simulated limiter grants.
std::vector<organisation>
organisationWith(std::optional<operation_limit> Limit) {
  organisation Organisation;
  Organisation.Name = organisation_id("o1");
  Organisation.Keys.push_back(digestOf("k1"));
  Organisation.Limit = Limit;
  return {Organisation};
}

line_listener_settings shortDrain() {
  line_listener_settings Settings;
  Settings.DrainNoticePeriod = fromMilliseconds(100);
  Settings.DrainTransactionPeriod = fromMilliseconds(150);
  return Settings;
}

/// An entry whose callers of key "k1" have a limit.
struct limited_fixture : line_listener_fixture {
  explicit limited_fixture(line_listener_settings Settings = {})
      : line_listener_fixture(organisationWith(operation_limit{100, 100}),
                              std::move(Settings)) {
    setLimiter(true);
    awaitGateway();
  }

  std::unique_ptr<simulated_caller> connect() {
    auto Caller = std::make_unique<simulated_caller>(Address);
    Caller->send("START db k1\r\n");
    expect(*Caller, Ready);
    return Caller;
  }

  /// Runs until the caller has received this since the last call.
  void expect(simulated_caller &Caller, const std::string &Expected) {
    bool Complete =
        runUntil([&] { return Caller.receive().size() >= Expected.size(); });
    CAPTURE(Caller.Received);
    REQUIRE(Complete);
    REQUIRE(Caller.Received == Expected);
    Caller.Received.clear();
  }

  /// Runs until the limiter has kept this many requests. Requests that expire
  /// are repeated, so that there may be more.
  void awaitLimitRequests(std::size_t Count) {
    REQUIRE(runUntil([&] { return Limiter.Received.size() >= Count; }));
  }

  /// Runs until the gateway has received this many statements.
  void awaitStatements(std::size_t Count) {
    REQUIRE(runUntil([&] { return Gateway.Received.size() >= Count; }));
  }

  bool runUntilClosed(simulated_caller &Caller) {
    return runUntil([&] {
      Caller.receive();
      return Caller.IsClosed;
    });
  }
};

using ids = std::vector<std::string>;

} // namespace

// Guards against statements sent ahead that are lost or executed after one of
// them was refused, and against answers to a request other than the one they
// belong to.
TEST_CASE("line listener: a caller over its limit gets TOOMANY for each "
          "request, in order") {
  limited_fixture Fixture;
  auto Caller = Fixture.connect();
  Fixture.Limiter.Grants = {1, 0, 1, 0, 0};
  Caller->send("QUERY 1 WRITE x 1\r\nQUERY 2 WRITE x 2\r\n"
               "QUERY 3 READ x\r\nQUERY 4 READ x\r\nQUERY 5 WRITE x 5\r\n");
  Fixture.expect(*Caller, servedAnswer("1") + LimitReached + servedAnswer("3") +
                              LimitReached + LimitReached);
  CHECK(Fixture.Gateway.ids() == ids{"1", "3"});
}

// Guards against refusals that are sent to another caller of the organisation.
TEST_CASE("line listener: callers of one organisation get their own "
          "verdicts") {
  limited_fixture Fixture;
  auto Refused = Fixture.connect();
  auto Served = Fixture.connect();
  Refused->send("QUERY 1 WRITE x 1\r\n");
  Fixture.expect(*Refused, LimitReached);
  Fixture.Limiter.Grants = {1};
  Served->send("QUERY 2 WRITE x 2\r\n");
  Fixture.expect(*Served, servedAnswer("2"));
  CHECK(Refused->receive().empty());
}

// Guards against callers that wait for the limit instead of being refused, and
// against sessions that can't be used after a refusal.
TEST_CASE("line listener: TOOMANY comes at once and leaves the session "
          "usable") {
  limited_fixture Fixture;
  auto Caller = Fixture.connect();
  auto Start = Fixture.Timers.now();
  Caller->send("QUERY 1 WRITE x 1\r\n");
  Fixture.expect(*Caller, LimitReached);
  CHECK(Fixture.Timers.now() - Start < LimitWaitTimeout);
  Fixture.Limiter.Grants = {1};
  Caller->send("QUERY 2 WRITE x 2\r\n");
  Fixture.expect(*Caller, servedAnswer("2"));
  CHECK(Fixture.Gateway.ids() == ids{"2"});
}

// Guards against sessions that stay busy, and against statements that execute
// without a limiter.
TEST_CASE("line listener: without a limiter a statement is refused as BUSY and "
          "the session stays usable") {
  limited_fixture Fixture;
  auto Caller = Fixture.connect();
  Fixture.setLimiter(false);
  Caller->send("QUERY 1 WRITE x 1\r\nQUERY 2 READ x\r\n");
  Fixture.expect(*Caller, NoLimiter + NoLimiter);
  CHECK(Fixture.Gateway.Received.empty());
  Fixture.setLimiter(true);
  Fixture.Limiter.Grants = {1};
  Caller->send("QUERY 3 WRITE x 3\r\n");
  Fixture.expect(*Caller, servedAnswer("3"));
}

// Guards against a limiter that doesn't answer, whose callers would wait
// forever.
TEST_CASE("line listener: a limiter that does not answer is BUSY") {
  limited_fixture Fixture;
  auto Caller = Fixture.connect();
  Fixture.Limiter.KeepsRequests = true;
  Caller->send("QUERY 1 WRITE x 1\r\n");
  Fixture.expect(*Caller, NoLimiter);
  CHECK(Fixture.Gateway.Received.empty());
  CHECK(Fixture.Limiter.Received.size() >= 1);
}

// Guards against operations that count although no upstream was reached.
TEST_CASE("line listener: an operation that did not reach an upstream is given "
          "back") {
  limited_fixture Fixture;
  auto Caller = Fixture.connect();
  Fixture.Gateway.KeepsStatements = true;
  Fixture.Limiter.Grants = {1};
  Caller->send("QUERY 1 WRITE x 1\r\n");
  Fixture.awaitStatements(1);
  wire::statement_reply NotRun;
  NotRun.outcome = wire::statement_outcome::not_run;
  NotRun.last = true;
  NotRun.code = sqlStateOf(line_error::Overloaded);
  NotRun.problem = "full";
  Fixture.Gateway.answer(Fixture.Gateway.Received.front(), NotRun);
  Fixture.expect(*Caller, "ERR BUSY full\r\n" + Ready);
  // The entry returns operations that no other caller uses in time.
  CHECK(Fixture.runUntil([&] { return Fixture.Limiter.Returned == 1; }));
}

// Guards against operations that are given back, so that an organisation gets
// more than its limit, although an upstream executed or may have executed them.
TEST_CASE("line listener: an operation that reached an upstream is not given "
          "back") {
  limited_fixture Fixture;
  auto Caller = Fixture.connect();
  Fixture.Gateway.KeepsStatements = true;
  wire::statement_reply Reply;
  std::string Answer;
  SUBCASE("it succeeded") {
    Reply = Fixture.Gateway.executed({});
    Answer = "ROW \r\n" + Done + Ready;
  }
  SUBCASE("it failed") {
    Reply.outcome = wire::statement_outcome::answered;
    Reply.code = sqlStateOf(line_error::Failed);
    Reply.problem = "p";
    Answer = "ERR FAILED p\r\n" + Ready;
  }
  SUBCASE("its outcome is not known") {
    Reply.outcome = wire::statement_outcome::unknown;
    Reply.code = sqlStateOf(line_error::InDoubt);
    Reply.problem = "p";
    Answer =
        "ERR INDOUBT the outcome of the statement is unknown: p\r\n" + Ready;
  }
  SUBCASE("its transaction was lost") {
    Reply.outcome = wire::statement_outcome::not_run;
    Reply.code = sqlStateOf(line_error::Aborted);
    Reply.problem = "p";
    Answer = "ERR ABORTED p\r\n" + Ready;
  }
  Reply.last = true;
  Reply.term = 1;
  Fixture.Limiter.Grants = {1};
  Caller->send("QUERY 1 WRITE x 1\r\n");
  Fixture.awaitStatements(1);
  Fixture.Gateway.answer(Fixture.Gateway.Received.front(), Reply);
  Fixture.expect(*Caller, Answer);
  // The next statement needs an operation of its own.
  Caller->send("QUERY 2 WRITE x 2\r\n");
  Fixture.expect(*Caller, LimitReached);
  Fixture.run(2 * BatchValidity);
  CHECK(Fixture.Limiter.Returned == 0);
  CHECK(Fixture.Gateway.ids() == ids{"1"});
}

// Guards against operations of statements that may be executed after their
// caller has left.
TEST_CASE("line listener: an operation counts when its caller leaves during "
          "its statement") {
  limited_fixture Fixture;
  auto Caller = Fixture.connect();
  Fixture.Gateway.KeepsStatements = true;
  Fixture.Limiter.Grants = {1};
  Caller->send("QUERY 1 WRITE x 1\r\n");
  Fixture.awaitStatements(1);
  Caller->disconnect();
  REQUIRE(Fixture.runUntil([&] { return Fixture.Listener->callers() == 0; }));
  CHECK(Fixture.Router->inFlight() == 0);
  Fixture.run(2 * BatchValidity);
  CHECK(Fixture.Limiter.Returned == 0);
}

// Guards against statements of callers that have left, and against operations
// and sessions that are lost with them.
TEST_CASE("line listener: the grant of a caller that left while it waited is "
          "given back") {
  limited_fixture Fixture;
  auto Caller = Fixture.connect();
  Fixture.Limiter.KeepsRequests = true;
  Caller->send("QUERY 1 WRITE x 1\r\n");
  Fixture.awaitLimitRequests(1);
  Caller->disconnect();
  REQUIRE(Fixture.runUntil([&] { return Fixture.Listener->callers() == 0; }));
  Fixture.Limiter.answer(Fixture.Limiter.Received.back(), 1);
  CHECK(Fixture.runUntil([&] { return Fixture.Limiter.Returned == 1; }));
  CHECK(Fixture.Gateway.Received.empty());
  CHECK(Fixture.Router->inFlight() == 0);
  // A later caller is served as usual.
  Fixture.Limiter.KeepsRequests = false;
  Fixture.Limiter.Grants = {1};
  auto Later = Fixture.connect();
  Later->send("QUERY 2 WRITE x 2\r\n");
  Fixture.expect(*Later, servedAnswer("2"));
  CHECK(Fixture.Limiter.Returned == 1);
}

// Guards against the verdict for a caller that left being delivered to another
// one.
TEST_CASE("line listener: a caller that leaves while it waits doesn't disturb "
          "the one behind it") {
  limited_fixture Fixture;
  auto Leaving = Fixture.connect();
  auto Staying = Fixture.connect();
  Fixture.Limiter.KeepsRequests = true;
  Leaving->send("QUERY 1 WRITE x 1\r\n");
  Fixture.awaitLimitRequests(1);
  Leaving->disconnect();
  REQUIRE(Fixture.runUntil([&] { return Fixture.Listener->callers() == 1; }));
  Staying->send("QUERY 2 WRITE x 2\r\n");
  Fixture.Limiter.KeepsRequests = false;
  Fixture.Limiter.answer(Fixture.Limiter.Received.back(), 1);
  // The operation of the caller that left serves this one.
  Fixture.expect(*Staying, servedAnswer("2"));
  CHECK(Fixture.Gateway.ids() == ids{"2"});
}

// Guards against a drain that never ends, or that closes sessions without an
// answer, because their callers wait for a limiter.
TEST_CASE("line listener: a drain answers callers that wait for a limiter that "
          "is silent") {
  limited_fixture Fixture(shortDrain());
  auto First = Fixture.connect();
  auto Second = Fixture.connect();
  auto Leaving = Fixture.connect();
  Fixture.Limiter.KeepsRequests = true;
  for (auto *Caller : {First.get(), Second.get(), Leaving.get()})
    Caller->send("QUERY 1 WRITE x 1\r\n");
  Fixture.awaitLimitRequests(1);
  bool IsDrained = false;
  Fixture.Listener->drain([&] { IsDrained = true; });
  Leaving->disconnect();
  for (auto *Caller : {First.get(), Second.get()}) {
    REQUIRE(Fixture.runUntilClosed(*Caller));
    CHECK(Caller->Received == NoLimiter);
  }
  CHECK(Fixture.runUntil([&] { return IsDrained; }));
  CHECK(Fixture.Listener->callers() == 0);
  CHECK(Fixture.Gateway.Received.empty());
}

// Guards against grants that arrive during a drain and are not used.
TEST_CASE("line listener: a drain serves callers whose grant arrives") {
  limited_fixture Fixture(shortDrain());
  auto Granted = Fixture.connect();
  auto Refused = Fixture.connect();
  Fixture.Limiter.KeepsRequests = true;
  Granted->send("QUERY 1 WRITE x 1\r\n");
  Fixture.awaitLimitRequests(1);
  bool IsDrained = false;
  Fixture.Listener->drain([&] { IsDrained = true; });
  // Every later request is granted nothing.
  Fixture.Limiter.KeepsRequests = false;
  Fixture.Limiter.answer(Fixture.Limiter.Received.back(), 1);
  REQUIRE(Fixture.runUntil([&] { return !Fixture.Gateway.Received.empty(); }));
  Refused->send("QUERY 2 WRITE x 2\r\n");
  REQUIRE(Fixture.runUntilClosed(*Granted));
  REQUIRE(Fixture.runUntilClosed(*Refused));
  CHECK(Granted->Received == servedAnswer("1"));
  CHECK(Refused->Received == LimitReached);
  CHECK(Fixture.runUntil([&] { return IsDrained; }));
  CHECK(Fixture.Listener->callers() == 0);
}

// Guards against transactions that count once for each statement, or that are
// refused after they have begun.
TEST_CASE("line listener: statements inside an open transaction need no "
          "further operation") {
  limited_fixture Fixture;
  auto Caller = Fixture.connect();
  Fixture.Limiter.Grants = {1};
  Caller->send("QUERY 1 BEGIN\r\nQUERY 2 READ x\r\nQUERY 3 WRITE x 3\r\n"
               "QUERY 4 COMMIT\r\nQUERY 5 READ x\r\n");
  Fixture.expect(*Caller, Done + InTransaction + "ROW 2\r\n" + Done +
                              InTransaction + "ROW 3\r\n" + Done +
                              InTransaction + Done + Ready + LimitReached);
  CHECK(Fixture.Gateway.ids() == ids{"2", "3", "4"});
  CHECK(Fixture.Limiter.Received.size() == 2);
}

// Guards against a limiter that callers without a limit depend on.
TEST_CASE("line listener: callers without a limit don't use the limits") {
  std::optional<std::vector<organisation>> Organisations;
  SUBCASE("the organisation has no limit") {
    Organisations = organisationWith(std::nullopt);
  }
  SUBCASE("the deployment has no organisations") {}
  line_listener_fixture Fixture(Organisations);
  bool HasLimiter = false;
  SUBCASE("with a limiter") { HasLimiter = true; }
  SUBCASE("without a limiter") {}
  Fixture.setLimiter(HasLimiter);
  Fixture.awaitGateway();
  simulated_caller Caller(Fixture.Address);
  Caller.send("START db k1\r\nQUERY 1 WRITE x 1\r\nQUERY 2 BEGIN\r\n"
              "QUERY 3 READ x\r\nQUERY 4 COMMIT\r\n");
  std::string Expected = Ready + servedAnswer("1") + Done + InTransaction +
                         "ROW 3\r\n" + Done + InTransaction + Done + Ready;
  CHECK(Fixture.runUntil([&] { return Caller.receive() == Expected; }));
  CHECK(Fixture.Limiter.Received.empty());
  CHECK(Fixture.Limiter.Returned == 0);
  // The limit service counts every operation that it decides on.
  CHECK(Fixture.Entry.Metrics.prometheusText().find(
            "teasellock_limit_operations_total") == std::string::npos);
}
