#include "bench/entry_metrics.h"
#include "bench/gap_tracker.h"
#include "bench/workload.h"

#include <doctest/doctest.h>
#include <set>

using namespace teasellock;
using namespace teasellock::bench;

namespace {

time_point at(std::int64_t Milliseconds) {
  return time_point(fromMilliseconds(Milliseconds));
}

planned_statement booking(const std::string &Id) {
  planned_statement Statement;
  Statement.Operation = operation::Book;
  Statement.Id = Id;
  return Statement;
}

session_ledger ledgerOf(write_outcome Outcome) {
  session_ledger Ledger;
  Ledger.Name = "s";
  recordWrite(Ledger, booking("s-1"), Outcome);
  return Ledger;
}

using violations = std::map<violation, std::uint64_t>;

} // namespace

TEST_CASE("bench: a gap runs from the first failed write to the next success") {
  gap_tracker Tracker;
  Tracker.LateThreshold = fromMilliseconds(250);
  recordAcknowledgedWrite(Tracker, at(0), at(5));
  recordFailedWrite(Tracker, at(100));
  recordFailedWrite(Tracker, at(600));
  recordAcknowledgedWrite(Tracker, at(1100), at(1400));
  CHECK(longestGap(Tracker, at(2000)) == fromMilliseconds(1300));
  CHECK(Tracker.GapCount == 1);
}

TEST_CASE("bench: a late write is a gap of its own length") {
  gap_tracker Tracker;
  Tracker.LateThreshold = fromMilliseconds(250);
  recordAcknowledgedWrite(Tracker, at(0), at(250));
  CHECK(Tracker.GapCount == 0);
  recordAcknowledgedWrite(Tracker, at(1000), at(1251));
  CHECK(longestGap(Tracker, at(2000)) == fromMilliseconds(251));
}

TEST_CASE("bench: early gaps do not count, an open one does") {
  gap_tracker Tracker;
  Tracker.CountedFrom = at(1000);
  recordFailedWrite(Tracker, at(0));
  recordAcknowledgedWrite(Tracker, at(800), at(900));
  CHECK(longestGap(Tracker, at(2000)) == duration::zero());
  recordFailedWrite(Tracker, at(1500));
  CHECK(longestGap(Tracker, at(2000)) == fromMilliseconds(500));
}

TEST_CASE("bench: SQLSTATEs of failed writes map to distinct outcomes") {
  CHECK(outcomeOfSqlState("57P03") == write_outcome::NotExecuted);
  CHECK(outcomeOfSqlState("53300") == write_outcome::NotExecuted);
  CHECK(outcomeOfSqlState("08007") == write_outcome::Unknown);
  CHECK(outcomeOfSqlState("57P01") == write_outcome::Unknown);
  CHECK(outcomeOfSqlState("25006") == write_outcome::Failed);
}

TEST_CASE("bench: stored bookings are checked against each outcome") {
  auto Acknowledged = ledgerOf(write_outcome::Acknowledged);
  CHECK(checkLedger(Acknowledged, {"s-1"}, 0).empty());
  CHECK(checkLedger(Acknowledged, {}, 0) ==
        violations{{violation::LostWrite, 1}});
  CHECK(checkLedger(Acknowledged, {"s-1", "s-1"}, 0) ==
        violations{{violation::DuplicateWrite, 1}});
  CHECK(checkLedger(Acknowledged, {"s-1", "t-1"}, 0) ==
        violations{{violation::UnexpectedRow, 1}});
  auto NotExecuted = ledgerOf(write_outcome::NotExecuted);
  CHECK(checkLedger(NotExecuted, {}, 0).empty());
  CHECK(checkLedger(NotExecuted, {"s-1"}, 0) ==
        violations{{violation::RejectedWriteStored, 1}});
  auto Unknown = ledgerOf(write_outcome::Unknown);
  CHECK(checkLedger(Unknown, {}, 0).empty());
  CHECK(checkLedger(Unknown, {"s-1"}, 0).empty());
}

TEST_CASE("bench: a counter lies between acknowledged and unknown charges") {
  session_ledger Ledger;
  planned_statement Charge;
  Charge.Operation = operation::Charge;
  recordWrite(Ledger, Charge, write_outcome::Acknowledged);
  recordWrite(Ledger, Charge, write_outcome::Acknowledged);
  recordWrite(Ledger, Charge, write_outcome::Unknown);
  recordWrite(Ledger, Charge, write_outcome::NotExecuted);
  CHECK(checkLedger(Ledger, {}, 2).empty());
  CHECK(checkLedger(Ledger, {}, 3).empty());
  CHECK(checkLedger(Ledger, {}, 1) == violations{{violation::LostWrite, 1}});
  CHECK(checkLedger(Ledger, {}, 5) ==
        violations{{violation::DuplicateWrite, 2}});
}

TEST_CASE(
    "bench: a read must return the session's own booking and nothing else") {
  planned_statement Read;
  Read.Id = "s-1";
  CHECK(checkRead(Read, {{"s-1"}}) == violation::None);
  CHECK(checkRead(Read, {}) == violation::StaleRead);
  CHECK(checkRead(Read, {{"t-1"}}) == violation::UnexpectedRow);
  CHECK(checkRead(Read, {{"s-1"}, {"s-1"}}) == violation::DuplicateWrite);
  CHECK(checkRead(planned_statement(), {}) == violation::None);
}

TEST_CASE("bench: no booking is planned twice") {
  session_ledger Ledger;
  Ledger.Name = "s";
  workload_mix Mix;
  Mix.WriteShare = 0.5;
  std::mt19937 Random(7);
  std::set<std::string> Ids;
  std::size_t Bookings = 0;
  for (int Left = 2000; Left > 0; --Left) {
    auto Statement = planStatement(Ledger, Mix, Random);
    if (Statement.Operation != operation::Book)
      continue;
    ++Bookings;
    Ids.insert(Statement.Id);
    recordWrite(Ledger, Statement, write_outcome::Acknowledged);
  }
  CHECK(Ids.size() == Bookings);
  CHECK(Bookings > 500);
}

TEST_CASE(
    "bench: reads are summed by the role of the upstream that served them") {
  auto Counts =
      sumReads("# TYPE teasellock_reads_total counter\n"
               "teasellock_reads_total{by=\"replica\",group=\"g\"} 3\n"
               "teasellock_reads_total{by=\"replica\",group=\"h\"} 4\n"
               "teasellock_reads_total{by=\"primary\",group=\"g\"} 5\n"
               "teasellock_other_total{by=\"replica\"} 9\n");
  CHECK(Counts.Replica == 7);
  CHECK(Counts.Primary == 5);
}
