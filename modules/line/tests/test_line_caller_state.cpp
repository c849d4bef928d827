#include "modules/deployment/key_digest.h"
#include "modules/deployment/organisation_index.h"
#include "modules/line/line_caller_state.h"
#include "platform/line_codec.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

/// One session of an entry with one route, from database "db" to group "g".
struct session_harness {
  deployment Deployment;
  organisation_index Organisations;
  line_environment Environment;
  line_caller_state Caller;
  line_effects Effects;
  std::uint64_t LastTransaction = 0;

  session_harness() {
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
    Environment.IsDeploymentKnown = [] { return true; };
    Environment.NeedsKeys = [this] { return organisations().NeedsKeys; };
    Environment.FindOrganisation = [this](const key_digest &Key) {
      return findOrganisation(organisations(), Key);
    };
  }

  const organisation_index &organisations() {
    updateIndex(Organisations, Deployment);
    return Organisations;
  }

  /// Puts a new version into force in which the organisations hold these keys.
  void setKeys(const std::map<std::string, std::string> &OrganisationByKey) {
    Deployment.Version.Value += 1;
    Deployment.Organisations.emplace();
    for (const auto &[Key, Name] : OrganisationByKey)
      Deployment.Organisations->push_back(
          {organisation_id(Name), {digestOf(Key)}, std::nullopt, 0});
  }

  std::string sendMessage(const std::string &Line) {
    Effects = {};
    handleCallerMessage(Caller, Environment,
                        platform::lineProtocol().ParseCaller(Line),
                        transaction_id(++LastTransaction), Effects);
    return Effects.Out;
  }

  std::string deliverReply(wire::statement_reply Reply) {
    Effects = {};
    Reply.last = true;
    handleReply(Caller, Environment, Reply, Effects);
    return Effects.Out;
  }

  static wire::statement_reply answeredReply(const std::string &Messages) {
    wire::statement_reply Reply;
    Reply.outcome = wire::statement_outcome::answered;
    Reply.messages = Messages;
    return Reply;
  }

  static wire::statement_reply
  failedReply(wire::statement_outcome::type Outcome, const std::string &Code) {
    wire::statement_reply Reply;
    Reply.outcome = Outcome;
    Reply.code = Code;
    Reply.problem = "why";
    return Reply;
  }
};

} // namespace

TEST_CASE("line: a session starts only on a database that has a route") {
  session_harness Session;
  CHECK(Session.sendMessage("START db u1") == "READY I -\r\n");
  session_harness OtherSession;
  CHECK(OtherSession.sendMessage("START nowhere u1") ==
        "ERR NODB no database of that name\r\n");
  CHECK(OtherSession.Effects.Close);
}

TEST_CASE("line: a write's position is the floor of later reads") {
  session_harness Session;
  Session.sendMessage("START db u1");
  CHECK(Session.sendMessage("QUERY 1 WRITE a b") == "");
  REQUIRE(Session.Effects.Submit);
  CHECK(Session.Effects.Submit->access == wire::statement_access::write);
  CHECK_FALSE(Session.Effects.Submit->floor_known);
  auto Reply = session_harness::answeredReply("DONE sig\r\n");
  Reply.reached.term = 3;
  Reply.reached.offset = 9;
  CHECK(Session.deliverReply(Reply) == "DONE sig\r\nREADY I -\r\n");
  Session.sendMessage("QUERY 2 READ a");
  CHECK(Session.Effects.Submit->floor_known);
  CHECK(Session.Effects.Submit->floor.offset == 9);
  CHECK(Session.Effects.Submit->max_staleness_ms == 2500);
}

TEST_CASE("line: a transaction opens with its first statement") {
  session_harness Session;
  Session.sendMessage("START db u1");
  CHECK(Session.sendMessage("QUERY 1 BEGIN") == "DONE -\r\nREADY T -\r\n");
  CHECK_FALSE(Session.Effects.Submit);
  Session.sendMessage("QUERY 2 READ a");
  REQUIRE(Session.Effects.Submit);
  CHECK(Session.Effects.Submit->opens_transaction);
  auto Transaction = Session.Effects.Submit->transaction;
  Session.deliverReply(session_harness::answeredReply("DONE s\r\n"));
  Session.sendMessage("QUERY 3 WRITE a b");
  CHECK_FALSE(Session.Effects.Submit->opens_transaction);
  CHECK(Session.Effects.Submit->transaction == Transaction);
  Session.deliverReply(session_harness::answeredReply("DONE s\r\n"));
  Session.sendMessage("QUERY 4 COMMIT");
  CHECK(Session.Effects.Submit->may_commit);
  CHECK(Session.deliverReply(session_harness::answeredReply("DONE s\r\n")) ==
        "DONE s\r\nREADY I -\r\n");
  CHECK_FALSE(Session.Effects.Release);
}

TEST_CASE(
    "line: a rollback is answered by the entry and releases the gateway's "
    "transaction") {
  session_harness Session;
  Session.sendMessage("START db u1");
  Session.sendMessage("QUERY 1 BEGIN");
  Session.sendMessage("QUERY 2 READ a");
  Session.deliverReply(session_harness::answeredReply("DONE s\r\n"));
  CHECK(Session.sendMessage("QUERY 3 ROLLBACK") == "DONE -\r\nREADY I -\r\n");
  CHECK(Session.Effects.Release);
}

TEST_CASE("line: a failed transaction accepts only commit and rollback") {
  session_harness Session;
  Session.sendMessage("START db u1");
  Session.sendMessage("QUERY 1 BEGIN");
  Session.sendMessage("QUERY 2 WRITE a b");
  // Without a commit the transaction is rolled back, whatever the outcome of
  // the statement.
  CHECK(Session.deliverReply(session_harness::failedReply(
            wire::statement_outcome::unknown, "08007")) ==
        "ERR ABORTED why\r\nREADY E -\r\n");
  CHECK(Session.sendMessage("QUERY 3 READ a").starts_with("ERR MALFORMED"));
  CHECK(Session.sendMessage("QUERY 4 COMMIT").starts_with("ERR ABORTED"));
  CHECK(Session.Effects.Out.ends_with("READY I -\r\n"));
  CHECK_FALSE(Session.Effects.Submit);
}

TEST_CASE("line: a commit whose answer is lost is in doubt") {
  session_harness Session;
  Session.sendMessage("START db u1");
  Session.sendMessage("QUERY 1 BEGIN");
  Session.sendMessage("QUERY 2 WRITE a b");
  Session.deliverReply(session_harness::answeredReply("DONE s\r\n"));
  Session.sendMessage("QUERY 3 COMMIT");
  CHECK(Session.deliverReply(session_harness::failedReply(
            wire::statement_outcome::unknown, "08007")) ==
        "ERR INDOUBT why\r\nREADY I -\r\n");
}

TEST_CASE("line: prepared statements belong to their session") {
  session_harness Session;
  Session.sendMessage("START db u1");
  CHECK(Session.sendMessage("QUERY 1 EXEC s1 a").starts_with("ERR NOSTMT"));
  CHECK(Session.sendMessage("QUERY 2 PREPARE s1 WRITE q2") ==
        "DONE -\r\nREADY I -\r\n");
  Session.sendMessage("QUERY 3 EXEC s1 a b");
  REQUIRE(Session.Effects.Submit);
  CHECK(Session.Effects.Submit->line.shape == "q2");
  CHECK(Session.Effects.Submit->line.arguments == "a b");
  CHECK(Session.Effects.Submit->access == wire::statement_access::write);
  Session.deliverReply(session_harness::answeredReply("DONE s\r\n"));
  CHECK(Session.sendMessage("QUERY 4 DEALLOC s1") == "DONE -\r\nREADY I -\r\n");
  CHECK(Session.sendMessage("QUERY 5 EXEC s1 a").starts_with("ERR NOSTMT"));
}

TEST_CASE("line: a change of routes applies from the next transaction on") {
  session_harness Session;
  Session.sendMessage("START db u1");
  Session.sendMessage("QUERY 1 BEGIN");
  Session.Deployment.Routes.clear();
  Session.sendMessage("QUERY 2 READ a");
  CHECK(Session.Effects.Submit);
  Session.deliverReply(session_harness::answeredReply("DONE s\r\n"));
  Session.sendMessage("QUERY 3 COMMIT");
  Session.deliverReply(session_harness::answeredReply("DONE s\r\n"));
  CHECK(Session.sendMessage("QUERY 4 READ a").starts_with("ERR NODB"));
}

TEST_CASE("line: an idle transaction is rolled back and its next statement "
          "fails") {
  session_harness Session;
  Session.sendMessage("START db u1");
  Session.sendMessage("QUERY 1 BEGIN");
  Session.sendMessage("QUERY 2 READ a");
  Session.deliverReply(session_harness::answeredReply("DONE s\r\n"));
  Session.Effects = {};
  endIdleTransaction(Session.Caller, Session.Effects);
  CHECK(Session.Effects.Release);
  CHECK(Session.Effects.Out.empty());
  CHECK(Session.sendMessage("QUERY 3 READ a") ==
        "ERR ABORTED the transaction was idle for too long and was rolled "
        "back\r\nREADY E -\r\n");
}

// Guards against requests of unknown keys that reach an upstream.
TEST_CASE("line: a session needs a key that the deployment has") {
  for (const char *Start : {"START db wrong", "START db", "START db k1 x"}) {
    session_harness Session;
    Session.setKeys({{"k1", "o1"}});
    CAPTURE(Start);
    CHECK(Session.sendMessage(Start) == "ERR NOAUTH the key is not known\r\n");
    CHECK(Session.Effects.Close);
  }
  session_harness Session;
  Session.setKeys({{"k1", "o1"}});
  CHECK(Session.sendMessage("START nowhere wrong").starts_with("ERR NODB"));
  session_harness Known;
  Known.setKeys({{"k1", "o1"}});
  CHECK(Known.sendMessage("START db k1") == "READY I -\r\n");
  Known.sendMessage("QUERY 1 READ a");
  REQUIRE(Known.Effects.Submit);
  CHECK(Known.Effects.Submit->organisation == "o1");
  REQUIRE(Known.Effects.BeginsOperationOf);
  CHECK((*Known.Effects.BeginsOperationOf == organisation_id("o1")));
}

// Guards against sessions that keep the rights they had when they started.
TEST_CASE("line: an open session follows its key") {
  session_harness Session;
  Session.setKeys({{"k1", "o1"}});
  Session.sendMessage("START db k1");
  Session.setKeys({{"k1", "o2"}});
  Session.sendMessage("QUERY 1 READ a");
  CHECK(Session.Effects.Submit->organisation == "o2");
  Session.deliverReply(session_harness::answeredReply("DONE s\r\n"));
  Session.setKeys({{"k2", "o2"}});
  CHECK(isKeyRevoked(Session.Caller, Session.Environment));
  for (const char *Statement : {"READ a", "WRITE a b", "BEGIN", "SET a b"}) {
    CHECK(Session.sendMessage("QUERY 2 " + std::string(Statement)) ==
          "ERR NOAUTH the key is not known\r\nREADY I -\r\n");
    CHECK_FALSE(Session.Effects.Submit);
  }
  Session.setKeys({{"k1", "o1"}});
  CHECK_FALSE(isKeyRevoked(Session.Caller, Session.Environment));
  Session.sendMessage("QUERY 3 READ a");
  CHECK(Session.Effects.Submit);
}

// Guards against a commit for a key that was removed.
TEST_CASE("line: a removed key fails its transaction, commit included") {
  for (bool Commit : {false, true}) {
    session_harness Session;
    Session.setKeys({{"k1", "o1"}});
    Session.sendMessage("START db k1");
    Session.sendMessage("QUERY 1 BEGIN");
    Session.sendMessage("QUERY 2 WRITE a b");
    Session.deliverReply(session_harness::answeredReply("DONE s\r\n"));
    Session.setKeys({});
    std::string Out =
        Session.sendMessage(Commit ? "QUERY 3 COMMIT" : "QUERY 3 READ a");
    CHECK(Out == std::string("ERR NOAUTH the key is not known\r\nREADY ") +
                     (Commit ? "I" : "E") + " -\r\n");
    CHECK_FALSE(Session.Effects.Submit);
    CHECK(Session.Effects.Release);
    if (!Commit)
      CHECK(Session.sendMessage("QUERY 4 ROLLBACK") ==
            "DONE -\r\nREADY I -\r\n");
    CHECK(isIdle(Session.Caller));
  }
}

// Guards against a transaction that runs for two organisations, and against one
// that is counted more than once.
TEST_CASE("line: a transaction runs for one organisation and begins once") {
  session_harness Session;
  Session.setKeys({{"k1", "o1"}});
  Session.sendMessage("START db k1");
  Session.sendMessage("QUERY 1 BEGIN");
  CHECK_FALSE(Session.Effects.BeginsOperationOf);
  Session.setKeys({{"k1", "o2"}});
  Session.sendMessage("QUERY 2 READ a");
  CHECK((Session.Effects.BeginsOperationOf == organisation_id("o2")));
  Session.deliverReply(session_harness::answeredReply("DONE s\r\n"));
  Session.setKeys({{"k1", "o3"}});
  Session.sendMessage("QUERY 3 READ a");
  CHECK(Session.Effects.Submit->organisation == "o2");
  CHECK_FALSE(Session.Effects.BeginsOperationOf);
  Session.deliverReply(session_harness::answeredReply("DONE s\r\n"));
  Session.sendMessage("QUERY 4 COMMIT");
  CHECK(Session.Effects.Submit->organisation == "o2");
  CHECK_FALSE(Session.Effects.BeginsOperationOf);
  Session.deliverReply(session_harness::answeredReply("DONE s\r\n"));
  Session.sendMessage("QUERY 5 READ a");
  CHECK(Session.Effects.Submit->organisation == "o3");
}

// Guards against public routes that refuse callers, and against operations on
// them that are counted for the wrong organisation.
TEST_CASE("line: a public route needs no key and names a known one") {
  session_harness Session;
  Session.setKeys({{"k1", "o1"}});
  Session.Deployment.Routes.front().IsPublic = true;
  CHECK(Session.sendMessage("START db wrong") == "READY I -\r\n");
  Session.sendMessage("QUERY 1 READ a");
  CHECK(Session.Effects.Submit->organisation.empty());
  CHECK((Session.Effects.BeginsOperationOf == organisation_id()));
  session_harness Known;
  Known.setKeys({{"k1", "o1"}});
  Known.Deployment.Routes.front().IsPublic = true;
  Known.sendMessage("START db k1");
  Known.sendMessage("QUERY 1 READ a");
  CHECK(Known.Effects.Submit->organisation == "o1");
  Known.deliverReply(session_harness::answeredReply("DONE s\r\n"));
  Known.setKeys({});
  CHECK_FALSE(isKeyRevoked(Known.Caller, Known.Environment));
  Known.sendMessage("QUERY 2 READ a");
  CHECK(Known.Effects.Submit->organisation.empty());
}
