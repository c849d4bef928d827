/// The state machine that serves one caller's connection on an entry: protocol
/// phase, prepared statements, portals, session and transaction. Its inputs are
/// the caller's bytes and the router's replies, its outputs (caller_effects)
/// are bytes for the caller and requests for the router. It uses no sockets,
/// clocks or random sources, so tests can drive it directly; caller_listener
/// does the I/O.
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

/// What all connections of an entry share.
struct caller_environment {
  /// The key that signs session tokens.
  std::string TokenSecret;
  /// The timeout of one statement unless the caller sets statement_timeout.
  duration StatementTimeout = fromMilliseconds(30000);
  /// Reports whether a group of that name is served.
  std::function<bool(const group_id &)> IsGroupServed;
  /// Classified statement texts.
  statement_cache Statements{4096};
};

/// Identifies a connection in a CancelRequest. Sent to the caller as
/// BackendKeyData.
struct cancel_key {
  std::int32_t ProcessId = 0;
  std::int32_t Secret = 0;

  auto operator<=>(const cancel_key &) const = default;
};

/// A statement that the caller prepared with Parse.
struct prepared_statement {
  std::string Text;
  /// OIDs of the parameters' types, 0 where the caller left one unspecified.
  std::vector<std::int32_t> ParameterTypes;
  std::shared_ptr<const query_info> Info;
  statement_hints Hints;
};

/// A portal: a prepared statement with the parameters and result formats of a
/// Bind.
struct caller_portal {
  std::shared_ptr<const prepared_statement> Statement;
  std::vector<wire::parameter> Parameters;
  std::vector<std::int16_t> ResultFormats;
};

/// One element of a batch. Items are processed in order.
struct batch_item {
  enum class kind {
    /// Contains only messages to send (MessagesBefore).
    MessagesOnly,
    /// Executes a statement: a step of a request to a gateway, unless the entry
    /// executes it itself.
    Statement,
    /// Checks a parsed statement by describing it; only an error of this step
    /// is forwarded to the caller.
    Validate,
    /// Describes a prepared statement.
    Describe,
    /// Describes a portal: sent as a statement's description, of which the
    /// parameters are not forwarded.
    DescribePortal,
    /// A SET executed as set_config(); the entry answers the caller.
    ChangeSetting,
    /// An error that the entry detected.
    Error,
  };
  kind Kind = kind::MessagesOnly;
  /// Messages to send before this item's result, such as ParseComplete.
  std::string MessagesBefore;
  /// The step to send to the gateway.
  wire::statement_step Step;
  std::shared_ptr<const query_info> Info;
  statement_hints Hints;
  /// Statement, ChangeSetting: the index into Info's statements, when the item
  /// stands for one of several.
  std::optional<std::size_t> StatementIndex;
  /// Validate: the prepared statement's name. DescribePortal: the portal's
  /// name.
  std::string Name;
  /// Format codes of the result's columns. DescribePortal: those of the portal.
  /// Statement: set only if they differ by column, so that the entry has to
  /// convert the rows.
  std::vector<std::int16_t> ResultFormats;
  /// Statement with ResultFormats: the caller requested the RowDescription. The
  /// entry itself always requests it, for the conversion.
  bool RowDescriptionRequested = true;
  /// Statement: the maximum number of rows to send (0: all), and the name of
  /// the portal that keeps the rest.
  std::int32_t MaxRows = 0;
  std::string Portal;
  /// Error: the SQLSTATE and the message.
  std::string Code;
  std::string Problem;
};

/// The extended-query messages up to a Sync, or one simple query.
struct caller_batch {
  std::deque<batch_item> Items;
  /// Sync or a simple query was received, so the batch ends with ReadyForQuery.
  bool Complete = false;
  /// An error was sent; the rest of the batch is skipped.
  bool Failed = false;
  /// Bytes of the messages that wait for Sync.
  std::size_t WaitingBytes = 0;
};

/// A request submitted to the router, and the progress of its reply.
struct statement_key {
  std::vector<batch_item> Items;
  /// The index into Items of the step whose result is being received.
  std::size_t StepIndex = 0;
  /// The current step's MessagesBefore have been sent.
  bool StepStarted = false;
  /// The number of rows received for the current step, and those beyond its
  /// row limit, as messages.
  std::int32_t RowCount = 0;
  std::string HeldRows;
  /// Rows beyond the size limit of HeldRows were discarded.
  bool HeldRowsTruncated = false;
  /// Set while rows are converted to the formats that the caller requested.
  std::optional<pg::row_converter> RowConverter;
  bool IsWrite = false;
  bool InTransaction = false;
  bool OpensTransaction = false;
  bool MayCommit = false;
};

/// The rest of a portal whose rows the caller fetches in several Execute
/// messages.
struct suspended_portal {
  /// The remaining DataRow messages and the CommandComplete.
  std::string Messages;
  /// Rows beyond the size limit were discarded; fetching on fails with 54000.
  bool Truncated = false;
};

/// Settings that the entry applies itself and does not send to upstreams.
struct entry_settings {
  std::string ApplicationName;
  /// The read kind (consistency class) of requests without a hint.
  std::string ReadKind;
  /// Unset: the entry's default.
  std::optional<duration> StatementTimeout;

  bool operator==(const entry_settings &) const = default;
};

/// The state of one caller's connection.
struct caller_state {
  enum class phase {
    /// No StartupMessage was accepted yet.
    Startup,
    /// Messages are accepted.
    Ready,
    /// A request is in flight; no message is processed until its reply.
    Busy,
    /// Nothing is processed any more.
    Closed
  };
  phase Phase = phase::Startup;
  cancel_key CancelKey;
  session_state Session;
  std::string User;
  /// Settings that differ from the upstreams' defaults; sent with each request.
  std::map<std::string, std::string> Settings;
  entry_settings EntrySettings;
  /// Settings as they were when the transaction began.
  std::optional<std::map<std::string, std::string>> SettingsAtBegin;
  std::map<std::string, std::shared_ptr<const prepared_statement>>
      PreparedStatements;
  std::map<std::string, std::shared_ptr<const caller_portal>> Portals;
  std::map<std::string, suspended_portal> SuspendedPortals;
  caller_batch Batch;
  std::unique_ptr<statement_key> Request;
  /// The transaction status in ReadyForQuery: 'I' (idle), 'T' (in a
  /// transaction) or 'E' (in a failed transaction).
  char TransactionStatus = 'I';
  /// The open transaction; 0 outside of one.
  transaction_id Transaction;
  bool ReadOnlyTransaction = false;
  /// The transaction was rolled back without the caller's request, and the
  /// caller has not ended it yet. Only COMMIT or ROLLBACK are accepted.
  bool TransactionLost = false;
  /// The command tag of the latest CommandComplete.
  std::string LastCommandTag;
  /// The number that the next transaction will use.
  transaction_id NextTransaction;
  /// The session whose token was last reported to the caller.
  std::optional<session_state> ReportedSession;
  /// The connection is closed as soon as it is idle.
  bool Draining = false;
};

/// A request to submit to the router.
struct submission {
  wire::statement_request Request;
  /// The caller's W3C trace parent; empty without one.
  std::string TraceParent;
  /// The class in metrics and traces.
  statement_class Class = statement_class::Write;
};

/// Actions that the owner of a caller_state performs after each call, in this
/// order.
struct caller_effects {
  /// Bytes to send to the caller.
  std::string Out;
  std::optional<submission> Submit;
  /// Cancel the request in flight at the router.
  bool CancelRequest = false;
  /// Transactions to release at the router.
  std::vector<transaction_id> ReleaseTransactions;
  /// Cancel the request of the connection with this key.
  std::optional<cancel_key> CancelOther;
  /// Close the connection once Out is written.
  bool Close = false;
};

/// Processes the complete messages at the front of the caller's byte stream.
/// Returns the number of bytes consumed; the rest is to be passed again when
/// more bytes arrive or when the phase is no longer Busy. Invalid bytes are
/// answered with a FATAL error; nothing is thrown.
std::size_t consumeBytes(caller_state &State, caller_environment &Environment,
                         std::string_view Bytes, caller_effects &Effects);

/// Handles a reply of the router to the request in flight. A request may have
/// several replies; the last one has `last` set.
void handleReply(caller_state &State, caller_environment &Environment,
                 const wire::statement_reply &Reply, caller_effects &Effects);

/// Cancels the request in flight, after a CancelRequest on another connection.
/// Sent: whether a gateway may be executing the request. If it is a write, its
/// outcome is then reported as unknown (08007).
void cancelRequest(caller_state &State, caller_environment &Environment,
                   bool Sent, caller_effects &Effects);

/// Ends the connection's state: cancels the request in flight and releases the
/// open transaction.
void terminateCaller(caller_state &State, caller_effects &Effects);

/// Closes the connection with 57P01 as soon as it is idle and outside of a
/// transaction.
void drainCaller(caller_state &State, caller_effects &Effects);

} // namespace teasellock
