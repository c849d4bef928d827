#include "tests/line_group_fixture.h"

using namespace teasellock;

namespace {

constexpr std::size_t Primary = 0;
constexpr std::size_t Replica = 1;
/// Longer than a replica's lag, and shorter than the interval of the probes of
/// a replica.
constexpr duration CatchUpTime = std::chrono::milliseconds(100);
/// Longer than a rollback takes.
constexpr duration RollbackTime = std::chrono::milliseconds(30);

position positionOf(line_group_fixture &Fixture, std::size_t Upstream) {
  for (const auto &Report : Fixture.Gateway->report().upstreams)
    if (Report.upstream == Fixture.Upstreams.statusOf(Upstream).Id)
      return fromWire(Report.replayed);
  return {};
}

even_load_settings learningPositions(bool On) {
  even_load_settings Settings;
  Settings.LearnPositions = On;
  return Settings;
}

/// Opens a transaction on the replica, which lags, lets it catch up with a
/// write, and rolls the transaction back. Returns the offset by which the known
/// position of the replica is behind the primary's then.
std::uint64_t lagAfterRollback(bool LearnsPositions) {
  constexpr std::int64_t Transaction = 5;
  line_group_fixture Fixture(2, false, learningPositions(LearnsPositions));
  // Commits that wait for a replica ask it for its position.
  Fixture.View.Row.AckReplicas = 0;
  Fixture.View.Revision = revision(2);
  Fixture.Gateway->apply(Fixture.View);
  REQUIRE(Fixture.succeeded(
      Fixture.finish({"w0", wire::line_verb::write, "WRITE item a"})));
  Fixture.run(fromMilliseconds(800));
  line_group_fixture::statement Read{"r1", wire::line_verb::read, "READ item",
                                     Transaction, true};
  Read.ReadOnly = true;
  Read.MaxStaleness = fromMilliseconds(5000);
  auto Reply = Fixture.finish(Read);
  REQUIRE(Fixture.succeeded(Reply));
  REQUIRE(Reply.upstream == Fixture.Upstreams.statusOf(Replica).Id);
  REQUIRE(Fixture.succeeded(
      Fixture.finish({"w1", wire::line_verb::write, "WRITE item b"})));
  Fixture.run(CatchUpTime);
  Fixture.Gateway->release(link_id(1), transaction_id(Transaction));
  Fixture.run(RollbackTime);
  return positionOf(Fixture, Primary).Offset -
         positionOf(Fixture, Replica).Offset;
}

} // namespace

// Guards against reads that go to the primary, or wait, although the replica's
// answers to other statements have shown that it has the data.
TEST_CASE("line: the position in the answer to a rollback is learnt") {
  CHECK(lagAfterRollback(true) == 0);
}

// Guards against a measure for even load that is on without being asked for.
TEST_CASE("line: without the measure that position is not learnt") {
  CHECK(lagAfterRollback(false) == 1);
}

namespace {

/// Lets the replica be silent until the gateway finds it unreachable and
/// reachable again, and returns how many of the reads after that it gets.
int countReadsAfterOutage(const std::string &EvenLoad) {
  line_group_fixture Fixture(3, false, parseEvenLoad(EvenLoad));
  REQUIRE(Fixture.succeeded(
      Fixture.finish({"w0", wire::line_verb::write, "WRITE item a"})));
  Fixture.run(CatchUpTime);
  Fixture.Upstreams.injectFault(Replica, soak::upstream_fault::Silent);
  REQUIRE(Fixture.runUntil([&] { return Fixture.countReachable() == 2; }));
  Fixture.Upstreams.recover(Replica);
  REQUIRE(Fixture.runUntil([&] { return Fixture.countReachable() == 3; }));
  Fixture.run(CatchUpTime);
  int Count = 0;
  for (int Number = 0; Number < 20; ++Number) {
    line_group_fixture::statement Read{"r" + std::to_string(Number),
                                       wire::line_verb::read, "READ item"};
    Read.MaxStaleness = fromMilliseconds(5000);
    auto Reply = Fixture.finish(Read);
    CHECK(Fixture.succeeded(Reply));
    Count += Reply.upstream == Fixture.Upstreams.statusOf(Replica).Id;
  }
  return Count;
}

} // namespace

// Guards against an upstream that flaps and gets its part of the reads at once
// each time that it answers.
TEST_CASE("line: a replica that was unreachable gets no reads at first") {
  CHECK(countReadsAfterOutage("spread,reliability") == 0);
}

TEST_CASE("line: without the measure it gets its part of the reads at once") {
  CHECK(countReadsAfterOutage("spread") > 0);
}

// Guards against load that can't be seen by upstream, and against gauges that
// keep their values when an upstream has left.
TEST_CASE("line: the load on each upstream is in the metrics") {
  line_group_fixture Fixture;
  auto ValueOf = [&](const std::string &Name, const std::string &Upstream) {
    return Fixture.Metrics
        .gaugeOf("teasellock_gateway_upstream_" + Name,
                 {{"group", "g"}, {"upstream", Upstream}})
        .Value;
  };
  auto CountOf = [&](const std::string &Upstream) {
    return Fixture.Metrics
        .counterOf("teasellock_gateway_upstream_statements_total",
                   {{"group", "g"}, {"upstream", Upstream}})
        .Value;
  };
  REQUIRE(Fixture.succeeded(
      Fixture.finish({"w1", wire::line_verb::write, "WRITE item a"})));
  CHECK(CountOf("g-1") == 1);
  CHECK(CountOf("g-2") + CountOf("g-3") == 0);
  Fixture.Upstreams.injectFault(Primary, soak::upstream_fault::Silent);
  auto Open = Fixture.start({"w2", wire::line_verb::write, "WRITE item b"});
  CHECK(Fixture.runUntil([&] { return ValueOf("in_flight", "g-1") == 1; }));
  CHECK(ValueOf("in_flight_limit", "g-1") > 1);
  CHECK(ValueOf("in_flight_limit", "g-2") > 1);
  Fixture.View.Upstreams.erase(Fixture.View.Upstreams.begin());
  Fixture.View.Revision = revision(Fixture.View.Revision.Value + 1);
  Fixture.Gateway->apply(Fixture.View);
  CHECK(ValueOf("in_flight", "g-1") == 0);
  CHECK(ValueOf("in_flight_limit", "g-1") == 0);
}
