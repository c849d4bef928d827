#include "modules/gateway/tests/gateway_bed.h"

using namespace teasellock;

namespace {

constexpr auto Answered = wire::statement_outcome::answered;
constexpr auto NotRun = wire::statement_outcome::not_run;
constexpr auto Unknown = wire::statement_outcome::unknown;

bool holds(const std::string &Messages, const std::string &Text) {
  return Messages.find(Text) != std::string::npos;
}

void createTable(gateway_bed &Bed) {
  auto Answer = Bed.finish(gateway_bed::write(
      "CREATE TABLE fares (id bigint PRIMARY KEY, rider text)"));
  REQUIRE(Answer.Last.outcome == Answered);
  REQUIRE(holds(Answer.Messages, "CREATE TABLE"));
}

} // namespace

TEST_CASE("gateway: a write is acknowledged with its position and a read at "
          "that floor sees it on a replica") {
  gateway_bed Bed;
  createTable(Bed);
  auto Write =
      Bed.finish(gateway_bed::write("INSERT INTO fares VALUES (1, 'ana')"));
  CHECK(Write.Last.outcome == Answered);
  CHECK(Write.Last.upstream == "a");
  CHECK(Write.Last.reached.offset > 0);
  auto Request = gateway_bed::read("SELECT rider FROM fares WHERE id = 1");
  Request.floor = Write.Last.reached;
  auto Read = Bed.finish(Request);
  CHECK(Read.Last.outcome == Answered);
  CHECK(Read.Last.by_replica);
  CHECK(holds(Read.Messages, "ana"));
}

TEST_CASE("gateway: without a known floor a read takes the primary's "
          "position") {
  gateway_bed Bed;
  createTable(Bed);
  Bed.finish(gateway_bed::write("INSERT INTO fares VALUES (1, 'ana')"));
  auto Request = gateway_bed::read("SELECT rider FROM fares WHERE id = 1");
  Request.floor_known = false;
  auto Read = Bed.finish(Request);
  CHECK(Read.Last.outcome == Answered);
  CHECK(holds(Read.Messages, "ana"));
}

TEST_CASE("gateway: no write starts without a lease, and one whose lease is "
          "lost is not acknowledged") {
  gateway_bed Bed;
  createTable(Bed);
  Bed.LeaseValid = false;
  auto Refused =
      Bed.finish(gateway_bed::write("INSERT INTO fares VALUES (1, 'ana')"));
  CHECK(Refused.Last.outcome == NotRun);
  Bed.LeaseValid = true;
  auto Request = gateway_bed::write("INSERT INTO fares VALUES (2, 'eva')");
  Request.timeout_ms = 200;
  auto Lost = Bed.start(Request);
  Bed.LeaseValid = false;
  REQUIRE(Bed.runUntil([&] { return Lost->Done; }));
  // It depends on the turn at which the lease went whether it was sent.
  CHECK(Lost->Last.outcome != Answered);
}

TEST_CASE("gateway: a fence makes waiting writes unknown and answers with "
          "fresh positions") {
  gateway_bed Bed;
  createTable(Bed);
  Bed.Servers["b"]->runSwitch("lag 60000");
  Bed.Servers["c"]->runSwitch("lag 60000");
  auto Write =
      Bed.start(gateway_bed::write("INSERT INTO fares VALUES (1, 'ana')"));
  for (int Turn = 0; Turn < 200; ++Turn)
    Bed.Loop.runOnce();
  REQUIRE_FALSE(Write->Done);
  std::optional<wire::fence_reply> Reply;
  Bed.Gateway->fence(fenceOf(1),
                     [&](wire::fence_reply Answer) { Reply = Answer; });
  CHECK(Write->Done);
  CHECK(Write->Last.outcome == Unknown);
  CHECK(Write->Last.code == "08007");
  REQUIRE(Bed.runUntil([&] { return Reply.has_value(); }));
  CHECK(Reply->upstreams.size() == 3);
  CHECK(Reply->acknowledged.offset > 0);
  auto Refused =
      Bed.finish(gateway_bed::write("INSERT INTO fares VALUES (2, 'eva')"));
  CHECK(Refused.Last.outcome == NotRun);
}

TEST_CASE("gateway: statements of a transaction share a connection, and a "
          "caller that goes away rolls it back") {
  gateway_bed Bed;
  createTable(Bed);
  auto Begin = gateway_bed::write("BEGIN");
  Begin.transaction = 5;
  Begin.opens_transaction = true;
  CHECK(Bed.finish(Begin).Last.transaction_status == 'T');
  auto Insert = gateway_bed::write("INSERT INTO fares VALUES (1, 'ana')");
  Insert.transaction = 5;
  CHECK(Bed.finish(Insert).Last.transaction_status == 'T');
  Bed.Gateway->release(link_id(1), transaction_id(5));
  auto Commit = gateway_bed::write("COMMIT");
  Commit.transaction = 5;
  CHECK(Bed.finish(Commit).Last.outcome == NotRun);
  auto Read = gateway_bed::read("SELECT rider FROM fares WHERE id = 1");
  Read.floor_known = false;
  CHECK_FALSE(holds(Bed.finish(Read).Messages, "ana"));
  CHECK(Bed.Gateway->inFlight() == 0);
}

TEST_CASE("gateway: a commit is acknowledged like a write") {
  gateway_bed Bed;
  createTable(Bed);
  for (const char *Sql :
       {"BEGIN", "INSERT INTO fares VALUES (1, 'ana')", "COMMIT"}) {
    auto Request = gateway_bed::write(Sql);
    Request.transaction = 9;
    Request.opens_transaction = std::string(Sql) == "BEGIN";
    auto Answer = Bed.finish(Request);
    REQUIRE(Answer.Last.outcome == Answered);
    if (std::string(Sql) == "COMMIT") {
      CHECK(Answer.Last.transaction_status == 'I');
      CHECK(Answer.Last.reached.offset > 0);
    }
  }
  CHECK(Bed.Gateway->inFlight() == 0);
}

TEST_CASE("gateway: a key runs once") {
  gateway_bed Bed;
  createTable(Bed);
  auto Request = gateway_bed::write("INSERT INTO fares VALUES (1, 'ana')");
  Request.idempotency_key = "k1";
  CHECK(Bed.finish(Request).Last.outcome == Answered);
  auto Again = Bed.finish(Request);
  CHECK(Again.Last.outcome == Answered);
  CHECK(holds(Again.Messages, "already executed"));
  CHECK_FALSE(holds(Again.Messages, "23505"));
}

TEST_CASE("gateway: prepared statements with parameters, and their "
          "description") {
  gateway_bed Bed;
  createTable(Bed);
  for (int Round = 0; Round < 3; ++Round) {
    auto Request = gateway_bed::write("");
    wire::statement_step &Step = Request.steps[0];
    Step.kind = wire::step_kind::execute;
    Step.sql = "INSERT INTO fares VALUES ($1, $2)";
    Step.parameter_types = {20, 25};
    Step.parameters.resize(2);
    Step.parameters[0].value = std::to_string(Round);
    Step.parameters[1].value = "ana";
    auto Answer = Bed.finish(Request);
    CHECK(Answer.Last.outcome == Answered);
    CHECK(holds(Answer.Messages, "INSERT 0 1"));
  }
  auto Describe = gateway_bed::read("SELECT rider FROM fares");
  Describe.steps[0].kind = wire::step_kind::describe;
  auto Answer = Bed.finish(Describe);
  CHECK(Answer.Last.outcome == Answered);
  REQUIRE(Answer.Messages.size() > 1);
  CHECK(Answer.Messages[0] == 't');
  CHECK(holds(Answer.Messages, "rider"));
}

TEST_CASE("gateway: a promotion is idempotent and the old primary follows") {
  gateway_bed Bed;
  createTable(Bed);
  Bed.Gateway->fence(fenceOf(1), [](wire::fence_reply) {});
  wire::promote Order;
  Order.group = "despacho";
  Order.upstream = "b";
  Order.term = 2;
  for (int Round = 0; Round < 2; ++Round) {
    std::optional<wire::promote_reply> Reply;
    Bed.Gateway->promote(Order,
                         [&](wire::promote_reply Answer) { Reply = Answer; });
    REQUIRE(Bed.runUntil([&] { return Reply.has_value(); }));
    CHECK(Reply->problem == "");
    CHECK(Reply->done);
    CHECK(Reply->reached.term == 2);
  }
  Bed.View.Term = term(2);
  Bed.View.Primary = upstream_id("b");
  Bed.Gateway->apply(Bed.View);
  CHECK(Bed.runUntil([&] { return Bed.Servers["a"]->isReplica(); }));
  auto Write =
      Bed.finish(gateway_bed::write("INSERT INTO fares VALUES (1, 'ana')"));
  CHECK(Write.Last.outcome == Answered);
  CHECK(Write.Last.reached.term == 2);
}
