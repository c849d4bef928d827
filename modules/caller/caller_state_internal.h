/// Internal header of caller_state's sources: the functions that they share.
/// Each source file handles one stage of a caller's connection: startup
/// (caller_startup.cpp), collecting messages into a batch
/// (caller_messages.cpp), executing the batch (caller_request.cpp) and
/// forwarding the gateway's reply (caller_reply.cpp).
#pragma once

#include "modules/caller/caller_state.h"
#include "modules/caller/wire_format.h"

namespace teasellock {

/// SQLSTATEs of the errors that the entry itself raises.
namespace sql_state {
constexpr const char *AdminShutdown = "57P01";
constexpr const char *FeatureNotSupported = "0A000";
constexpr const char *InFailedTransaction = "25P02";
constexpr const char *InvalidAuthorization = "28000";
constexpr const char *InvalidCatalogName = "3D000";
constexpr const char *InvalidCursorName = "34000";
constexpr const char *InvalidParameterValue = "22023";
constexpr const char *InvalidStatementName = "26000";
constexpr const char *DuplicateStatement = "42P05";
constexpr const char *DuplicateCursor = "42P03";
constexpr const char *InternalError = "XX000";
constexpr const char *NoActiveTransaction = "25P01";
constexpr const char *ProtocolViolation = "08P01";
constexpr const char *QueryCanceled = "57014";
constexpr const char *ResolutionUnknown = "08007";
} // namespace sql_state

/// Sends a FATAL ErrorResponse and closes the connection.
void closeWithFatalError(caller_state &State, const std::string &Code,
                         const std::string &Problem, caller_effects &Effects);

// caller_startup.cpp

/// Handles a startup packet: StartupMessage, CancelRequest, SSLRequest or
/// GSSENCRequest. Throws pg::protocol_error when the packet is invalid.
void handleStartupPacket(caller_state &State, caller_environment &Environment,
                         std::string_view Body, caller_effects &Effects);

// caller_messages.cpp

/// Handles a message of the simple or extended query protocol: adds it to the
/// batch and, on Query, Sync or Flush, executes the batch. Throws
/// pg::protocol_error when the message is invalid.
void handleMessage(caller_state &State, caller_environment &Environment,
                   const pg::frame &Frame, caller_effects &Effects);

// caller_request.cpp

/// Processes the batch's items in order, until one of them has to wait for a
/// request's reply or none is left. Sends ReadyForQuery once a complete batch
/// is done.
void processBatch(caller_state &State, caller_environment &Environment,
                  caller_effects &Effects);

/// Sends the session's token as ParameterStatus "teasellock.session" if the
/// session changed since the last report.
void reportSessionToken(caller_state &State,
                        const caller_environment &Environment,
                        std::string &Out);

// caller_reply.cpp

/// Sends an ErrorResponse; the rest of the batch is skipped.
void failBatch(caller_state &State, const std::string &Code,
               const std::string &Problem, std::string &Out);

/// Returns the statements of an item: the one at StatementIndex if it is set,
/// otherwise all of them.
std::vector<const statement_info *> statementsOf(const batch_item &Item);

/// Forwards the messages of a gateway's reply to the caller. Throws
/// pg::protocol_error when they don't match the request's steps, and error,
/// with the SQLSTATE as step, when a value can't be converted to the requested
/// format.
void forwardReply(caller_state &State, const caller_environment &Environment,
                  std::string_view Messages, std::string &Out);

/// Reports whether the reply contains an error or has completed every step.
bool isReplyComplete(const caller_state &State);

/// Sends the next rows of a suspended portal from those that the entry keeps.
void resumePortal(caller_state &State, const batch_item &Item,
                  std::string &Out);

// session_settings.cpp

/// Where one statement is executed.
enum class execution_site {
  /// By the upstream, through a gateway.
  Gateway,
  /// A SET, sent to a gateway as set_config() so that the upstream checks the
  /// value. The entry then keeps the setting and answers the caller.
  GatewaySetConfig,
  /// By the entry alone.
  Entry
};

/// Decides where a statement is executed. InTransaction: whether a transaction
/// is open at the time of execution.
execution_site executionSiteOf(const statement_info &Info, bool InTransaction);

/// Executes a statement whose execution site is Entry. DescribeRows: whether a
/// RowDescription precedes its rows. Throws error with the SQLSTATE as step
/// when the statement fails.
void executeAtEntry(caller_state &State, const caller_environment &Environment,
                    const statement_info &Info, bool DescribeRows,
                    std::string &Out);

/// Answers Describe for a statement that is not sent to a gateway as it is.
/// WithParameters: whether a ParameterDescription comes first, as it does for
/// prepared statements but not for portals.
void describeAtEntry(const statement_info &Info, bool WithParameters,
                     std::string &Out);

/// Returns the query SELECT pg_catalog.set_config(...) that corresponds to a
/// SET.
std::string setConfigQuery(const statement_info &Info);

/// Stores a setting that the caller changed, and sends a ParameterStatus if
/// PostgreSQL reports that setting. Throws error with the SQLSTATE as step when
/// the value is invalid.
void applySetting(caller_state &State, const caller_environment &Environment,
                  const setting_change &Change, std::string &Out);

/// Returns a text as an SQL string literal.
std::string quoteLiteral(std::string_view Text);

} // namespace teasellock
