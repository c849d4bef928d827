#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace teasellock::bench {

/// The shares of the statement classes, each 0 to 1.
struct workload_mix {
  double WriteShare = 0.2;
  /// Share of writes that increment a counter instead of inserting a booking.
  double ChargeShare = 0.2;
  /// Read kinds with their weights.
  std::vector<std::pair<std::string, double>> ReadKinds = {{"stock", 1.0}};
};

/// The kind of a statement.
enum class operation { Book, Charge, Read };

/// One statement of a session, with the data its result is checked against.
struct planned_statement {
  operation Operation = operation::Read;
  /// Class under which it is reported: "booking", "charge" or "read_KIND".
  std::string Class;
  std::string Sql;
  /// The booking written or read.
  std::string Id;
};

/// The outcome of a write.
enum class write_outcome { Acknowledged, NotExecuted, Failed, Unknown };

/// The writes of one session and their outcomes. A session never retries a
/// write.
struct session_ledger {
  std::string Name; // prefix of all ids
  std::uint64_t Planned = 0;
  std::map<std::string, write_outcome> Bookings;
  std::vector<std::string> Acknowledged;
  std::uint64_t ChargesAcknowledged = 0;
  std::uint64_t ChargesUnknown = 0;
};

/// A violated guarantee, counted under its name.
enum class violation {
  None,
  StaleRead,          // a read missed the session's acknowledged booking
  UnexpectedRow,      // rows that the read did not request
  DuplicateWrite,     // a write that was executed more than once
  LostWrite,          // an acknowledged write is missing
  RejectedWriteStored // a write with the outcome NotExecuted or Failed is
                      // stored
};

/// Returns the name of a violation in reports.
std::string violationName(violation Violation);

/// Selects the next statement of a session at random and records its id.
planned_statement planStatement(session_ledger &Ledger, const workload_mix &Mix,
                                std::mt19937 &Random);

/// Returns the statement that creates the counter of a session.
std::string counterSql(const session_ledger &Ledger);

/// Returns the outcome of a write that failed with an SQLSTATE.
write_outcome outcomeOfSqlState(const std::string &SqlState);

/// Records the outcome of a write.
void recordWrite(session_ledger &Ledger, const planned_statement &Statement,
                 write_outcome Outcome);

/// Checks the rows of a read of an acknowledged booking.
violation checkRead(const planned_statement &Statement,
                    const std::vector<std::vector<std::string>> &Rows);

/// Compares a session's ledger with its stored bookings and counter. Returns
/// the violations found.
std::map<violation, std::uint64_t>
checkLedger(const session_ledger &Ledger,
            const std::vector<std::string> &StoredIds, std::int64_t Counter);

} // namespace teasellock::bench
