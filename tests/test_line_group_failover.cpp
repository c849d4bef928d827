#include "tests/line_group_fixture.h"

using namespace teasellock;

namespace {

constexpr std::size_t Primary = 0;
constexpr std::size_t KnownReplica = 1;
constexpr std::size_t UnknownReplica = 2;

/// A write that the primary has logged and no replica has received.
struct unconfirmed_write_fixture : line_group_fixture {
  std::shared_ptr<collected_reply> Write;

  unconfirmed_write_fixture() : line_group_fixture(2) {
    Upstreams.cutReplication(KnownReplica, true);
    Upstreams.cutReplication(UnknownReplica, true);
    Write = start({"w1", wire::line_verb::write, "WRITE item a"});
    REQUIRE(runUntil([&] { return Upstreams.primaryLog().size() == 1; }));
  }
};

} // namespace

// Guards against commits that only a replica confirms which joined after the
// others had been paused: the promoted one lacks them.
TEST_CASE("line: nothing is written to a primary that is being replaced") {
  line_group_fixture Fixture(2);
  REQUIRE(Fixture.succeeded(
      Fixture.finish({"r1", wire::line_verb::read, "READ item", 5, true, {}})));
  REQUIRE(Fixture.succeeded(Fixture.finish(
      {"w1", wire::line_verb::write, "WRITE item a", 5, false, {}})));
  auto Reply = Fixture.fence();
  REQUIRE(Reply.upstreams.size() == 2);

  auto Commit =
      Fixture.finish({"c1", wire::line_verb::commit, "COMMIT", 5, false, {}});
  CHECK(Commit.outcome == wire::statement_outcome::not_run);
  auto Opening = Fixture.start({"r2",
                                wire::line_verb::read,
                                "READ item",
                                6,
                                true,
                                {},
                                fromMilliseconds(100)});
  auto Single = Fixture.start({"w2",
                               wire::line_verb::write,
                               "WRITE item b",
                               0,
                               false,
                               {},
                               fromMilliseconds(100)});
  REQUIRE(Fixture.runUntil([&] { return Opening->Done && Single->Done; }));
  CHECK(Opening->Reply.outcome == wire::statement_outcome::not_run);
  CHECK(Single->Reply.outcome == wire::statement_outcome::not_run);
  CHECK(Fixture.Upstreams.primaryLog().empty());

  // Reads go on, and writes do once another upstream leads.
  CHECK(Fixture.succeeded(Fixture.finish(
      {"r3", wire::line_verb::read, "READ item", 0, false, {}})));
  REQUIRE(Fixture.Upstreams.promote("g-2"));
  CHECK(Fixture.succeeded(Fixture.finish(
      {"w3", wire::line_verb::write, "WRITE item c", 0, false, {}})));
  CHECK(Fixture.Oracle.violations().empty());
}

TEST_CASE("line: a commit that only an unknown replica confirms during a "
          "promotion is not acknowledged") {
  unconfirmed_write_fixture Fixture;
  const auto &Write = Fixture.Write;
  Fixture.fence();
  CHECK_FALSE(Write->Done);
  Fixture.Upstreams.cutReplication(UnknownReplica, false);
  REQUIRE(Fixture.runUntil([&] { return Write->Done; }));
  CHECK(Write->Reply.outcome == wire::statement_outcome::unknown);
}

TEST_CASE("line: a commit that a known replica has is acknowledged during a "
          "promotion") {
  unconfirmed_write_fixture Fixture;
  const auto &Write = Fixture.Write;
  // The view that begins the promotion arrives before the order to pause.
  Fixture.View.Primary.reset();
  Fixture.View.Revision = revision(line_group_fixture::PromotionRevision);
  Fixture.Gateway->apply(Fixture.View);
  Fixture.run(fromMilliseconds(50));
  CHECK_FALSE(Write->Done);
  Fixture.Upstreams.cutReplication(KnownReplica, false);
  REQUIRE(Fixture.runUntil([&] { return Write->Done; }));
  CHECK(Fixture.succeeded(Write->Reply));
  auto Reply = Fixture.fence();
  CHECK((fromWire(Reply.acknowledged) == position{term(1), 1}));
}

// Guards against a former primary that receives and confirms the commits of
// another upstream, which leads unnoticed, while control chooses the next one.
TEST_CASE("line: a demoted primary is paused like the replicas") {
  line_group_fixture Fixture;
  auto Reply = Fixture.fence(upstream_id("g-1"));
  for (const auto &Seen : Reply.upstreams)
    CHECK(Seen.paused);
  for (const auto &Seen : Fixture.Gateway->report().upstreams)
    CHECK(Seen.paused);
}

TEST_CASE(
    "line: an abandoned promotion lets the former primary be written to") {
  line_group_fixture Fixture;
  Fixture.fence();
  auto Write = Fixture.start(
      {"w1", wire::line_verb::write, "WRITE item a", 0, false, {}});
  Fixture.run(fromMilliseconds(50));
  CHECK_FALSE(Write->Done);
  Fixture.Gateway->resume();
  Fixture.View.Revision = revision(line_group_fixture::PromotionRevision + 1);
  Fixture.Gateway->apply(Fixture.View);
  REQUIRE(Fixture.runUntil([&] { return Write->Done; }));
  CHECK(Fixture.succeeded(Write->Reply));
  CHECK(Fixture.Upstreams.statusOf(Primary).IsPrimary);
}

// Guards against a promotion that control decides without the acknowledged
// writes of a replica that it does not know: the gateway must tell how far it
// has acknowledged.
TEST_CASE("line: the answer to a pause tells what the gateway acknowledged") {
  line_group_fixture Fixture(2);
  REQUIRE(Fixture.succeeded(Fixture.finish(
      {"w1", wire::line_verb::write, "WRITE item a", 0, false, {}})));
  CHECK((fromWire(Fixture.fence().acknowledged) == position{term(1), 1}));
}

// Guards against the loss of what only a replica has confirmed that control
// does not know, when the gateway learns nothing of the promotion: neither a
// fence nor a view reaches it.
TEST_CASE("line: a commit that only an unknown replica has confirmed is not "
          "acknowledged") {
  unconfirmed_write_fixture Fixture;
  const auto &Write = Fixture.Write;
  Fixture.Upstreams.cutReplication(UnknownReplica, false);
  Fixture.run(fromMilliseconds(100));
  CHECK_FALSE(Write->Done);
  Fixture.Upstreams.cutReplication(KnownReplica, false);
  REQUIRE(Fixture.runUntil([&] { return Write->Done; }));
  CHECK(Fixture.succeeded(Write->Reply));
}

TEST_CASE("line: a commit that no known replica has is in doubt when the "
          "caller's time ends") {
  line_group_fixture Fixture(2);
  Fixture.Upstreams.cutReplication(KnownReplica, true);
  auto Reply = Fixture.finish({"w1",
                               wire::line_verb::write,
                               "WRITE item a",
                               0,
                               false,
                               {},
                               fromMilliseconds(150)});
  CHECK(Reply.outcome == wire::statement_outcome::unknown);
}

// Guards against a restarted replica being taken for the process that control
// has paused, when the gateway has not heard of control since.
TEST_CASE("line: a replica that has restarted since control was last heard of "
          "covers no commit") {
  line_group_fixture Fixture(2);
  Fixture.LastConfirmedAt = Fixture.Timers.now();
  Fixture.run(fromMilliseconds(5));
  Fixture.Upstreams.injectFault(KnownReplica, soak::upstream_fault::Crashed);
  Fixture.run(fromMilliseconds(50));
  Fixture.Upstreams.recover(KnownReplica);
  auto Write = Fixture.start({"w1", wire::line_verb::write, "WRITE item a"});
  Fixture.run(fromMilliseconds(500));
  CHECK_FALSE(Write->Done);
  Fixture.LastConfirmedAt.reset();
  REQUIRE(Fixture.runUntil([&] { return Write->Done; }));
  CHECK(Fixture.succeeded(Write->Reply));
}
