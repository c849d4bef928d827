/// Decisions of the entry about one session of the line protocol: what is
/// answered here, what goes to a gateway, and what the caller is told. No
/// sockets, clocks or random sources.
#pragma once

#include "modules/deployment/deployment.h"
#include "modules/line/line_protocol.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace teasellock {

/// What all sessions of an entry share.
struct line_environment {
  const line_protocol *Protocol = nullptr;
  /// The route of a database name. Null: none has that name.
  std::function<const route *(const database_id &)> FindRoute;
  /// Whether any deployment is known; without one no name can be judged.
  std::function<bool()> DeploymentKnown;
};

/// A statement that the caller prepared.
struct line_prepared {
  std::string Shape;
  bool Writes = false;
};

/// Everything the entry keeps of one session.
struct line_caller_state {
  enum class phase { Start, Ready, Busy, Closed };
  phase Phase = phase::Start;
  database_id Database;
  /// 'I', 'T' or 'E' as callers are told.
  char State = 'I';
  std::map<std::string, std::string> Settings;
  std::map<std::string, line_prepared> Prepared;
  /// The session's own writes are at or below it.
  std::optional<position> Floor;
  /// Of the open transaction. The route holds until its end.
  std::optional<route> Route;
  bool ReadOnly = false;
  transaction_id Transaction;
  /// A gateway holds the transaction.
  bool Opened = false;
  /// It was ended for having been idle.
  bool TimedOut = false;
  /// The statement at the gateway commits.
  bool Committing = false;
  /// A gateway is asked; it opens the transaction.
  bool Opening = false;
  std::string RunningId;
};

/// What the task has to do, in this order.
struct line_effects {
  /// Bytes for the caller.
  std::string Out;
  /// A transaction to be given up at its gateway.
  std::optional<transaction_id> Release;
  std::optional<wire::statement_request> Submit;
  /// Close once Out is written.
  bool Close = false;
};

/// Takes one message. NextTransaction is used if it opens a transaction.
void takeLine(line_caller_state &State, const line_environment &Environment,
              const caller_line &Line, transaction_id NextTransaction,
              line_effects &Effects);

/// Takes the last reply to the request in flight.
void takeReply(line_caller_state &State, const line_environment &Environment,
               const wire::statement_reply &Reply, line_effects &Effects);

/// The caller's connection is gone.
void abandon(line_caller_state &State, line_effects &Effects);

/// The open transaction has been idle for too long.
void endIdleTransaction(line_caller_state &State, line_effects &Effects);

/// Whether the session may be closed without failing anything.
bool isIdle(const line_caller_state &State);

} // namespace teasellock
