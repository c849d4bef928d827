#include "modules/gateway/tests/gateway_bed.h"

using namespace teasellock;

namespace {

constexpr auto Answered = wire::statement_outcome::answered;
constexpr auto NotRun = wire::statement_outcome::not_run;
constexpr auto Unknown = wire::statement_outcome::unknown;

bool holds(const std::string &Messages, const std::string &Text) {
  return Messages.find(Text) != std::string::npos;
}

wire::statement_request insert(const std::string &Id) {
  return gateway_bed::write("INSERT INTO stock VALUES ('" + Id + "', 1)");
}

void turn(gateway_bed &Bed, int Turns) {
  for (int Turn = 0; Turn < Turns; ++Turn)
    Bed.Loop.runOnce();
}

} // namespace

TEST_CASE("gateway: a read whose replica dies is served by another upstream") {
  gateway_bed Bed;
  Bed.finish(insert("towel"));
  auto Slow = gateway_bed::read("SELECT amount FROM stock");
  Bed.Servers["b"]->runSwitch("statement_us 300000");
  auto Read = Bed.start(Slow);
  turn(Bed, 30);
  REQUIRE_FALSE(Read->Done);
  Bed.Servers["b"]->runSwitch("terminate_sessions");
  REQUIRE(Bed.runUntil([&] { return Read->Done; }));
  CHECK(Read->Last.outcome == Answered);
  CHECK(Read->Last.upstream != "b");
}

TEST_CASE("gateway: a write whose connection is lost is unknown, never not "
          "run") {
  gateway_bed Bed;
  Bed.Servers["a"]->runSwitch("statement_us 200000");
  auto Write = Bed.start(insert("towel"));
  turn(Bed, 60);
  REQUIRE_FALSE(Write->Done);
  Bed.Servers["a"]->runSwitch("terminate_sessions");
  REQUIRE(Bed.runUntil([&] { return Write->Done; }));
  CHECK(Write->Last.outcome == Unknown);
  CHECK(Write->Last.code == "08007");
}

TEST_CASE("gateway: with a key the lost write's outcome is found out") {
  gateway_bed Bed;
  // Another transaction holds the key, so that the write waits on it.
  auto Holder = gateway_bed::write("BEGIN");
  Holder.transaction = 1;
  Holder.opens_transaction = true;
  Holder.idempotency_key = "k1";
  REQUIRE(Bed.finish(Holder).Last.transaction_status == 'T');
  auto Request = insert("towel");
  Request.idempotency_key = "k1";
  Request.timeout_ms = 5000;
  auto Write = Bed.start(Request);
  turn(Bed, 60);
  REQUIRE_FALSE(Write->Done);
  Bed.Servers["a"]->runSwitch("terminate_sessions");
  REQUIRE(Bed.runUntil([&] { return Write->Done; }));
  // Ended before its commit: the tombstone went in.
  CHECK(Write->Last.outcome == NotRun);
  // The original can never run under this key any more.
  auto Again = Bed.finish(Request);
  CHECK(Again.Last.outcome == NotRun);
  auto Read = gateway_bed::read("SELECT item FROM stock");
  Read.floor_known = false;
  CHECK_FALSE(holds(Bed.finish(Read).Messages, "towel"));
}

TEST_CASE("gateway: a connection that goes silent is given up though new ones "
          "work") {
  gateway_bed Bed;
  Bed.View.Row.SilenceTimeout = fromMilliseconds(50);
  Bed.Gateway->apply(Bed.View);
  Bed.finish(insert("towel"));
  Bed.Servers["a"]->runSwitch("silence");
  auto Write = insert("sheet");
  Write.timeout_ms = 10000;
  auto Lost = Bed.finish(Write);
  CHECK(Lost.Last.outcome == Unknown);
  // The replicas' streams went silent as well and are dialled anew.
  auto Next = insert("pillow");
  Next.timeout_ms = 10000;
  CHECK(Bed.finish(Next).Last.outcome == Answered);
}

TEST_CASE("gateway: a full queue sheds reads first, as not run") {
  gateway_bed Bed(3, 1);
  Bed.View.Row.QueueLimit = 1;
  Bed.View.Primary = upstream_id("a");
  Bed.Gateway->apply(Bed.View);
  Bed.Servers["b"]->runSwitch("statement_us 100000");
  Bed.Servers["c"]->runSwitch("statement_us 100000");
  std::vector<std::shared_ptr<gateway_bed::collected>> Reads;
  for (int Number = 0; Number < 5; ++Number)
    Reads.push_back(Bed.start(gateway_bed::read("SELECT item FROM stock")));
  int Shed = 0;
  for (const auto &Read : Reads)
    if (Read->Done) {
      ++Shed;
      CHECK(Read->Last.outcome == NotRun);
      CHECK(Read->Last.code == "53300");
    }
  CHECK(Shed == 2);
  for (const auto &Read : Reads)
    REQUIRE(Bed.runUntil([&] { return Read->Done; }));
}

TEST_CASE("gateway: a leaving replica gets no new work") {
  gateway_bed Bed;
  Bed.View.Upstreams[1].Leaving = true;
  Bed.Gateway->apply(Bed.View);
  for (int Number = 0; Number < 5; ++Number) {
    auto Read = Bed.finish(gateway_bed::read("SELECT item FROM stock"));
    CHECK(Read.Last.outcome == Answered);
    CHECK(Read.Last.upstream == "c");
  }
}

TEST_CASE("gateway: a smaller share is confirmed once connections are closed") {
  gateway_bed Bed;
  auto Begin = gateway_bed::write("BEGIN");
  Begin.opens_transaction = true;
  for (int Number = 1; Number <= 3; ++Number) {
    Begin.transaction = Number;
    Bed.finish(Begin);
  }
  Bed.View.Gateways[0].Connections = 3;
  Bed.View.Gateways[0].BudgetEpoch = 2;
  Bed.Gateway->apply(Bed.View);
  turn(Bed, 100);
  CHECK(Bed.Gateway->report().budget_epoch == 1);
  for (int Number = 1; Number <= 3; ++Number)
    Bed.Gateway->release(link_id(1),
                         transaction_id(static_cast<std::uint64_t>(Number)));
  CHECK(Bed.Gateway->report().budget_epoch == 2);
}

TEST_CASE("gateway: a refused primary is reported at once") {
  gateway_bed Bed;
  int Before = Bed.Hurries;
  Bed.Servers.erase("a");
  CHECK(Bed.runUntil([&] {
    for (const wire::upstream_report &Report : Bed.Gateway->report().upstreams)
      if (Report.upstream == "a" && !Report.reachable)
        return Report.refused;
    return false;
  }));
  CHECK(Bed.Hurries > Before);
}
