#include "modules/gateway/tests/gateway_fixture.h"

using namespace teasellock;

namespace {

constexpr auto Answered = wire::statement_outcome::answered;
constexpr auto NotRun = wire::statement_outcome::not_run;
constexpr auto Unknown = wire::statement_outcome::unknown;

bool contains(const std::string &Messages, const std::string &Text) {
  return Messages.find(Text) != std::string::npos;
}

void createTable(gateway_fixture &Fixture) {
  auto Answer = Fixture.finish(gateway_fixture::write(
      "CREATE TABLE fares (id bigint PRIMARY KEY, rider text)"));
  REQUIRE(Answer.Last.outcome == Answered);
  REQUIRE(contains(Answer.Messages, "CREATE TABLE"));
}

} // namespace

TEST_CASE("gateway: a write is acknowledged with its position and a read at "
          "that floor sees it on a replica") {
  gateway_fixture Fixture;
  createTable(Fixture);
  auto Write = Fixture.finish(
      gateway_fixture::write("INSERT INTO fares VALUES (1, 'ana')"));
  CHECK(Write.Last.outcome == Answered);
  CHECK(Write.Last.upstream == "a");
  CHECK(Write.Last.reached.offset > 0);
  auto Request = gateway_fixture::read("SELECT rider FROM fares WHERE id = 1");
  Request.floor = Write.Last.reached;
  auto Read = Fixture.finish(Request);
  CHECK(Read.Last.outcome == Answered);
  CHECK(Read.Last.by_replica);
  CHECK(contains(Read.Messages, "ana"));
}

TEST_CASE("gateway: without a known floor a read uses the primary's "
          "position") {
  gateway_fixture Fixture;
  createTable(Fixture);
  Fixture.finish(gateway_fixture::write("INSERT INTO fares VALUES (1, 'ana')"));
  auto Request = gateway_fixture::read("SELECT rider FROM fares WHERE id = 1");
  Request.floor_known = false;
  auto Read = Fixture.finish(Request);
  CHECK(Read.Last.outcome == Answered);
  CHECK(contains(Read.Messages, "ana"));
}

TEST_CASE("gateway: no write starts without a lease, and one whose lease is "
          "lost is not acknowledged") {
  gateway_fixture Fixture;
  createTable(Fixture);
  Fixture.LeaseValid = false;
  auto Refused = Fixture.finish(
      gateway_fixture::write("INSERT INTO fares VALUES (1, 'ana')"));
  CHECK(Refused.Last.outcome == NotRun);
  Fixture.LeaseValid = true;
  auto Request = gateway_fixture::write("INSERT INTO fares VALUES (2, 'eva')");
  Request.timeout_ms = 200;
  auto Lost = Fixture.start(Request);
  Fixture.LeaseValid = false;
  REQUIRE(Fixture.runUntil([&] { return Lost->Done; }));
  // Whether it was sent depends on the moment at which the lease was lost.
  CHECK(Lost->Last.outcome != Answered);
}

TEST_CASE(
    "gateway: after a fence the outcome of pending writes is unknown, and "
    "the reply has new positions") {
  gateway_fixture Fixture;
  createTable(Fixture);
  Fixture.Servers["b"]->executeCommand("lag 60000");
  Fixture.Servers["c"]->executeCommand("lag 60000");
  auto Write = Fixture.start(
      gateway_fixture::write("INSERT INTO fares VALUES (1, 'ana')"));
  for (int Turn = 0; Turn < 200; ++Turn)
    Fixture.Loop.runOnce();
  REQUIRE_FALSE(Write->Done);
  std::optional<wire::fence_reply> Reply;
  Fixture.Gateway->fence(fenceOf(1),
                         [&](wire::fence_reply Answer) { Reply = Answer; });
  CHECK(Write->Done);
  CHECK(Write->Last.outcome == Unknown);
  CHECK(Write->Last.code == "08007");
  REQUIRE(Fixture.runUntil([&] { return Reply.has_value(); }));
  CHECK(Reply->upstreams.size() == 3);
  CHECK(Reply->acknowledged.offset > 0);
  auto Refused = Fixture.finish(
      gateway_fixture::write("INSERT INTO fares VALUES (2, 'eva')"));
  CHECK(Refused.Last.outcome == NotRun);
}

TEST_CASE("gateway: statements of a transaction share a connection, and it is "
          "rolled back when its caller disconnects") {
  gateway_fixture Fixture;
  createTable(Fixture);
  auto Begin = gateway_fixture::write("BEGIN");
  Begin.transaction = 5;
  Begin.opens_transaction = true;
  CHECK(Fixture.finish(Begin).Last.transaction_status == 'T');
  auto Insert = gateway_fixture::write("INSERT INTO fares VALUES (1, 'ana')");
  Insert.transaction = 5;
  CHECK(Fixture.finish(Insert).Last.transaction_status == 'T');
  Fixture.Gateway->release(link_id(1), transaction_id(5));
  auto Commit = gateway_fixture::write("COMMIT");
  Commit.transaction = 5;
  CHECK(Fixture.finish(Commit).Last.outcome == NotRun);
  auto Read = gateway_fixture::read("SELECT rider FROM fares WHERE id = 1");
  Read.floor_known = false;
  CHECK_FALSE(contains(Fixture.finish(Read).Messages, "ana"));
  CHECK(Fixture.Gateway->inFlight() == 0);
}

TEST_CASE("gateway: a commit is acknowledged like a write") {
  gateway_fixture Fixture;
  createTable(Fixture);
  for (const char *Sql :
       {"BEGIN", "INSERT INTO fares VALUES (1, 'ana')", "COMMIT"}) {
    auto Request = gateway_fixture::write(Sql);
    Request.transaction = 9;
    Request.opens_transaction = std::string(Sql) == "BEGIN";
    auto Answer = Fixture.finish(Request);
    REQUIRE(Answer.Last.outcome == Answered);
    if (std::string(Sql) == "COMMIT") {
      CHECK(Answer.Last.transaction_status == 'I');
      CHECK(Answer.Last.reached.offset > 0);
    }
  }
  CHECK(Fixture.Gateway->inFlight() == 0);
}

TEST_CASE("gateway: a write is executed once per idempotency key") {
  gateway_fixture Fixture;
  createTable(Fixture);
  auto Request = gateway_fixture::write("INSERT INTO fares VALUES (1, 'ana')");
  Request.idempotency_key = "k1";
  CHECK(Fixture.finish(Request).Last.outcome == Answered);
  auto Again = Fixture.finish(Request);
  CHECK(Again.Last.outcome == Answered);
  CHECK(contains(Again.Messages, "already executed"));
  CHECK_FALSE(contains(Again.Messages, "23505"));
}

TEST_CASE("gateway: prepared statements are executed with parameters and "
          "described") {
  gateway_fixture Fixture;
  createTable(Fixture);
  for (int Round = 0; Round < 3; ++Round) {
    auto Request = gateway_fixture::write("");
    wire::statement_step &Step = Request.steps[0];
    Step.kind = wire::step_kind::execute;
    Step.sql = "INSERT INTO fares VALUES ($1, $2)";
    Step.parameter_types = {20, 25};
    Step.parameters.resize(2);
    Step.parameters[0].value = std::to_string(Round);
    Step.parameters[1].value = "ana";
    auto Answer = Fixture.finish(Request);
    CHECK(Answer.Last.outcome == Answered);
    CHECK(contains(Answer.Messages, "INSERT 0 1"));
  }
  auto Describe = gateway_fixture::read("SELECT rider FROM fares");
  Describe.steps[0].kind = wire::step_kind::describe;
  auto Answer = Fixture.finish(Describe);
  CHECK(Answer.Last.outcome == Answered);
  REQUIRE(Answer.Messages.size() > 1);
  CHECK(Answer.Messages[0] == 't');
  CHECK(contains(Answer.Messages, "rider"));
}

TEST_CASE("gateway: a promotion is idempotent and the old primary becomes a "
          "replica") {
  gateway_fixture Fixture;
  createTable(Fixture);
  Fixture.Gateway->fence(fenceOf(1), [](wire::fence_reply) {});
  wire::promote Order;
  Order.group = "despacho";
  Order.upstream = "b";
  Order.term = 2;
  for (int Round = 0; Round < 2; ++Round) {
    std::optional<wire::promote_reply> Reply;
    Fixture.Gateway->promote(
        Order, [&](wire::promote_reply Answer) { Reply = Answer; });
    REQUIRE(Fixture.runUntil([&] { return Reply.has_value(); }));
    CHECK(Reply->problem == "");
    CHECK(Reply->done);
    CHECK(Reply->reached.term == 2);
  }
  Fixture.View.Term = term(2);
  Fixture.View.Primary = upstream_id("b");
  Fixture.Gateway->apply(Fixture.View);
  CHECK(Fixture.runUntil([&] { return Fixture.Servers["a"]->isReplica(); }));
  auto Write = Fixture.finish(
      gateway_fixture::write("INSERT INTO fares VALUES (1, 'ana')"));
  CHECK(Write.Last.outcome == Answered);
  CHECK(Write.Last.reached.term == 2);
}
