#include "modules/line/tests/line_session_harness.h"

#include <doctest/doctest.h>

using namespace teasellock;

TEST_CASE("line: a session starts only on a database that has a route") {
  line_session_harness Session;
  CHECK(Session.sendMessage("START db u1") == "READY I -\r\n");
  line_session_harness OtherSession;
  CHECK(OtherSession.sendMessage("START nowhere u1") ==
        "ERR NODB no database of that name\r\n");
  CHECK(OtherSession.Effects.Close);
}

TEST_CASE("line: a write's position is the floor of later reads") {
  line_session_harness Session;
  Session.sendMessage("START db u1");
  CHECK(Session.sendMessage("QUERY 1 WRITE a b") == "");
  REQUIRE(Session.Effects.Submit);
  CHECK(Session.Effects.Submit->access == wire::statement_access::write);
  CHECK_FALSE(Session.Effects.Submit->floor_known);
  auto Reply = line_session_harness::answeredReply("DONE sig\r\n");
  Reply.reached.term = 3;
  Reply.reached.offset = 9;
  CHECK(Session.deliverReply(Reply) == "DONE sig\r\nREADY I -\r\n");
  Session.sendMessage("QUERY 2 READ a");
  CHECK(Session.Effects.Submit->floor_known);
  CHECK(Session.Effects.Submit->floor.offset == 9);
  CHECK(Session.Effects.Submit->max_staleness_ms == 2500);
}

TEST_CASE("line: a transaction opens with its first statement") {
  line_session_harness Session;
  Session.sendMessage("START db u1");
  CHECK(Session.sendMessage("QUERY 1 BEGIN") == "DONE -\r\nREADY T -\r\n");
  CHECK_FALSE(Session.Effects.Submit);
  Session.sendMessage("QUERY 2 READ a");
  REQUIRE(Session.Effects.Submit);
  CHECK(Session.Effects.Submit->opens_transaction);
  auto Transaction = Session.Effects.Submit->transaction;
  Session.deliverReply(line_session_harness::answeredReply("DONE s\r\n"));
  Session.sendMessage("QUERY 3 WRITE a b");
  CHECK_FALSE(Session.Effects.Submit->opens_transaction);
  CHECK(Session.Effects.Submit->transaction == Transaction);
  Session.deliverReply(line_session_harness::answeredReply("DONE s\r\n"));
  Session.sendMessage("QUERY 4 COMMIT");
  CHECK(Session.Effects.Submit->may_commit);
  CHECK(Session.deliverReply(line_session_harness::answeredReply(
            "DONE s\r\n")) == "DONE s\r\nREADY I -\r\n");
  CHECK_FALSE(Session.Effects.Release);
}

TEST_CASE(
    "line: a rollback is answered by the entry and releases the gateway's "
    "transaction") {
  line_session_harness Session;
  Session.sendMessage("START db u1");
  Session.sendMessage("QUERY 1 BEGIN");
  Session.sendMessage("QUERY 2 READ a");
  Session.deliverReply(line_session_harness::answeredReply("DONE s\r\n"));
  CHECK(Session.sendMessage("QUERY 3 ROLLBACK") == "DONE -\r\nREADY I -\r\n");
  CHECK(Session.Effects.Release);
}

TEST_CASE("line: a failed transaction accepts only commit and rollback") {
  line_session_harness Session;
  Session.sendMessage("START db u1");
  Session.sendMessage("QUERY 1 BEGIN");
  Session.sendMessage("QUERY 2 WRITE a b");
  // Without a commit the transaction is rolled back, whatever the outcome of
  // the statement.
  CHECK(Session.deliverReply(line_session_harness::failedReply(
            wire::statement_outcome::unknown, "08007")) ==
        "ERR ABORTED why\r\nREADY E -\r\n");
  CHECK(Session.sendMessage("QUERY 3 READ a").starts_with("ERR MALFORMED"));
  CHECK(Session.sendMessage("QUERY 4 COMMIT").starts_with("ERR ABORTED"));
  CHECK(Session.Effects.Out.ends_with("READY I -\r\n"));
  CHECK_FALSE(Session.Effects.Submit);
}

TEST_CASE("line: a commit whose answer is lost is in doubt") {
  line_session_harness Session;
  Session.sendMessage("START db u1");
  Session.sendMessage("QUERY 1 BEGIN");
  Session.sendMessage("QUERY 2 WRITE a b");
  Session.deliverReply(line_session_harness::answeredReply("DONE s\r\n"));
  Session.sendMessage("QUERY 3 COMMIT");
  CHECK(Session.deliverReply(line_session_harness::failedReply(
            wire::statement_outcome::unknown, "08007")) ==
        "ERR INDOUBT why\r\nREADY I -\r\n");
}

TEST_CASE("line: prepared statements belong to their session") {
  line_session_harness Session;
  Session.sendMessage("START db u1");
  CHECK(Session.sendMessage("QUERY 1 EXEC s1 a").starts_with("ERR NOSTMT"));
  CHECK(Session.sendMessage("QUERY 2 PREPARE s1 WRITE q2") ==
        "DONE -\r\nREADY I -\r\n");
  Session.sendMessage("QUERY 3 EXEC s1 a b");
  REQUIRE(Session.Effects.Submit);
  CHECK(Session.Effects.Submit->line.shape == "q2");
  CHECK(Session.Effects.Submit->line.arguments == "a b");
  CHECK(Session.Effects.Submit->access == wire::statement_access::write);
  Session.deliverReply(line_session_harness::answeredReply("DONE s\r\n"));
  CHECK(Session.sendMessage("QUERY 4 DEALLOC s1") == "DONE -\r\nREADY I -\r\n");
  CHECK(Session.sendMessage("QUERY 5 EXEC s1 a").starts_with("ERR NOSTMT"));
}

TEST_CASE("line: a change of routes applies from the next transaction on") {
  line_session_harness Session;
  Session.sendMessage("START db u1");
  Session.sendMessage("QUERY 1 BEGIN");
  Session.Deployment.Routes.clear();
  Session.sendMessage("QUERY 2 READ a");
  CHECK(Session.Effects.Submit);
  Session.deliverReply(line_session_harness::answeredReply("DONE s\r\n"));
  Session.sendMessage("QUERY 3 COMMIT");
  Session.deliverReply(line_session_harness::answeredReply("DONE s\r\n"));
  CHECK(Session.sendMessage("QUERY 4 READ a").starts_with("ERR NODB"));
}

TEST_CASE("line: an idle transaction is rolled back and its next statement "
          "fails") {
  line_session_harness Session;
  Session.sendMessage("START db u1");
  Session.sendMessage("QUERY 1 BEGIN");
  Session.sendMessage("QUERY 2 READ a");
  Session.deliverReply(line_session_harness::answeredReply("DONE s\r\n"));
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
    line_session_harness Session;
    Session.setKeys({{"k1", "o1"}});
    CAPTURE(Start);
    CHECK(Session.sendMessage(Start) == "ERR NOAUTH the key is not known\r\n");
    CHECK(Session.Effects.Close);
  }
  line_session_harness Session;
  Session.setKeys({{"k1", "o1"}});
  CHECK(Session.sendMessage("START nowhere wrong").starts_with("ERR NODB"));
  line_session_harness Known;
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
  line_session_harness Session;
  Session.setKeys({{"k1", "o1"}});
  Session.sendMessage("START db k1");
  Session.setKeys({{"k1", "o2"}});
  Session.sendMessage("QUERY 1 READ a");
  CHECK(Session.Effects.Submit->organisation == "o2");
  Session.deliverReply(line_session_harness::answeredReply("DONE s\r\n"));
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
    line_session_harness Session;
    Session.setKeys({{"k1", "o1"}});
    Session.sendMessage("START db k1");
    Session.sendMessage("QUERY 1 BEGIN");
    Session.sendMessage("QUERY 2 WRITE a b");
    Session.deliverReply(line_session_harness::answeredReply("DONE s\r\n"));
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
  line_session_harness Session;
  Session.setKeys({{"k1", "o1"}});
  Session.sendMessage("START db k1");
  Session.sendMessage("QUERY 1 BEGIN");
  CHECK_FALSE(Session.Effects.BeginsOperationOf);
  Session.setKeys({{"k1", "o2"}});
  Session.sendMessage("QUERY 2 READ a");
  CHECK((Session.Effects.BeginsOperationOf == organisation_id("o2")));
  Session.deliverReply(line_session_harness::answeredReply("DONE s\r\n"));
  Session.setKeys({{"k1", "o3"}});
  Session.sendMessage("QUERY 3 READ a");
  CHECK(Session.Effects.Submit->organisation == "o2");
  CHECK_FALSE(Session.Effects.BeginsOperationOf);
  Session.deliverReply(line_session_harness::answeredReply("DONE s\r\n"));
  Session.sendMessage("QUERY 4 COMMIT");
  CHECK(Session.Effects.Submit->organisation == "o2");
  CHECK_FALSE(Session.Effects.BeginsOperationOf);
  Session.deliverReply(line_session_harness::answeredReply("DONE s\r\n"));
  Session.sendMessage("QUERY 5 READ a");
  CHECK(Session.Effects.Submit->organisation == "o3");
}

// Guards against public routes that refuse callers, and against operations on
// them that are counted for the wrong organisation.
TEST_CASE("line: a public route needs no key and names a known one") {
  line_session_harness Session;
  Session.setKeys({{"k1", "o1"}});
  Session.Deployment.Routes.front().IsPublic = true;
  CHECK(Session.sendMessage("START db wrong") == "READY I -\r\n");
  Session.sendMessage("QUERY 1 READ a");
  CHECK(Session.Effects.Submit->organisation.empty());
  CHECK((Session.Effects.BeginsOperationOf == organisation_id()));
  line_session_harness Known;
  Known.setKeys({{"k1", "o1"}});
  Known.Deployment.Routes.front().IsPublic = true;
  Known.sendMessage("START db k1");
  Known.sendMessage("QUERY 1 READ a");
  CHECK(Known.Effects.Submit->organisation == "o1");
  Known.deliverReply(line_session_harness::answeredReply("DONE s\r\n"));
  Known.setKeys({});
  CHECK_FALSE(isKeyRevoked(Known.Caller, Known.Environment));
  Known.sendMessage("QUERY 2 READ a");
  CHECK(Known.Effects.Submit->organisation.empty());
}
