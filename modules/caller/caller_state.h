/// Decisions of the entry about one caller: its protocol state, prepared
/// statements, session and transaction. Bytes and replies in, bytes and
/// requests out; no sockets, clocks or random sources.
#pragma once

#include "core/time.h"
#include "modules/caller/row_format.h"
#include "modules/caller/session_state.h"
#include "modules/caller/statement_class.h"
#include "modules/gateway/gen/gateway_messages_types.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace teasellock {

/// What all callers of an entry share.
struct caller_environment {
  std::string TokenSecret;
  duration StatementTimeout = fromMilliseconds(30000);
  /// Whether a group of that name is served.
  std::function<bool(const group_id &)> GroupKnown;
  statement_cache Statements{4096};
};

/// What a CancelRequest names a caller by.
struct cancel_key {
  std::int32_t Process = 0;
  std::int32_t Secret = 0;

  auto operator<=>(const cancel_key &) const = default;
};

/// A statement that the caller prepared.
struct prepared_statement {
  std::string Text;
  std::vector<std::int32_t> ParameterTypes;
  std::shared_ptr<const text_info> Info;
  statement_hints Hints;
};

/// A prepared statement bound to parameters.
struct caller_portal {
  std::shared_ptr<const prepared_statement> Statement;
  std::vector<wire::parameter> Parameters;
  std::vector<std::int16_t> ResultFormats;
};

/// One part of a batch, handled in order.
struct batch_item {
  enum class kind {
    /// Only Before.
    Bytes,
    /// A statement: a step for the gateway, unless the entry answers it itself.
    Statement,
    /// A step of which only errors are passed on.
    Validate,
    /// Describes a statement.
    Describe,
    /// Describes a portal: as a statement, without its parameters.
    DescribePortal,
    /// A SET run as set_config(); its answer is the entry's.
    ChangeSetting,
    /// An error found by the entry.
    Error,
  };
  kind Kind = kind::Bytes;
  /// Messages due before this item's answer.
  std::string Before;
  wire::statement_step Step;
  std::shared_ptr<const text_info> Info;
  statement_hints Hints;
  /// Statement, ChangeSetting: which of Info's statements, when one of several.
  std::optional<std::size_t> Index;
  /// Validate: the statement's name. DescribePortal: the portal's.
  std::string Name;
  /// DescribePortal: its formats. Statement: formats that differ by column.
  std::vector<std::int16_t> ResultFormats;
  /// Statement with ResultFormats: the caller asked for the description.
  bool TellsRows = true;
  /// Statement: rows to pass on at most, 0 for all, and the portal that keeps
  /// the rest.
  std::int32_t MostRows = 0;
  std::string Portal;
  /// Error.
  std::string Code;
  std::string Problem;
};

/// The messages of a batch up to its Sync, or one simple query.
struct caller_batch {
  std::deque<batch_item> Items;
  /// Sync or the end of a simple query came: ReadyForQuery is due.
  bool Complete = false;
  /// An error was sent: the rest is skipped.
  bool Failed = false;
  /// Bytes of messages that wait for Sync.
  std::size_t Bytes = 0;
};

/// A request at the router and how far its answer has come.
struct caller_request {
  std::vector<batch_item> Items;
  std::size_t Step = 0;
  /// The current step's Before has been sent.
  bool Started = false;
  /// Rows of the current step that were passed on, and those held back.
  std::int32_t Rows = 0;
  std::string HeldRows;
  bool TooManyHeld = false;
  std::optional<pg::row_converter> Converter;
  bool Write = false;
  bool InTransaction = false;
  bool OpensTransaction = false;
  bool MayCommit = false;
};

/// What is left of a portal whose rows the caller fetches in parts.
struct suspended_portal {
  /// DataRows and the CommandComplete.
  std::string Messages;
  /// There was more than the entry keeps.
  bool TooMany = false;
};

/// Settings that change how the entry itself serves the caller.
struct local_settings {
  std::string ApplicationName;
  std::string ReadKind;
  /// Nothing: the entry's default.
  std::optional<duration> StatementTimeout;

  bool operator==(const local_settings &) const = default;
};

/// Everything the entry keeps of one caller.
struct caller_state {
  enum class phase { Startup, Ready, Busy, Closed };
  phase Phase = phase::Startup;
  cancel_key Key;
  session_state Session;
  std::string User;
  /// Settings sent with each request.
  std::map<std::string, std::string> Settings;
  local_settings Local;
  /// Settings as they were when the transaction began.
  std::optional<std::map<std::string, std::string>> SettingsAtBegin;
  std::map<std::string, std::shared_ptr<const prepared_statement>> Prepared;
  std::map<std::string, std::shared_ptr<const caller_portal>> Portals;
  std::map<std::string, suspended_portal> Suspended;
  caller_batch Batch;
  std::unique_ptr<caller_request> Request;
  /// 'I', 'T' or 'E', as ReadyForQuery says.
  char Status = 'I';
  transaction_id Transaction;
  bool ReadOnlyTransaction = false;
  /// The transaction was rolled back elsewhere; the caller has not ended it.
  bool TransactionLost = false;
  /// The tag of the latest CommandComplete.
  std::string LastTag;
  /// The number that the next transaction gets.
  transaction_id SpareTransaction;
  /// The session whose token was last told to the caller.
  std::optional<session_state> ToldSession;
  bool Draining = false;
};

/// A request for the router.
struct submission {
  wire::statement_request Request;
  std::string TraceParent;
  statement_class Class = statement_class::Write;
};

/// What the task has to do, in this order.
struct caller_effects {
  /// Bytes for the caller.
  std::string Out;
  std::optional<submission> Submit;
  /// Forget the request at the router.
  bool CancelRequest = false;
  std::vector<transaction_id> Release;
  std::optional<cancel_key> CancelOther;
  /// Close once Out is written.
  bool Close = false;
};

/// Takes bytes of the caller's stream. Returns how many were used; the rest is
/// offered again when more arrives or the caller is no longer Busy.
std::size_t takeBytes(caller_state &State, caller_environment &Environment,
                      std::string_view Bytes, caller_effects &Effects);

/// Takes a reply of the router to the request in flight.
void takeReply(caller_state &State, caller_environment &Environment,
               const wire::statement_reply &Reply, caller_effects &Effects);

/// Another connection of the caller asked to cancel the request in flight.
/// Sent: a gateway may be working on it.
void cancelRequest(caller_state &State, caller_environment &Environment,
                   bool Sent, caller_effects &Effects);

/// The caller's connection is gone.
void abandon(caller_state &State, caller_effects &Effects);

/// Ends the caller as soon as it is idle outside a transaction.
void drainCaller(caller_state &State, caller_effects &Effects);

} // namespace teasellock
