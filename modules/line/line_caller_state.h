/// Session logic of the entry for callers that speak the line protocol: which
/// statements the entry answers itself, which it sends to a gateway, and which
/// messages the caller receives. Pure functions: they use no sockets, clocks or
/// random sources. line_listener calls them and carries out their effects.
#pragma once

#include "modules/deployment/deployment.h"
#include "modules/line/line_protocol.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace teasellock {

/// Dependencies that all sessions of an entry share.
struct line_environment {
  const line_protocol *Protocol = nullptr;
  /// Returns the route of a database name, or null when no route has that name.
  std::function<const route *(const database_id &)> FindRoute;
  /// Reports whether a deployment has been received. Before that, an unknown
  /// database name can't be told from one that does not exist.
  std::function<bool()> IsDeploymentKnown;
};

/// A prepared statement of a session.
struct line_prepared_statement {
  std::string Shape;
  bool Writes = false;
};

/// State that the entry keeps for one session.
struct line_caller_state {
  enum class phase { Start, Ready, Busy, Closed };
  phase Phase = phase::Start;
  database_id Database;
  /// As reported to the caller: 'I' (idle), 'T' (in a transaction) or 'E' (in
  /// a failed transaction).
  char TransactionStatus = 'I';
  std::map<std::string, std::string> Settings;
  std::map<std::string, line_prepared_statement> Prepared;
  /// The highest position that the session's own writes have reached. Later
  /// reads must see it. Empty before the first write.
  std::optional<position> Floor;
  /// Route of the open transaction. A new deployment does not change it before
  /// the transaction ends.
  std::optional<route> Route;
  bool ReadOnly = false;
  transaction_id Transaction;
  /// Whether the transaction exists at a gateway: set when its first statement
  /// is submitted.
  bool OpenAtGateway = false;
  /// Whether the transaction was rolled back because it was idle for too long.
  /// The caller learns of it with its next statement.
  bool IdleTimedOut = false;
  /// Whether the request in flight is a commit.
  bool Committing = false;
  /// Whether the request in flight opens the transaction at the gateway.
  bool OpeningAtGateway = false;
  /// The caller's id of the statement in flight.
  std::string RequestId;
};

/// Actions for the owner of the connection, to be carried out in this order.
struct line_effects {
  /// Bytes to send to the caller.
  std::string Out;
  /// Transaction to release (roll back) at its gateway.
  std::optional<transaction_id> Release;
  /// Request to submit to a gateway. At most one is in flight for a session.
  std::optional<wire::statement_request> Submit;
  /// Submit begins an operation of this organisation, which its limit counts.
  std::optional<organisation_id> BeginsOperationOf;
  /// Whether to close the connection once Out has been written.
  bool Close = false;
};

/// Handles one message of the caller. Must not be called while a request is in
/// flight (phase Busy). NextTransaction becomes the transaction's id if the
/// message opens a transaction at a gateway.
void handleCallerMessage(line_caller_state &State,
                         const line_environment &Environment,
                         const line_caller_message &Line,
                         transaction_id NextTransaction, line_effects &Effects);

/// Handles the final reply to the request in flight.
void handleReply(line_caller_state &State, const line_environment &Environment,
                 const wire::statement_reply &Reply, line_effects &Effects);

/// Handles the end of the session, by its caller or by a lost connection:
/// releases the open transaction.
void handleDisconnect(line_caller_state &State, line_effects &Effects);

/// Releases the open transaction after it has been idle for too long. Does
/// nothing when no transaction is open or a request is in flight.
void endIdleTransaction(line_caller_state &State, line_effects &Effects);

/// Reports whether the session can be closed without failing a statement or a
/// transaction.
bool isIdle(const line_caller_state &State);

} // namespace teasellock
