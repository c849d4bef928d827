/// The SQL that gateways send to upstreams, and what its answers mean. All
/// knowledge of the upstreams' SQL is in this file.
#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/position.h"

#include <optional>
#include <string>
#include <vector>

namespace teasellock {

/// The rows of one SQL result, as text. NULL is an empty text.
struct text_table {
  std::vector<std::vector<std::string>> Rows;
};

/// How far one replica has flushed its primary's log.
struct replica_flush {
  upstream_id Replica;
  std::uint64_t Offset = 0;

  bool operator==(const replica_flush &) const = default;
};

/// What an upstream says of itself when it is probed.
struct upstream_status {
  bool Replica = false;
  /// Flushed by a primary, replayed by a replica.
  position Position;
  /// Replicas that stream from it.
  std::vector<replica_flush> Replicas;
};

/// The SQLSTATE of a duplicate key.
constexpr const char *UniqueViolation = "23505";
/// The SQLSTATE of a write to a replica.
constexpr const char *ReadOnlyTransaction = "25006";
/// The SQLSTATE of a promotion of a server that is no replica.
constexpr const char *NotInPrerequisiteState = "55000";

/// What an idempotency key's row records.
enum class key_outcome { Ran, Tombstone };

/// PostgreSQL's statements.
namespace dialect {

/// One simple query of four statements; parse its results with parseProbe.
const std::string &probe();

/// Nothing when the term changed while the probe ran. Throws error with step
/// "upstream.probe" when the answer is not understood.
std::optional<upstream_status>
parseProbe(const std::vector<text_table> &Results, const std::string &Peer);

/// Ends a replica's recovery and waits for that.
std::string promote();

/// Writes the first record of a term.
std::string writeTerm(term Term);

/// Points a replica, or a deposed primary, at a primary. To be sent as
/// separate queries.
std::vector<std::string> follow(const endpoint &Primary,
                                const upstream_id &Self);

/// The name under which a gateway's connections are listed.
std::string applicationName(const vm_id &Vm, incarnation Incarnation);

/// Ends all back-ends of a VM except those of one incarnation.
std::string endLeftovers(const vm_id &Vm, incarnation Kept);

/// The state of a back-end; no row when it is gone.
std::string backEndState(int Pid);

/// What backEndState answers while a statement runs.
constexpr const char *ActiveState = "active";

/// Asks a back-end to give up its current statement.
std::string cancelBackEnd(int Pid);

std::string recordKey(const std::string &Key, key_outcome Outcome);
std::string outcomeOfKey(const std::string &Key);
/// Throws error with step "upstream.key" on an outcome that is not known.
key_outcome parseKeyOutcome(const std::string &Text, const std::string &Peer);

/// Resets all session state.
std::string reset();

std::string set(const std::string &Name, const std::string &Value);

std::string quoteLiteral(const std::string &Text);

} // namespace dialect

} // namespace teasellock
