#include "bench/workload.h"

#include <algorithm>
#include <set>

namespace teasellock::bench {

namespace {

constexpr std::size_t RecentBookings = 10;

bool randomChance(double Share, std::mt19937 &Random) {
  return std::uniform_real_distribution<double>(0, 1)(Random) < Share;
}

planned_statement planBooking(session_ledger &Ledger) {
  planned_statement Statement;
  Statement.Operation = operation::Book;
  Statement.Class = "booking";
  Statement.Id = Ledger.Name + "-" + std::to_string(++Ledger.Planned);
  Statement.Sql = "INSERT INTO bookings (id, rider, place, caller, created) "
                  "VALUES ('" +
                  Statement.Id + "', 'rider', 'corner', '" + Ledger.Name +
                  "', " + std::to_string(Ledger.Planned) + ")";
  return Statement;
}

planned_statement planCharge(const session_ledger &Ledger) {
  planned_statement Statement;
  Statement.Operation = operation::Charge;
  Statement.Class = "charge";
  Statement.Sql =
      "UPDATE stock SET amount = amount + 1 WHERE item = '" + Ledger.Name + "'";
  return Statement;
}

std::string chooseKind(const workload_mix &Mix, std::mt19937 &Random) {
  std::vector<double> Weights;
  for (const auto &[Kind, Weight] : Mix.ReadKinds)
    Weights.push_back(Weight);
  std::discrete_distribution<std::size_t> Choice(Weights.begin(),
                                                 Weights.end());
  return Mix.ReadKinds[Choice(Random)].first;
}

planned_statement planRead(const session_ledger &Ledger,
                           const workload_mix &Mix, std::mt19937 &Random) {
  planned_statement Statement;
  std::string Kind = chooseKind(Mix, Random);
  Statement.Class = "read_" + Kind;
  if (!Ledger.Acknowledged.empty()) {
    std::size_t Recent = std::min(RecentBookings, Ledger.Acknowledged.size());
    std::size_t Back =
        std::uniform_int_distribution<std::size_t>(1, Recent)(Random);
    Statement.Id = Ledger.Acknowledged[Ledger.Acknowledged.size() - Back];
  }
  Statement.Sql = "/*read_kind='" + Kind +
                  "'*/ SELECT id FROM bookings WHERE id = '" + Statement.Id +
                  "'";
  return Statement;
}

} // namespace

std::string violationName(violation Violation) {
  switch (Violation) {
  case violation::StaleRead:
    return "stale_read";
  case violation::UnexpectedRow:
    return "foreign_answer";
  case violation::DuplicateWrite:
    return "doubled_write";
  case violation::LostWrite:
    return "lost_write";
  case violation::RejectedWriteStored:
    return "not_run_ran";
  case violation::None:
    break;
  }
  return "none";
}

planned_statement planStatement(session_ledger &Ledger, const workload_mix &Mix,
                                std::mt19937 &Random) {
  if (!randomChance(Mix.WriteShare, Random))
    return planRead(Ledger, Mix, Random);
  if (randomChance(Mix.ChargeShare, Random))
    return planCharge(Ledger);
  return planBooking(Ledger);
}

std::string counterSql(const session_ledger &Ledger) {
  return "INSERT INTO stock (item, amount) VALUES ('" + Ledger.Name +
         "', 0) ON CONFLICT DO NOTHING";
}

write_outcome outcomeOfSqlState(const std::string &SqlState) {
  if (SqlState == "57P03" || SqlState == "53300")
    return write_outcome::NotExecuted;
  // After class 08 and shutdowns it is unknown whether the write was executed.
  if (SqlState.starts_with("08") || SqlState.starts_with("57P") ||
      SqlState.empty())
    return write_outcome::Unknown;
  return write_outcome::Failed;
}

void recordWrite(session_ledger &Ledger, const planned_statement &Statement,
                 write_outcome Outcome) {
  if (Statement.Operation == operation::Charge) {
    Ledger.ChargesAcknowledged += Outcome == write_outcome::Acknowledged;
    Ledger.ChargesUnknown += Outcome == write_outcome::Unknown;
    return;
  }
  Ledger.Bookings[Statement.Id] = Outcome;
  if (Outcome == write_outcome::Acknowledged)
    Ledger.Acknowledged.push_back(Statement.Id);
}

violation checkRead(const planned_statement &Statement,
                    const std::vector<std::vector<std::string>> &Rows) {
  for (const auto &Row : Rows)
    if (Row.size() != 1 || Row.front() != Statement.Id)
      return violation::UnexpectedRow;
  if (Statement.Id.empty())
    return violation::None;
  if (Rows.size() > 1)
    return violation::DuplicateWrite;
  return Rows.empty() ? violation::StaleRead : violation::None;
}

std::map<violation, std::uint64_t>
checkLedger(const session_ledger &Ledger,
            const std::vector<std::string> &StoredIds, std::int64_t Counter) {
  std::map<violation, std::uint64_t> Violations;
  std::multiset<std::string> Stored(StoredIds.begin(), StoredIds.end());
  for (const auto &[Id, Outcome] : Ledger.Bookings) {
    std::size_t Copies = Stored.count(Id);
    if (Copies > 1)
      ++Violations[violation::DuplicateWrite];
    if (Outcome == write_outcome::Acknowledged && Copies == 0)
      ++Violations[violation::LostWrite];
    bool MustNotBeStored = Outcome == write_outcome::NotExecuted ||
                           Outcome == write_outcome::Failed;
    if (MustNotBeStored && Copies > 0)
      ++Violations[violation::RejectedWriteStored];
  }
  for (const std::string &Id : Stored)
    if (!Ledger.Bookings.contains(Id))
      ++Violations[violation::UnexpectedRow];
  auto MinCounter = static_cast<std::int64_t>(Ledger.ChargesAcknowledged);
  auto MaxCounter =
      MinCounter + static_cast<std::int64_t>(Ledger.ChargesUnknown);
  if (Counter < MinCounter)
    Violations[violation::LostWrite] +=
        static_cast<std::uint64_t>(MinCounter - Counter);
  if (Counter > MaxCounter)
    Violations[violation::DuplicateWrite] +=
        static_cast<std::uint64_t>(Counter - MaxCounter);
  return Violations;
}

} // namespace teasellock::bench
