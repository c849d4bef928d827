#include "bench/workload.h"

#include <algorithm>
#include <set>

namespace teasellock::bench {

namespace {

constexpr std::size_t RecentBookings = 10;

bool happens(double Share, std::mt19937 &Random) {
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
  case violation::ForeignAnswer:
    return "foreign_answer";
  case violation::DoubledWrite:
    return "doubled_write";
  case violation::LostWrite:
    return "lost_write";
  case violation::NotRunRan:
    return "not_run_ran";
  case violation::None:
    break;
  }
  return "none";
}

planned_statement planStatement(session_ledger &Ledger, const workload_mix &Mix,
                                std::mt19937 &Random) {
  if (!happens(Mix.WriteShare, Random))
    return planRead(Ledger, Mix, Random);
  if (happens(Mix.ChargeShare, Random))
    return planCharge(Ledger);
  return planBooking(Ledger);
}

std::string counterSql(const session_ledger &Ledger) {
  return "INSERT INTO stock (item, amount) VALUES ('" + Ledger.Name +
         "', 0) ON CONFLICT DO NOTHING";
}

write_outcome outcomeOfRefusal(const std::string &SqlState) {
  if (SqlState == "57P03" || SqlState == "53300")
    return write_outcome::NotRun;
  // Class 08 and shutdowns leave open whether the write ran.
  if (SqlState.starts_with("08") || SqlState.starts_with("57P") ||
      SqlState.empty())
    return write_outcome::Unknown;
  return write_outcome::Failed;
}

void noteWrite(session_ledger &Ledger, const planned_statement &Statement,
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
      return violation::ForeignAnswer;
  if (Statement.Id.empty())
    return violation::None;
  if (Rows.size() > 1)
    return violation::DoubledWrite;
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
      ++Violations[violation::DoubledWrite];
    if (Outcome == write_outcome::Acknowledged && Copies == 0)
      ++Violations[violation::LostWrite];
    bool MustNotBe =
        Outcome == write_outcome::NotRun || Outcome == write_outcome::Failed;
    if (MustNotBe && Copies > 0)
      ++Violations[violation::NotRunRan];
  }
  for (const std::string &Id : Stored)
    if (!Ledger.Bookings.contains(Id))
      ++Violations[violation::ForeignAnswer];
  auto Least = static_cast<std::int64_t>(Ledger.ChargesAcknowledged);
  auto Most = Least + static_cast<std::int64_t>(Ledger.ChargesUnknown);
  if (Counter < Least)
    Violations[violation::LostWrite] +=
        static_cast<std::uint64_t>(Least - Counter);
  if (Counter > Most)
    Violations[violation::DoubledWrite] +=
        static_cast<std::uint64_t>(Counter - Most);
  return Violations;
}

} // namespace teasellock::bench
