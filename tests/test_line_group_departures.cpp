#include "tests/line_group_fixture.h"

using namespace teasellock;

namespace {

constexpr std::int64_t Transaction = 5;
/// Longer than any attempt is waited for once its caller has left.
constexpr duration RestTime = std::chrono::milliseconds(2500);

/// Statements whose callers leave while they are executed.
struct leaving_fixture : line_group_fixture {
  leaving_fixture() : line_group_fixture(3) {
    REQUIRE(succeeded(finish({"w0", wire::line_verb::write, "WRITE item a"})));
  }

  void startOpening() {
    start({"r1", wire::line_verb::read, "READ item", Transaction, true});
  }

  /// Runs until the upstream executes the opening statement.
  void runUntilExecuting() {
    REQUIRE(runUntil([&] { return Upstreams.openTransactions() > 0; }));
  }

  double gaugeOf(const std::string &Name) {
    return Metrics.gaugeOf(Name, {{"group", "g"}}).Value;
  }

  /// Checks that nothing is left of transactions that nobody continues.
  void checkAtRest() {
    run(RestTime);
    CHECK(Upstreams.openTransactions() == 0);
    CHECK(gaugeOf("teasellock_gateway_open_transactions") == 0);
    CHECK(gaugeOf("teasellock_gateway_connections_in_use") == 0);
    CHECK(Gateway->inFlight() == 0);
    CHECK(succeeded(finish({"w9", wire::line_verb::write, "WRITE item z"})));
    CHECK(Oracle.violations().empty());
  }
};

} // namespace

// Guards against connections that stay in a transaction for ever because its
// caller left while its first statement was executed.
TEST_CASE("line: a transaction is rolled back if its caller leaves while it is "
          "opened") {
  leaving_fixture Fixture;
  Fixture.startOpening();
  SUBCASE("the session is being prepared") {}
  SUBCASE("the statement is executed") { Fixture.runUntilExecuting(); }
  Fixture.Gateway->cancel({link_id(1), request_id(Fixture.LastRequest)});
  Fixture.Gateway->release(link_id(1), transaction_id(Transaction));
  Fixture.checkAtRest();
}

TEST_CASE("line: a transaction is rolled back if the link to its entry closes "
          "while it is opened") {
  leaving_fixture Fixture;
  Fixture.startOpening();
  Fixture.runUntilExecuting();
  Fixture.Gateway->handleLinkClosed(link_id(1));
  Fixture.checkAtRest();
}

TEST_CASE(
    "line: a transaction is rolled back if only its release arrives while "
    "it is opened") {
  leaving_fixture Fixture;
  Fixture.startOpening();
  Fixture.runUntilExecuting();
  Fixture.Gateway->release(link_id(1), transaction_id(Transaction));
  Fixture.checkAtRest();
}

TEST_CASE("line: a transaction is rolled back if its deadline passes while it "
          "is opened") {
  leaving_fixture Fixture;
  auto Opening = Fixture.start({"r1",
                                wire::line_verb::read,
                                "READ item",
                                Transaction,
                                true,
                                {},
                                fromMilliseconds(1)});
  REQUIRE(Fixture.runUntil([&] { return Opening->Done; }));
  CHECK_FALSE(Fixture.succeeded(Opening->Reply));
  Fixture.checkAtRest();
}

// Guards against a connection that is lent for ever to a rollback without an
// answer.
TEST_CASE("line: a rollback without an answer closes its connection") {
  leaving_fixture Fixture;
  REQUIRE(Fixture.succeeded(Fixture.finish(
      {"r1", wire::line_verb::read, "READ item", Transaction, true})));
  Fixture.Upstreams.silenceConnections();
  Fixture.Gateway->release(link_id(1), transaction_id(Transaction));
  Fixture.run(RestTime);
  CHECK(Fixture.gaugeOf("teasellock_gateway_connections_in_use") == 0);
}

// Guards against counters of an upstream's next incarnation that a connection
// to the one before decrements below zero: no more connections were opened.
TEST_CASE("line: connections of an earlier incarnation do not count") {
  leaving_fixture Fixture;
  Fixture.Upstreams.injectFault(0, soak::upstream_fault::Crashed);
  Fixture.Upstreams.recover(0);
  for (int Incarnation = 2; Incarnation < 6; ++Incarnation) {
    Fixture.View.Upstreams[0].Incarnation =
        incarnation(static_cast<std::uint64_t>(Incarnation));
    Fixture.Gateway->apply(Fixture.View);
    Fixture.Loop.runOnce();
  }
  Fixture.run(fromMilliseconds(500));
  for (int Number = 0; Number < 4; ++Number)
    CHECK(Fixture.succeeded(
        Fixture.finish({"w" + std::to_string(Number + 1),
                        wire::line_verb::write, "WRITE item b"})));
  Fixture.run(fromMilliseconds(500));
  CHECK(Fixture.gaugeOf("teasellock_gateway_connections_in_use") == 0);
}
