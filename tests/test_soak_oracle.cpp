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

/// An oracle that has seen one write of session 1 committed.
struct oracle_bed {
  oracle Oracle;
  commit_log Log;

  oracle_bed() {
    send("w1", "WRITE a 1", 1);
    Oracle.ran({"w1", "WRITE a 1", 0, {}});
    commit("w1");
  }

  void send(const std::string &Id, const std::string &Text,
            std::uint64_t Session, std::uint64_t Transaction = 0) {
    Oracle.sent({Id, Text, Session, Transaction, {}, false});
  }

  void commit(const std::string &Id) {
    log_entry Entry;
    Entry.Position = {term(1), Log.size() + 1};
    Entry.Number = Oracle.nextNumber();
    Entry.StatementIds = {Id};
    Log.push_back(Entry);
    Oracle.committed(Entry);
  }

  void read(std::uint64_t Session, duration MaxStaleness, time_point Started,
            std::size_t Applied) {
    send("r", "READ a", Session);
    Oracle.readStarts("r", Session, {Group, MaxStaleness}, Started);
    Oracle.read("r", Log, Applied);
  }

  std::string rule() const {
    if (Oracle.broken().empty())
      return "none";
    return Oracle.broken().front().substr(0, Oracle.broken().front().find(':'));
  }
};

} // namespace

TEST_CASE("soak: the oracle finds reads that are too stale, and no others") {
  auto RuleOf = [](std::uint64_t Session, int StaleMs, int StartMs,
                   std::size_t Applied) {
    oracle_bed Bed;
    Bed.Oracle.acknowledged(1, Group, {"w1"}, at(1000));
    Bed.read(Session, fromMilliseconds(StaleMs), at(StartMs), Applied);
    return Bed.rule();
  };
  CHECK(RuleOf(2, 0, 1001, 0) == "stale");
  CHECK(RuleOf(2, 0, 1001, 1) == "none");
  // It was sent before the write was acknowledged.
  CHECK(RuleOf(2, 0, 1000, 0) == "none");
  CHECK(RuleOf(2, 1500, 2400, 0) == "none");
  CHECK(RuleOf(2, 1500, 2600, 0) == "stale");
  // A session sees its own writes whatever it tolerates.
  CHECK(RuleOf(1, 1500, 1100, 0) == "stale");
}

TEST_CASE(
    "soak: the oracle finds writes that are lost, doubled or kept against "
    "a promise") {
  oracle_bed Lost;
  Lost.Oracle.acknowledged(1, Group, {"w1"}, at(1000));
  Lost.Oracle.promoted(Group, {});
  CHECK(Lost.rule() == "lost");

  oracle_bed Kept;
  Kept.Oracle.acknowledged(1, Group, {"w1"}, at(1000));
  Kept.Oracle.promoted(Group, Kept.Log);
  CHECK(Kept.rule() == "none");

  oracle_bed Never;
  Never.send("w2", "WRITE a 2", 1);
  Never.Oracle.acknowledged(1, Group, {"w2"}, at(1000));
  CHECK(Never.rule() == "lost");

  oracle_bed Twice;
  Twice.commit("w1");
  CHECK(Twice.rule() == "twice");

  oracle_bed Before;
  Before.Oracle.notKept({"w1"});
  CHECK(Before.rule() == "refused");

  oracle_bed After;
  After.send("w2", "WRITE a 2", 1);
  After.Oracle.notKept({"w2"});
  After.commit("w2");
  CHECK(After.rule() == "refused");
}

TEST_CASE("soak: the oracle finds statements that nobody sent or that ran in "
          "another transaction") {
  oracle_bed Unasked;
  Unasked.Oracle.ran({"x", "READ a", 0, {}});
  CHECK(Unasked.rule() == "unasked");

  oracle_bed Changed;
  Changed.Oracle.ran({"w1", "WRITE a 2", 0, {}});
  CHECK(Changed.rule() == "unasked");

  oracle_bed Values;
  Values.Oracle.ran({"w1", "WRITE a 1", 0, {{"zone", "1"}}});
  CHECK(Values.rule() == "session");

  oracle_bed Mingled;
  Mingled.send("t1", "READ a", 1, 5);
  Mingled.send("t2", "READ a", 2, 6);
  Mingled.Oracle.ran({"t1", "READ a", 70, {}});
  Mingled.Oracle.ran({"t2", "READ a", 70, {}});
  CHECK(Mingled.rule() == "pinned");

  oracle_bed Moved;
  Moved.send("t1", "READ a", 1, 5);
  Moved.send("t3", "READ b", 1, 5);
  Moved.Oracle.ran({"t1", "READ a", 70, {}});
  Moved.Oracle.ran({"t3", "READ b", 71, {}});
  CHECK(Moved.rule() == "pinned");

  // The statement that opens a transaction may be tried again elsewhere.
  oracle_bed Again;
  Again.send("t1", "READ a", 1, 5);
  Again.Oracle.ran({"t1", "READ a", 70, {}});
  Again.Oracle.ran({"t1", "READ a", 71, {}});
  CHECK(Again.rule() == "none");
}

TEST_CASE("soak: the oracle finds foreign answers, shared tokens and old "
          "deployments") {
  oracle_bed Mixed;
  Mixed.Oracle.signs("w1", {"s1", {"1"}});
  Mixed.Oracle.succeeded("w1", {"s1", {"1"}});
  CHECK(Mixed.rule() == "none");
  Mixed.Oracle.succeeded("w1", {"s1", {"2"}});
  CHECK(Mixed.rule() == "mixed");

  oracle_bed One;
  One.Oracle.ordered(Group, "left", 7);
  One.Oracle.ordered(Group, "left", 7);
  One.Oracle.ordered(Group, "right", 8);
  CHECK(One.rule() == "none");
  One.Oracle.ordered(Group, "right", 7);
  CHECK(One.rule() == "one");

  oracle_bed Old;
  Old.Oracle.deploymentAcknowledged(4, at(1000));
  Old.Oracle.deploymentRead(3, at(3900));
  CHECK(Old.rule() == "none");
  Old.Oracle.deploymentRead(3, at(4100));
  CHECK(Old.rule() == "config");
}

TEST_CASE(
    "soak: a seed always draws the same faults, and no second disk before "
    "the first is made up for") {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    auto Faults = drawFaults(Seed, std::chrono::seconds(60));
    auto Again = drawFaults(Seed, std::chrono::seconds(60));
    REQUIRE(Faults.size() == Again.size());
    duration Last = std::chrono::seconds(-60);
    for (std::size_t Index = 0; Index < Faults.size(); ++Index) {
      CHECK(Faults[Index].Pick == Again[Index].Pick);
      if (Faults[Index].Kind != fault_kind::WipeControl)
        continue;
      CHECK((Faults[Index].At - Last >= std::chrono::seconds(8)));
      Last = Faults[Index].At;
    }
  }
}
