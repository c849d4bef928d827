#include "tests/soak/faults.h"
#include "tests/soak/oracle.h"

#include <doctest/doctest.h>

using namespace teasellock;
using namespace teasellock::soak;

namespace {

const group_id Group("g");

time_point at(std::int64_t Milliseconds) {
  return time_point(fromMilliseconds(Milliseconds));
}

/// An oracle that has recorded one committed write of session 1.
struct oracle_fixture {
  oracle Oracle;
  commit_log Log;

  oracle_fixture() {
    send("w1", "WRITE a 1", 1);
    Oracle.checkExecution({"w1", "WRITE a 1", 0, {}});
    commit("w1");
  }

  void send(const std::string &Id, const std::string &Text,
            std::uint64_t Session, std::uint64_t Transaction = 0) {
    Oracle.recordSent({Id, Text, Session, Transaction, {}, false});
  }

  void commit(const std::string &Id) {
    log_entry Entry;
    Entry.Position = {term(1), Log.size() + 1};
    Entry.Number = Oracle.nextNumber();
    Entry.StatementIds = {Id};
    Log.push_back(Entry);
    Oracle.recordCommit(Entry);
  }

  void read(std::uint64_t Session, duration MaxStaleness, time_point Started,
            std::size_t Applied) {
    send("r", "READ a", Session);
    Oracle.recordReadStart("r", Session, {Group, MaxStaleness}, Started);
    Oracle.checkRead("r", Log, Applied);
  }

  std::string rule() const {
    if (Oracle.violations().empty())
      return "none";
    return Oracle.violations().front().substr(
        0, Oracle.violations().front().find(':'));
  }
};

} // namespace

TEST_CASE("soak: the oracle reports reads that are too stale, and no others") {
  auto RuleOf = [](std::uint64_t Session, int StaleMs, int StartMs,
                   std::size_t Applied) {
    oracle_fixture Bed;
    Bed.Oracle.recordAcknowledgement(1, Group, {"w1"}, at(1000));
    Bed.read(Session, fromMilliseconds(StaleMs), at(StartMs), Applied);
    return Bed.rule();
  };
  CHECK(RuleOf(2, 0, 1001, 0) == "stale");
  CHECK(RuleOf(2, 0, 1001, 1) == "none");
  // The read was sent before the write was acknowledged.
  CHECK(RuleOf(2, 0, 1000, 0) == "none");
  CHECK(RuleOf(2, 1500, 2400, 0) == "none");
  CHECK(RuleOf(2, 1500, 2600, 0) == "stale");
  // A session sees its own writes regardless of its staleness bound.
  CHECK(RuleOf(1, 1500, 1100, 0) == "stale");
}

TEST_CASE("soak: the oracle reports writes that are lost, committed twice or "
          "committed after an abort was reported") {
  oracle_fixture Lost;
  Lost.Oracle.recordAcknowledgement(1, Group, {"w1"}, at(1000));
  Lost.Oracle.checkPromotion(Group, {});
  CHECK(Lost.rule() == "lost");

  oracle_fixture Kept;
  Kept.Oracle.recordAcknowledgement(1, Group, {"w1"}, at(1000));
  Kept.Oracle.checkPromotion(Group, Kept.Log);
  CHECK(Kept.rule() == "none");

  oracle_fixture Never;
  Never.send("w2", "WRITE a 2", 1);
  Never.Oracle.recordAcknowledgement(1, Group, {"w2"}, at(1000));
  CHECK(Never.rule() == "lost");

  oracle_fixture Twice;
  Twice.commit("w1");
  CHECK(Twice.rule() == "twice");

  oracle_fixture Before;
  Before.Oracle.recordNotCommitted({"w1"});
  CHECK(Before.rule() == "refused");

  oracle_fixture After;
  After.send("w2", "WRITE a 2", 1);
  After.Oracle.recordNotCommitted({"w2"});
  After.commit("w2");
  CHECK(After.rule() == "refused");
}

TEST_CASE("soak: the oracle reports statements that no caller sent or that "
          "ran in another transaction") {
  oracle_fixture Unasked;
  Unasked.Oracle.checkExecution({"x", "READ a", 0, {}});
  CHECK(Unasked.rule() == "unasked");

  oracle_fixture Changed;
  Changed.Oracle.checkExecution({"w1", "WRITE a 2", 0, {}});
  CHECK(Changed.rule() == "unasked");

  oracle_fixture Values;
  Values.Oracle.checkExecution({"w1", "WRITE a 1", 0, {{"zone", "1"}}});
  CHECK(Values.rule() == "session");

  oracle_fixture Mingled;
  Mingled.send("t1", "READ a", 1, 5);
  Mingled.send("t2", "READ a", 2, 6);
  Mingled.Oracle.checkExecution({"t1", "READ a", 70, {}});
  Mingled.Oracle.checkExecution({"t2", "READ a", 70, {}});
  CHECK(Mingled.rule() == "pinned");

  oracle_fixture Moved;
  Moved.send("t1", "READ a", 1, 5);
  Moved.send("t3", "READ b", 1, 5);
  Moved.Oracle.checkExecution({"t1", "READ a", 70, {}});
  Moved.Oracle.checkExecution({"t3", "READ b", 71, {}});
  CHECK(Moved.rule() == "pinned");

  // The statement that opens a transaction may be retried on another upstream.
  oracle_fixture Again;
  Again.send("t1", "READ a", 1, 5);
  Again.Oracle.checkExecution({"t1", "READ a", 70, {}});
  Again.Oracle.checkExecution({"t1", "READ a", 71, {}});
  CHECK(Again.rule() == "none");
}

TEST_CASE("soak: the oracle reports wrong results, shared tokens and old "
          "deployments") {
  oracle_fixture Mixed;
  Mixed.Oracle.recordResult("w1", {"s1", {"1"}});
  Mixed.Oracle.checkResult("w1", {"s1", {"1"}});
  CHECK(Mixed.rule() == "none");
  Mixed.Oracle.checkResult("w1", {"s1", {"2"}});
  CHECK(Mixed.rule() == "mixed");

  oracle_fixture One;
  One.Oracle.checkPromotionRequest(Group, "left", 7);
  One.Oracle.checkPromotionRequest(Group, "left", 7);
  One.Oracle.checkPromotionRequest(Group, "right", 8);
  CHECK(One.rule() == "none");
  One.Oracle.checkPromotionRequest(Group, "right", 7);
  CHECK(One.rule() == "one");

  oracle_fixture Old;
  Old.Oracle.recordDeploymentAcknowledged(4, at(1000));
  Old.Oracle.checkDeploymentRead(3, at(3900));
  CHECK(Old.rule() == "none");
  Old.Oracle.checkDeploymentRead(3, at(4100));
  CHECK(Old.rule() == "config");
}

TEST_CASE(
    "soak: a seed always generates the same faults, and loses no second disk "
    "before the first store is replaced") {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    auto Faults = generateFaults(Seed, std::chrono::seconds(60));
    auto Again = generateFaults(Seed, std::chrono::seconds(60));
    REQUIRE(Faults.size() == Again.size());
    duration Last = std::chrono::seconds(-60);
    for (std::size_t Index = 0; Index < Faults.size(); ++Index) {
      CHECK(Faults[Index].TargetSelector == Again[Index].TargetSelector);
      if (Faults[Index].Kind != fault_kind::WipeControl)
        continue;
      CHECK((Faults[Index].StartOffset - Last >= std::chrono::seconds(8)));
      Last = Faults[Index].StartOffset;
    }
  }
}
