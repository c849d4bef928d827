/// The SQL statements that gateways send to PostgreSQL upstreams and the
/// parsers of their results. SQL that is specific to PostgreSQL belongs in this
/// file.
#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/position.h"

#include <optional>
#include <string>
#include <vector>

namespace teasellock {

/// The rows of one SQL result in text format. NULL becomes an empty string.
struct text_table {
  std::vector<std::vector<std::string>> Rows;
};

/// The offset up to which a replica has flushed its primary's log.
struct replica_flush {
  upstream_id Replica;
  std::uint64_t Offset = 0;

  bool operator==(const replica_flush &) const = default;
};

/// The state of an upstream according to a probe.
struct upstream_status {
  bool Replica = false;
  /// The end of the log that a primary has flushed, or a replica has replayed.
  position Position;
  /// The replicas that replicate from it.
  std::vector<replica_flush> Replicas;
};

/// The SQLSTATE of a violated unique constraint.
constexpr const char *UniqueViolation = "23505";
/// The SQLSTATE of a write on a replica or in a read-only transaction.
constexpr const char *ReadOnlyTransaction = "25006";
/// The SQLSTATE of a promotion of a server that is not a replica.
constexpr const char *NotInPrerequisiteState = "55000";

/// The recorded outcome of an idempotency key: its statement was executed, or
/// must never be executed.
enum class key_outcome { Executed, Tombstone };

/// PostgreSQL's dialect. The functions that return a string or strings build
/// SQL statements.
namespace dialect {

/// Returns one simple query of four statements. Its results are parsed by
/// parseProbe.
const std::string &probe();

/// Parses the results of a probe. Returns nothing if the term changed during
/// the probe. Throws error with step "upstream.probe" if the results are
/// malformed. Peer names the upstream in errors.
std::optional<upstream_status>
parseProbe(const std::vector<text_table> &Results, const std::string &Peer);

/// Ends a replica's recovery and waits up to 5 seconds for its end.
std::string promote();

/// Writes the first record of a term.
std::string writeTerm(term Term);

/// Makes a replica or a deposed primary replicate from a primary. The
/// statements have to be sent as separate queries.
std::vector<std::string> follow(const endpoint &Primary,
                                const upstream_id &Self);

/// Returns the application_name of a gateway's connections.
std::string applicationName(const vm_id &Vm, incarnation Incarnation);

/// Terminates all back-ends of a VM's gateway except those of one incarnation.
std::string terminateBackEnds(const vm_id &Vm, incarnation Kept);

/// Returns the state of a back-end; no row if it does not exist.
std::string backEndState(int Pid);

/// The result of backEndState while a statement is executing.
constexpr const char *ActiveState = "active";

/// Cancels the current statement of a back-end.
std::string cancelBackEnd(int Pid);

/// Inserts the row of an idempotency key.
std::string recordKey(const std::string &Key, key_outcome Outcome);
/// Selects the outcome of an idempotency key; no row if the key was not used.
std::string selectKeyOutcome(const std::string &Key);
/// Parses the outcome of an idempotency key. Throws error with step
/// "upstream.key" if it is unknown.
key_outcome parseKeyOutcome(const std::string &Text, const std::string &Peer);

/// Resets the state of the session.
std::string reset();

/// Sets a session setting.
std::string set(const std::string &Name, const std::string &Value);

/// Returns a text as an SQL string literal.
std::string quoteLiteral(const std::string &Text);

} // namespace dialect

} // namespace teasellock
