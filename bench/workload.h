#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace teasellock::bench {

/// What share of statements is of which class.
struct workload_mix {
  double WriteShare = 0.2;
  /// Share of writes that add one to a counter instead of booking.
  double ChargeShare = 0.2;
  /// Read kinds with their weights.
  std::vector<std::pair<std::string, double>> ReadKinds = {{"stock", 1.0}};
};

/// What a statement does.
enum class operation { Book, Charge, Read };

/// One statement of a session with what its answer is checked against.
struct planned_statement {
  operation Operation = operation::Read;
  /// Class under which it is reported: "booking", "charge" or "read_KIND".
  std::string Class;
  std::string Sql;
  /// The booking written or read.
  std::string Id;
};

/// What became of a write.
enum class write_outcome { Acknowledged, NotRun, Failed, Unknown };

/// The writes of one session and their outcomes. A session never repeats a
/// write.
struct session_ledger {
  std::string Name; // prefix of all its ids
  std::uint64_t Planned = 0;
  std::map<std::string, write_outcome> Bookings;
  std::vector<std::string> Acknowledged;
  std::uint64_t ChargesAcknowledged = 0;
  std::uint64_t ChargesUnknown = 0;
};

/// A broken promise, counted by its name.
enum class violation {
  None,
  StaleRead,     // an own acknowledged booking was not seen
  ForeignAnswer, // rows that were not asked for
  DoubledWrite,  // a write that ran more than once
  LostWrite,     // an acknowledged write is missing
  NotRunRan      // a write called "not run" is there
};

/// The name of a violation in reports.
std::string violationName(violation Violation);

/// Chooses the next statement of a session.
planned_statement planStatement(session_ledger &Ledger, const workload_mix &Mix,
                                std::mt19937 &Random);

/// The statement that makes the counter of a session.
std::string counterSql(const session_ledger &Ledger);

/// What the SQLSTATE of a refused write says about it.
write_outcome outcomeOfRefusal(const std::string &SqlState);

/// Notes the outcome of a write.
void noteWrite(session_ledger &Ledger, const planned_statement &Statement,
               write_outcome Outcome);

/// Checks the rows of a read of an acknowledged booking.
violation checkRead(const planned_statement &Statement,
                    const std::vector<std::vector<std::string>> &Rows);

/// What the database holds of a session in the end, compared with its ledger.
std::map<violation, std::uint64_t>
checkLedger(const session_ledger &Ledger,
            const std::vector<std::string> &StoredIds, std::int64_t Counter);

} // namespace teasellock::bench
