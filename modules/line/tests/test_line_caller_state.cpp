#include "modules/line/line_caller_state.h"
#include "platform/line_codec.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

/// One session of an entry with one route, from database "db" to group "g".
struct session_bed {
  deployment Deployment;
  line_environment Environment;
  line_caller_state Caller;
  line_effects Effects;
  std::uint64_t LastTransaction = 0;

  session_bed() {
    route Route;
    Route.Database = database_id("db");
    Route.Group = group_id("g");
    Route.Consistency = consistency::ReadYourWrites;
    Route.MaxStaleness = fromMilliseconds(2500);
    Route.StatementTimeout = fromMilliseconds(800);
    Deployment.Version = deployment_version(1);
    Deployment.Routes.push_back(Route);
    Environment.Protocol = &platform::lineProtocol();
    Environment.FindRoute = [this](const database_id &Database) {
      return findRoute(Deployment, Database);
    };
    Environment.DeploymentKnown = [] { return true; };
  }

  std::string say(const std::string &Line) {
    Effects = {};
    takeLine(Caller, Environment, platform::lineProtocol().ReadCaller(Line),
             transaction_id(++LastTransaction), Effects);
    return Effects.Out;
  }

  std::string reply(wire::statement_reply Reply) {
    Effects = {};
    Reply.last = true;
    takeReply(Caller, Environment, Reply, Effects);
    return Effects.Out;
  }

  static wire::statement_reply answered(const std::string &Messages) {
    wire::statement_reply Reply;
    Reply.outcome = wire::statement_outcome::answered;
    Reply.messages = Messages;
    return Reply;
  }

  static wire::statement_reply lost(wire::statement_outcome::type Outcome,
                                    const std::string &Code) {
    wire::statement_reply Reply;
    Reply.outcome = Outcome;
    Reply.code = Code;
    Reply.problem = "why";
    return Reply;
  }
};

} // namespace

TEST_CASE("line: a session starts only on a database that has a route") {
  session_bed Bed;
  CHECK(Bed.say("START db u1") == "READY I -\r\n");
  session_bed Other;
  CHECK(Other.say("START nowhere u1") ==
        "ERR NODB no database of that name\r\n");
  CHECK(Other.Effects.Close);
}

TEST_CASE("line: a write's position is the floor of later reads") {
  session_bed Bed;
  Bed.say("START db u1");
  CHECK(Bed.say("QUERY 1 WRITE a b") == "");
  REQUIRE(Bed.Effects.Submit);
  CHECK(Bed.Effects.Submit->access == wire::statement_access::write);
  CHECK_FALSE(Bed.Effects.Submit->floor_known);
  auto Reply = session_bed::answered("DONE sig\r\n");
  Reply.reached.term = 3;
  Reply.reached.offset = 9;
  CHECK(Bed.reply(Reply) == "DONE sig\r\nREADY I -\r\n");
  Bed.say("QUERY 2 READ a");
  CHECK(Bed.Effects.Submit->floor_known);
  CHECK(Bed.Effects.Submit->floor.offset == 9);
  CHECK(Bed.Effects.Submit->max_staleness_ms == 2500);
}

TEST_CASE("line: a transaction opens with its first statement") {
  session_bed Bed;
  Bed.say("START db u1");
  CHECK(Bed.say("QUERY 1 BEGIN") == "DONE -\r\nREADY T -\r\n");
  CHECK_FALSE(Bed.Effects.Submit);
  Bed.say("QUERY 2 READ a");
  REQUIRE(Bed.Effects.Submit);
  CHECK(Bed.Effects.Submit->opens_transaction);
  auto Transaction = Bed.Effects.Submit->transaction;
  Bed.reply(session_bed::answered("DONE s\r\n"));
  Bed.say("QUERY 3 WRITE a b");
  CHECK_FALSE(Bed.Effects.Submit->opens_transaction);
  CHECK(Bed.Effects.Submit->transaction == Transaction);
  Bed.reply(session_bed::answered("DONE s\r\n"));
  Bed.say("QUERY 4 COMMIT");
  CHECK(Bed.Effects.Submit->may_commit);
  CHECK(Bed.reply(session_bed::answered("DONE s\r\n")) ==
        "DONE s\r\nREADY I -\r\n");
  CHECK_FALSE(Bed.Effects.Release);
}

TEST_CASE(
    "line: a rollback is answered by the entry and releases the gateway's "
    "transaction") {
  session_bed Bed;
  Bed.say("START db u1");
  Bed.say("QUERY 1 BEGIN");
  Bed.say("QUERY 2 READ a");
  Bed.reply(session_bed::answered("DONE s\r\n"));
  CHECK(Bed.say("QUERY 3 ROLLBACK") == "DONE -\r\nREADY I -\r\n");
  CHECK(Bed.Effects.Release);
}

TEST_CASE("line: a failed transaction accepts only commit and rollback") {
  session_bed Bed;
  Bed.say("START db u1");
  Bed.say("QUERY 1 BEGIN");
  Bed.say("QUERY 2 WRITE a b");
  // Without a commit the transaction is rolled back, whatever the outcome of
  // the statement.
  CHECK(
      Bed.reply(session_bed::lost(wire::statement_outcome::unknown, "08007")) ==
      "ERR ABORTED why\r\nREADY E -\r\n");
  CHECK(Bed.say("QUERY 3 READ a").starts_with("ERR MALFORMED"));
  CHECK(Bed.say("QUERY 4 COMMIT").starts_with("ERR ABORTED"));
  CHECK(Bed.Effects.Out.ends_with("READY I -\r\n"));
  CHECK_FALSE(Bed.Effects.Submit);
}

TEST_CASE("line: a commit whose answer is lost is in doubt") {
  session_bed Bed;
  Bed.say("START db u1");
  Bed.say("QUERY 1 BEGIN");
  Bed.say("QUERY 2 WRITE a b");
  Bed.reply(session_bed::answered("DONE s\r\n"));
  Bed.say("QUERY 3 COMMIT");
  CHECK(
      Bed.reply(session_bed::lost(wire::statement_outcome::unknown, "08007")) ==
      "ERR INDOUBT why\r\nREADY I -\r\n");
}

TEST_CASE("line: prepared statements belong to their session") {
  session_bed Bed;
  Bed.say("START db u1");
  CHECK(Bed.say("QUERY 1 EXEC s1 a").starts_with("ERR NOSTMT"));
  CHECK(Bed.say("QUERY 2 PREPARE s1 WRITE q2") == "DONE -\r\nREADY I -\r\n");
  Bed.say("QUERY 3 EXEC s1 a b");
  REQUIRE(Bed.Effects.Submit);
  CHECK(Bed.Effects.Submit->line.shape == "q2");
  CHECK(Bed.Effects.Submit->line.arguments == "a b");
  CHECK(Bed.Effects.Submit->access == wire::statement_access::write);
  Bed.reply(session_bed::answered("DONE s\r\n"));
  CHECK(Bed.say("QUERY 4 DEALLOC s1") == "DONE -\r\nREADY I -\r\n");
  CHECK(Bed.say("QUERY 5 EXEC s1 a").starts_with("ERR NOSTMT"));
}

TEST_CASE("line: a change of routes applies from the next transaction on") {
  session_bed Bed;
  Bed.say("START db u1");
  Bed.say("QUERY 1 BEGIN");
  Bed.Deployment.Routes.clear();
  Bed.say("QUERY 2 READ a");
  CHECK(Bed.Effects.Submit);
  Bed.reply(session_bed::answered("DONE s\r\n"));
  Bed.say("QUERY 3 COMMIT");
  Bed.reply(session_bed::answered("DONE s\r\n"));
  CHECK(Bed.say("QUERY 4 READ a").starts_with("ERR NODB"));
}

TEST_CASE("line: an idle transaction is rolled back and its next statement "
          "fails") {
  session_bed Bed;
  Bed.say("START db u1");
  Bed.say("QUERY 1 BEGIN");
  Bed.say("QUERY 2 READ a");
  Bed.reply(session_bed::answered("DONE s\r\n"));
  Bed.Effects = {};
  endIdleTransaction(Bed.Caller, Bed.Effects);
  CHECK(Bed.Effects.Release);
  CHECK(Bed.Effects.Out.empty());
  CHECK(Bed.say("QUERY 3 READ a") ==
        "ERR ABORTED the transaction was idle for too long and was rolled "
        "back\r\nREADY E -\r\n");
}
