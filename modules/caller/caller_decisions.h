/// Parts of caller_state's decisions that share one implementation.
#pragma once

#include "modules/caller/caller_state.h"
#include "modules/caller/wire_format.h"

namespace teasellock {

/// SQLSTATEs that the entry itself reports.
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

/// Sends a fatal error and closes.
void closeFatally(caller_state &State, const std::string &Code,
                  const std::string &Problem, caller_effects &Effects);

// caller_startup.cpp

/// Handles a startup packet.
void takeStartup(caller_state &State, caller_environment &Environment,
                 std::string_view Body, caller_effects &Effects);

// caller_batch.cpp

/// Handles a message of the simple or extended protocol: adds to the batch.
void takeMessage(caller_state &State, caller_environment &Environment,
                 const pg::frame &Frame, caller_effects &Effects);

// caller_request.cpp

/// Handles the batch's items until a request is in flight or all are done.
void runBatch(caller_state &State, caller_environment &Environment,
              caller_effects &Effects);

/// Tells the caller the session's token if it changed.
void tellToken(caller_state &State, const caller_environment &Environment,
               std::string &Out);

// session_settings.cpp

/// How the entry treats one statement.
enum class treatment { ToGateway, AsSetting, Here };

/// Decides who answers a statement. InTransaction: as of when it runs.
treatment treatmentOf(const statement_info &Info, bool InTransaction);

/// Runs a statement that the entry answers. Throws error with the SQLSTATE as
/// step when it fails.
void runHere(caller_state &State, const caller_environment &Environment,
             const statement_info &Info, bool DescribeRows, std::string &Out);

/// Describes a statement that the entry answers or runs as a setting.
void describeHere(const statement_info &Info, bool WithParameters,
                  std::string &Out);

/// SELECT set_config(...) for a SET.
std::string settingQuery(const statement_info &Info);

/// Takes over a setting that the caller made, and reports it if callers are
/// told of it. Throws error like runHere().
void applySetting(caller_state &State, const caller_environment &Environment,
                  const setting_change &Change, std::string &Out);

/// A text as an SQL literal.
std::string quoteLiteral(std::string_view Text);

} // namespace teasellock
