#include "tests/line_group_fixture.h"

using namespace teasellock;

namespace {

constexpr std::int64_t Transaction = 5;
/// Reads tolerate this, so that the former primary may execute them.
const duration MaxStaleness = fromMilliseconds(5000);
/// Enough to use every open connection of both upstreams.
constexpr int ConcurrentReads = 6;

/// A transaction at a primary that has lost the lead since it was opened.
struct lost_transaction_fixture : line_group_fixture {
  lost_transaction_fixture() : line_group_fixture(2) {
    // Reads of replicas need a known position of the primary.
    REQUIRE(succeeded(
        finish({"w0", wire::line_verb::write, "WRITE item a", 0, false, {}})));
    run(fromMilliseconds(100));
    REQUIRE(succeeded(finish(read("r1", Transaction, {{"tag", "v1"}}))));
    REQUIRE(Upstreams.promote("g-2"));
    REQUIRE(runUntil([&] { return !Upstreams.statusOf(0).IsPrimary; }));
  }

  static statement read(const std::string &Id, std::int64_t InTransaction,
                        std::map<std::string, std::string> Settings) {
    statement Statement{Id,          wire::line_verb::read,
                        "READ item", InTransaction,
                        Id == "r1",  std::move(Settings)};
    Statement.MaxStaleness = MaxStaleness;
    return Statement;
  }

  static statement prepared(const std::string &Id, std::int64_t InTransaction) {
    statement Statement{Id,        wire::line_verb::execute,
                        "booking", InTransaction,
                        false,     {{"tag", "v1"}}};
    Statement.Arguments = "item";
    Statement.MaxStaleness = MaxStaleness;
    return Statement;
  }

  /// Executes a statement several times at once; returns how many failed.
  int countFailures(std::function<statement(const std::string &)> Make) {
    std::vector<std::shared_ptr<collected_reply>> Replies;
    for (int Number = 0; Number < ConcurrentReads; ++Number)
      Replies.push_back(start(Make("s" + std::to_string(Number))));
    int Failures = 0;
    for (const auto &Reply : Replies) {
      REQUIRE(runUntil([&] { return Reply->Done; }));
      CAPTURE(Reply->Reply.problem);
      Failures += succeeded(Reply->Reply) ? 0 : 1;
    }
    return Failures;
  }
};

} // namespace

// Guards against statements that run with an earlier value of a session
// setting: SET was rejected because the primary of its transaction had lost the
// lead, but counted as executed.
TEST_CASE("line: a setting that an upstream rejected is set again") {
  lost_transaction_fixture Fixture;
  std::map<std::string, std::string> Changed{{"tag", "v2"}};
  auto Rejected = Fixture.finish(Fixture.read("r2", Transaction, Changed));
  CHECK_FALSE(Fixture.succeeded(Rejected));
  CHECK(Fixture.countFailures([&](const std::string &Id) {
    return Fixture.read(Id, 0, Changed);
  }) == 0);
  CHECK(Fixture.Oracle.violations().empty());
}

// The same for PREPARE: the name would be unknown where it is executed.
TEST_CASE("line: a statement whose preparation was rejected is prepared "
          "again") {
  lost_transaction_fixture Fixture;
  auto Rejected = Fixture.finish(Fixture.prepared("e1", Transaction));
  CHECK_FALSE(Fixture.succeeded(Rejected));
  auto UnknownNames = Fixture.Upstreams.unknownNames();
  CHECK(Fixture.countFailures([&](const std::string &Id) {
    return Fixture.prepared(Id, 0);
  }) == 0);
  CHECK(Fixture.Upstreams.unknownNames() == UnknownNames);
  CHECK(Fixture.Oracle.violations().empty());
}

// Guards against a connection with an open transaction among the idle ones: a
// write on it would be acknowledged and never committed.
TEST_CASE("line: a rejected rollback of a read on the primary is repeated") {
  using soak::statement_fault;
  line_group_fixture Fixture(2);
  bool IsRejected = false;
  std::string Previous;
  // Probes send ROLLBACK as well, but no READ before it.
  Fixture.Upstreams.selectFaults([&](const std::string &Verb) {
    bool Rejects = Verb == "ROLLBACK" && Previous == "READ" && !IsRejected;
    IsRejected = IsRejected || Rejects;
    Previous = Verb;
    return Rejects ? statement_fault::Failed : statement_fault::None;
  });
  CHECK(Fixture.succeeded(
      Fixture.finish({"r1", wire::line_verb::read, "READ item"})));
  REQUIRE(IsRejected);
  CHECK(Fixture.runUntil(
      [&] { return Fixture.Upstreams.openTransactions() == 0; }));
  CHECK(Fixture.succeeded(
      Fixture.finish({"w1", wire::line_verb::write, "WRITE item a"})));
  CHECK(Fixture.Oracle.violations().empty());
}

// Guards against an upstream's id that reaches the upstream as messages of its
// own, and against a forwarded statement that does.
TEST_CASE("line: neither an id nor a statement carries messages of its own to "
          "an upstream") {
  line_group_fixture Fixture(2);
  auto Forged = Fixture.View.Upstreams.front();
  Forged.Upstream = upstream_id("g-1\r\nQUERY forged WRITE i0 forged");
  Fixture.View.Upstreams.push_back(Forged);
  Fixture.View.Revision = revision(2);
  Fixture.Gateway->apply(Fixture.View);
  Fixture.run(fromMilliseconds(400));
  line_group_fixture::statement Statement{
      "w1", wire::line_verb::write, "WRITE item a", 0, false, {}};
  Statement.Settings = {{"tag", "x\r\nQUERY forged WRITE i0 forged"}};
  auto Reply = Fixture.finish(Statement);
  CHECK(Reply.outcome == wire::statement_outcome::not_run);
  CHECK(Reply.code == sqlStateOf(line_error::Malformed));
  CHECK(line_group_fixture::succeeded(Fixture.finish(
      {"w2", wire::line_verb::write, "WRITE item a", 0, false, {}})));
  CHECK(Fixture.Oracle.violations().empty());
}

// Guards against a read on the primary whose answer is lost and that succeeds
// with the answer to the ROLLBACK behind it, without a row or a signature.
TEST_CASE("line: the answer to another statement is not taken for a read's") {
  line_group_fixture Fixture(2);
  REQUIRE(Fixture.succeeded(
      Fixture.finish({"w1", wire::line_verb::write, "WRITE item a"})));
  int Lost = 0;
  Fixture.Upstreams.selectFaults([&](const std::string &Verb) {
    return Verb == "READ" && Lost++ == 0 ? soak::statement_fault::Lost
                                         : soak::statement_fault::None;
  });
  auto Answer = Fixture.start({"r1", wire::line_verb::read, "READ item"});
  REQUIRE(Fixture.runUntil([&] { return Lost > 0; }));
  Fixture.run(fromMilliseconds(20));
  Fixture.Upstreams.resetConnections(1, 1);
  REQUIRE(Fixture.runUntil([&] { return Answer->Done; }));
  const auto &Reply = Answer->Reply;
  CHECK(Lost > 1);
  CHECK(Fixture.succeeded(Reply));
  CHECK(Reply.messages.find("ROW ") != std::string::npos);
  CHECK(Reply.messages.find("DONE -") == std::string::npos);
  CHECK(Fixture.Metrics.counterOf("teasellock_line_unexpected_answers_total")
            .Value == 1);
}
