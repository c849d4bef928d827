#include "modules/upstream/upstream_connection.h"
#include "tests/stand_in/server.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

upstream_operation simpleQuery(const std::string &Sql) {
  upstream_operation Operation;
  Operation.Step.kind = wire::step_kind::simple;
  Operation.Step.sql = Sql;
  return Operation;
}

upstream_operation
extendedQuery(const std::string &Sql,
              const std::vector<std::string> &Parameters = {}) {
  upstream_operation Operation;
  Operation.Step.kind = wire::step_kind::execute;
  Operation.Step.sql = Sql;
  for (const auto &Value : Parameters) {
    wire::parameter Parameter;
    Parameter.value = Value;
    Operation.Step.parameters.push_back(Parameter);
  }
  return Operation;
}

upstream_operation describeQuery(const std::string &Sql) {
  auto Operation = extendedQuery(Sql);
  Operation.Step.kind = wire::step_kind::describe;
  return Operation;
}

/// Returns the types of the messages, as the v3 protocol names them.
std::string typesOf(const std::string &Messages) {
  std::string Types;
  for (std::size_t At = 0; At + 5 <= Messages.size();) {
    Types += Messages[At];
    std::size_t Length = 0;
    for (std::size_t Byte = 1; Byte <= 4; ++Byte)
      Length = Length << 8 | static_cast<unsigned char>(Messages[At + Byte]);
    At += 1 + Length;
  }
  return Types;
}

/// A connection to a stand-in server with table "stock".
struct connection_fixture {
  event_loop Loop;
  timer_service Timers{Loop};
  metrics Metrics;
  tracer Tracer;
  daemon_context Context{Loop, Timers, Metrics, Tracer, {}};
  std::optional<stand_in::server> Server;
  std::optional<upstream_connection> Connection;
  std::vector<std::string> Parts;

  connection_fixture() {
    stand_in::server_options Options;
    Options.Group = group_id("g");
    Options.Name = upstream_id("a");
    Options.Listen = {"127.0.0.1", 0};
    Server.emplace(Loop, Timers, Options);
    bool IsOpen = false;
    Connection.emplace(Context, target(), [&](std::optional<error> Problem) {
      CHECK_FALSE(Problem.has_value());
      IsOpen = true;
    });
    REQUIRE(runUntil([&] { return IsOpen; }));
  }

  ~connection_fixture() {
    Connection.reset();
    runUntil([Left = 10]() mutable { return Left-- == 0; });
  }

  upstream_target target() const {
    upstream_target Target;
    Target.Address = Server->listenEndpoint();
    Target.Database = "g";
    Target.User = "u";
    return Target;
  }

  template <typename Condition> bool runUntil(Condition Done) {
    constexpr int MaxTurns = 5000;
    auto Tick = Timers.every(fromMilliseconds(1), [] {});
    for (int Turn = 0; Turn < MaxTurns && !Done(); ++Turn)
      Loop.runOnce();
    return Done();
  }

  execution_result execute(std::vector<upstream_operation> Operations,
                           bool Collect = false) {
    std::optional<execution_result> Result;
    execution_callbacks Events;
    Events.OnPart = [this](std::string Part) {
      Parts.push_back(std::move(Part));
    };
    Events.OnDone = [&](execution_result Done) { Result = std::move(Done); };
    Events.Collect = Collect;
    Connection->execute(std::move(Operations), std::move(Events));
    REQUIRE(runUntil([&] { return Result.has_value(); }));
    return *Result;
  }
};

} // namespace

// Guards against messages that are missing, repeated or in another order.
TEST_CASE("upstream connection: operations are answered in order") {
  connection_fixture Fixture;
  auto Simple = Fixture.execute(
      {simpleQuery("INSERT INTO stock VALUES ('x', 1), ('y', 2)"),
       simpleQuery("SELECT item, amount FROM stock")});
  CHECK_FALSE(Simple.Failure);
  CHECK(typesOf(Simple.Messages) == "CTDDC");
  CHECK(Simple.Completed == 2);
  CHECK(Simple.TransactionStatus == 'I');
  CHECK_FALSE(Simple.OnlyRollbacks);
  auto Pipelined = Fixture.execute(
      {extendedQuery("BEGIN"),
       extendedQuery("SELECT amount FROM stock WHERE item = $1", {"x"}),
       describeQuery("SELECT amount FROM stock WHERE item = $1")});
  CHECK_FALSE(Pipelined.Failure);
  CHECK(typesOf(Pipelined.Messages) == "CDCtT");
  CHECK(Pipelined.Completed == 2);
  CHECK(Pipelined.TransactionStatus == 'T');
  auto Rollback = Fixture.execute({extendedQuery("ROLLBACK")});
  CHECK(Rollback.OnlyRollbacks);
  CHECK(Rollback.TransactionStatus == 'I');
}

// Guards against the gateway's own statements in a caller's answer.
TEST_CASE("upstream connection: hidden operations are not part of the "
          "answer") {
  connection_fixture Fixture;
  auto Result = Fixture.execute({hiddenStatement("BEGIN"),
                                 extendedQuery("SELECT count(*) FROM stock"),
                                 hiddenStatement("COMMIT")});
  CHECK(typesOf(Result.Messages) == "DC");
  CHECK(Result.Completed == 1);
  auto Failed = Fixture.execute({hiddenQuery("SELECT broken")});
  CHECK(typesOf(Failed.Messages) == "E");
}

// Guards against errors that are reported for another operation, and against
// statements that count as prepared although the error came before.
TEST_CASE("upstream connection: an error ends the operations and leaves the "
          "connection usable") {
  connection_fixture Fixture;
  bool IsSimple = false;
  SUBCASE("simple queries") { IsSimple = true; }
  SUBCASE("a pipeline") { IsSimple = false; }
  auto First = IsSimple ? simpleQuery("SELECT count(*) FROM stock")
                        : extendedQuery("SELECT count(*) FROM stock");
  auto Result = Fixture.execute({First, extendedQuery("SELECT broken"),
                                 extendedQuery("SELECT item FROM stock")});
  REQUIRE(Result.Failure);
  CHECK(Result.Failure->Operation == 1);
  CHECK(Result.Failure->Code == "42703");
  CHECK(typesOf(Result.Messages) == (IsSimple ? "TDCE" : "DCE"));
  CHECK(Result.Completed == 1);
  auto Again = Fixture.execute({extendedQuery("SELECT item FROM stock")});
  CHECK_FALSE(Again.Failure);
  CHECK(typesOf(Again.Messages) == "C");
}

// Guards against rows of one result in the table of another.
TEST_CASE("upstream connection: collected results are one table each") {
  connection_fixture Fixture;
  Fixture.execute({simpleQuery("INSERT INTO stock VALUES ('x', 1), ('y', 2)")});
  auto Result =
      Fixture.execute({extendedQuery("SELECT item FROM stock"),
                       extendedQuery("SELECT item FROM stock WHERE amount = 7"),
                       extendedQuery("SELECT count(*) FROM stock")},
                      true);
  REQUIRE(Result.Tables.size() == 3);
  CHECK(Result.Tables[0].Rows.size() == 2);
  CHECK(Result.Tables[1].Rows.empty());
  CHECK(Result.Tables[2].Rows == std::vector<std::vector<std::string>>{{"2"}});
  CHECK(Result.Messages.empty());
}

// Guards against names of prepared statements that the server does not know:
// after DISCARD ALL, and after statements were evicted from the cache.
TEST_CASE("upstream connection: prepared statements are prepared again when "
          "the server has none") {
  connection_fixture Fixture;
  constexpr int MoreThanCached = 300;
  auto ReadAll = [&] {
    for (int Number = 0; Number < MoreThanCached; ++Number) {
      auto Result = Fixture.execute({extendedQuery(
          "SELECT item FROM stock WHERE amount = " + std::to_string(Number))});
      CAPTURE(Number);
      REQUIRE_FALSE(Result.Failure.has_value());
    }
  };
  ReadAll();
  ReadAll();
  auto Discarded = Fixture.execute({simpleQuery("DISCARD ALL")});
  CHECK_FALSE(Discarded.Failure);
  CHECK(Discarded.SessionChanged);
  ReadAll();
}

// Guards against answers that grow in memory, and against callbacks after the
// connection was closed.
TEST_CASE("upstream connection: long answers come in parts, none after "
          "close") {
  connection_fixture Fixture;
  constexpr std::size_t RowBytes = 10000;
  std::string Long(RowBytes, 'x');
  std::string Sql = "INSERT INTO stock VALUES ('" + Long + "0', 0)";
  for (int Row = 1; Row < 20; ++Row)
    Sql += ", ('" + Long + std::to_string(Row) + "', 0)";
  CHECK_FALSE(Fixture.execute({simpleQuery(Sql)}).Failure);
  auto Result = Fixture.execute({extendedQuery("SELECT item FROM stock")});
  CHECK(Fixture.Parts.size() > 1);
  std::string All;
  for (const auto &Part : Fixture.Parts)
    All += Part;
  CHECK(typesOf(All + Result.Messages) == std::string(20, 'D') + "C");
  std::size_t PartCount = 0;
  execution_callbacks Events;
  Events.OnPart = [&](const std::string &) {
    ++PartCount;
    Fixture.Connection->close();
  };
  Events.OnDone = [](const execution_result &) {
    FAIL_CHECK("called after close()");
  };
  Fixture.Connection->execute({extendedQuery("SELECT item FROM stock")},
                              std::move(Events));
  CHECK(Fixture.runUntil([&] { return PartCount > 0; }));
  Fixture.runUntil([Left = 20]() mutable { return Left-- == 0; });
  CHECK_FALSE(Fixture.Connection->isOpen());
}

// Guards against executions that never end when the connection is lost, and
// against ones whose outcome is said to be known.
TEST_CASE("upstream connection: a lost connection ends the execution") {
  connection_fixture Fixture;
  std::optional<execution_result> Result;
  execution_callbacks Events;
  Events.OnDone = [&](execution_result Done) { Result = std::move(Done); };
  Fixture.Connection->execute({simpleQuery("SELECT pg_sleep(60)")},
                              std::move(Events));
  Fixture.runUntil([Left = 20]() mutable { return Left-- == 0; });
  Fixture.Server.reset();
  REQUIRE(Fixture.runUntil([&] { return Result.has_value(); }));
  CHECK(Result->ConnectionLost);
  CHECK(Result->Sent);
  CHECK_FALSE(Result->Problem.empty());
  CHECK_FALSE(Fixture.Connection->isOpen());
  auto Later = Fixture.execute({simpleQuery("SELECT 1")});
  CHECK(Later.ConnectionLost);
  CHECK_FALSE(Later.Sent);
  CHECK(Later.Problem == "connection is closed");
}

// Guards against pools that keep connections whose server has ended.
TEST_CASE("upstream connection: the loss of an idle connection is reported "
          "once") {
  connection_fixture Fixture;
  int Lost = 0;
  Fixture.Connection->onLost([&] { ++Lost; });
  Fixture.Server.reset();
  REQUIRE(Fixture.runUntil([&] { return Lost > 0; }));
  Fixture.runUntil([Left = 20]() mutable { return Left-- == 0; });
  CHECK(Lost == 1);
  CHECK_FALSE(Fixture.Connection->isOpen());
}

// Guards against callers that wait for a server that does not run.
TEST_CASE("upstream connection: a refused connection is an error of its "
          "own") {
  connection_fixture Fixture;
  auto Target = Fixture.target();
  Fixture.Server.reset();
  std::optional<error> Problem;
  upstream_connection Refused(
      Fixture.Context, Target,
      [&](std::optional<error> Result) { Problem = std::move(Result); });
  REQUIRE(Fixture.runUntil([&] { return Problem.has_value(); }));
  CHECK(Problem->step() == "upstream.connect");
  CHECK(isConnectionRefused(*Problem));
}
