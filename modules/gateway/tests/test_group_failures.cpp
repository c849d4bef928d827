#include "modules/gateway/tests/gateway_fixture.h"

using namespace teasellock;

namespace {

constexpr auto Answered = wire::statement_outcome::answered;
constexpr auto NotRun = wire::statement_outcome::not_run;
constexpr auto Unknown = wire::statement_outcome::unknown;

bool contains(const std::string &Messages, const std::string &Text) {
  return Messages.find(Text) != std::string::npos;
}

wire::statement_request insert(const std::string &Id) {
  return gateway_fixture::write("INSERT INTO stock VALUES ('" + Id + "', 1)");
}

void runLoop(gateway_fixture &Fixture, int Turns) {
  for (int Turn = 0; Turn < Turns; ++Turn)
    Fixture.Loop.runOnce();
}

} // namespace

TEST_CASE("gateway: a read whose replica dies is served by another upstream") {
  gateway_fixture Fixture;
  Fixture.finish(insert("towel"));
  auto Slow = gateway_fixture::read("SELECT amount FROM stock");
  Fixture.Servers["b"]->executeCommand("statement_us 300000");
  auto Read = Fixture.start(Slow);
  runLoop(Fixture, 30);
  REQUIRE_FALSE(Read->Done);
  Fixture.Servers["b"]->executeCommand("terminate_sessions");
  REQUIRE(Fixture.runUntil([&] { return Read->Done; }));
  CHECK(Read->Last.outcome == Answered);
  CHECK(Read->Last.upstream != "b");
}

TEST_CASE(
    "gateway: the outcome of a write whose connection is lost is unknown, "
    "never not run") {
  gateway_fixture Fixture;
  Fixture.Servers["a"]->executeCommand("statement_us 200000");
  auto Write = Fixture.start(insert("towel"));
  runLoop(Fixture, 60);
  REQUIRE_FALSE(Write->Done);
  Fixture.Servers["a"]->executeCommand("terminate_sessions");
  REQUIRE(Fixture.runUntil([&] { return Write->Done; }));
  CHECK(Write->Last.outcome == Unknown);
  CHECK(Write->Last.code == "08007");
}

TEST_CASE("gateway: the outcome of a lost write is determined by its key") {
  gateway_fixture Fixture;
  // The key is locked by another transaction, so that the write waits for it.
  auto KeyHolder = gateway_fixture::write("BEGIN");
  KeyHolder.transaction = 1;
  KeyHolder.opens_transaction = true;
  KeyHolder.idempotency_key = "k1";
  REQUIRE(Fixture.finish(KeyHolder).Last.transaction_status == 'T');
  auto Request = insert("towel");
  Request.idempotency_key = "k1";
  Request.timeout_ms = 5000;
  auto Write = Fixture.start(Request);
  runLoop(Fixture, 60);
  REQUIRE_FALSE(Write->Done);
  Fixture.Servers["a"]->executeCommand("terminate_sessions");
  REQUIRE(Fixture.runUntil([&] { return Write->Done; }));
  // The write's session ended before its commit, so a tombstone was inserted.
  CHECK(Write->Last.outcome == NotRun);
  // The write can no longer be executed under this key.
  auto Again = Fixture.finish(Request);
  CHECK(Again.Last.outcome == NotRun);
  auto Read = gateway_fixture::read("SELECT item FROM stock");
  Read.floor_known = false;
  CHECK_FALSE(contains(Fixture.finish(Read).Messages, "towel"));
}

TEST_CASE("gateway: a silent connection is abandoned even if new ones work") {
  gateway_fixture Fixture;
  Fixture.View.Row.SilenceTimeout = fromMilliseconds(50);
  Fixture.Gateway->apply(Fixture.View);
  Fixture.finish(insert("towel"));
  Fixture.Servers["a"]->executeCommand("silence");
  auto Write = insert("sheet");
  Write.timeout_ms = 10000;
  auto Lost = Fixture.finish(Write);
  CHECK(Lost.Last.outcome == Unknown);
  // The replication streams became unresponsive, too, and are reconnected.
  auto Next = insert("pillow");
  Next.timeout_ms = 10000;
  CHECK(Fixture.finish(Next).Last.outcome == Answered);
}

TEST_CASE("gateway: a full queue sheds reads first, as not run") {
  gateway_fixture Fixture(3, 1);
  Fixture.View.Row.QueueLimit = 1;
  Fixture.View.Primary = upstream_id("a");
  Fixture.Gateway->apply(Fixture.View);
  Fixture.Servers["b"]->executeCommand("statement_us 100000");
  Fixture.Servers["c"]->executeCommand("statement_us 100000");
  std::vector<std::shared_ptr<gateway_fixture::collected_answer>> Reads;
  for (int Number = 0; Number < 5; ++Number)
    Reads.push_back(
        Fixture.start(gateway_fixture::read("SELECT item FROM stock")));
  int Shed = 0;
  for (const auto &Read : Reads)
    if (Read->Done) {
      ++Shed;
      CHECK(Read->Last.outcome == NotRun);
      CHECK(Read->Last.code == "53300");
    }
  CHECK(Shed == 2);
  for (const auto &Read : Reads)
    REQUIRE(Fixture.runUntil([&] { return Read->Done; }));
}

TEST_CASE("gateway: a leaving replica receives no new statements") {
  gateway_fixture Fixture;
  Fixture.View.Upstreams[1].Leaving = true;
  Fixture.Gateway->apply(Fixture.View);
  for (int Number = 0; Number < 5; ++Number) {
    auto Read = Fixture.finish(gateway_fixture::read("SELECT item FROM stock"));
    CHECK(Read.Last.outcome == Answered);
    CHECK(Read.Last.upstream == "c");
  }
}

TEST_CASE("gateway: a smaller share is confirmed once connections are closed") {
  gateway_fixture Fixture;
  auto Begin = gateway_fixture::write("BEGIN");
  Begin.opens_transaction = true;
  for (int Number = 1; Number <= 3; ++Number) {
    Begin.transaction = Number;
    Fixture.finish(Begin);
  }
  Fixture.View.Gateways[0].Connections = 3;
  Fixture.View.Gateways[0].BudgetEpoch = 2;
  Fixture.Gateway->apply(Fixture.View);
  runLoop(Fixture, 100);
  CHECK(Fixture.Gateway->report().budget_epoch == 1);
  for (int Number = 1; Number <= 3; ++Number)
    Fixture.Gateway->release(
        link_id(1), transaction_id(static_cast<std::uint64_t>(Number)));
  CHECK(Fixture.Gateway->report().budget_epoch == 2);
}

TEST_CASE(
    "gateway: a primary whose connections are refused is reported at once") {
  gateway_fixture Fixture;
  int Before = Fixture.ReportRequests;
  // No server listens at this address.
  Fixture.View.Upstreams[0].Address = {"127.0.0.1", 1};
  Fixture.Gateway->apply(Fixture.View);
  CHECK(Fixture.runUntil([&] {
    for (const wire::upstream_report &Report :
         Fixture.Gateway->report().upstreams)
      if (Report.upstream == "a" && !Report.reachable)
        return Report.refused;
    return false;
  }));
  CHECK(Fixture.ReportRequests > Before);
}

TEST_CASE(
    "gateway: a statement of a lost transaction is not executed outside it") {
  gateway_fixture Fixture(12, 1);
  auto Begin =
      gateway_fixture::write("BEGIN; INSERT INTO stock VALUES ('x', 1)");
  Begin.transaction = 1;
  Begin.opens_transaction = true;
  REQUIRE(Fixture.finish(Begin).Last.transaction_status == 'T');
  // Waits for the transaction's lock and occupies the only slot.
  auto Blocked = Fixture.start(insert("x"));
  runLoop(Fixture, 30);
  auto Next = gateway_fixture::write("SELECT item FROM stock");
  Next.transaction = 1;
  auto Waiting = Fixture.start(Next);
  runLoop(Fixture, 30);
  REQUIRE_FALSE(Blocked->Done);
  REQUIRE_FALSE(Waiting->Done);
  // The upstream moves to another address, where connections can be opened.
  Fixture.View.Upstreams[0].Address = Fixture.Servers["b"]->listenEndpoint();
  Fixture.Gateway->apply(Fixture.View);
  REQUIRE(Fixture.runUntil([&] { return Waiting->Done && Blocked->Done; }));
  CHECK(Waiting->Last.outcome == NotRun);
  CHECK(Waiting->Last.code == "25P01");
  CHECK(Blocked->Last.outcome == Unknown);
}

TEST_CASE("gateway: a transaction whose idle connection was lost did not "
          "commit") {
  gateway_fixture Fixture;
  auto Begin =
      gateway_fixture::write("BEGIN; INSERT INTO stock VALUES ('x', 1)");
  Begin.transaction = 1;
  Begin.opens_transaction = true;
  REQUIRE(Fixture.finish(Begin).Last.transaction_status == 'T');
  Fixture.Servers["a"]->executeCommand("terminate_sessions");
  runLoop(Fixture, 30);
  auto Commit = gateway_fixture::write("COMMIT");
  Commit.transaction = 1;
  CHECK(Fixture.finish(Commit).Last.outcome == NotRun);
}

TEST_CASE("gateway: without a primary the outcome of a lost write with a key "
          "stays unknown") {
  gateway_fixture Fixture;
  auto KeyHolder = gateway_fixture::write("BEGIN");
  KeyHolder.transaction = 1;
  KeyHolder.opens_transaction = true;
  KeyHolder.idempotency_key = "k1";
  REQUIRE(Fixture.finish(KeyHolder).Last.transaction_status == 'T');
  auto Request = insert("towel");
  Request.idempotency_key = "k1";
  Request.timeout_ms = 300;
  auto Write = Fixture.start(Request);
  runLoop(Fixture, 30);
  REQUIRE_FALSE(Write->Done);
  Fixture.LeaseValid = false;
  Fixture.Servers["a"]->executeCommand("terminate_sessions");
  REQUIRE(Fixture.runUntil([&] { return Write->Done; }));
  CHECK(Write->Last.outcome == Unknown);
}
