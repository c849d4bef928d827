#include "core/error.h"
#include "modules/caller/caller_state_internal.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace teasellock {

namespace {

constexpr const char *SessionName = "teasellock.session";
constexpr const char *SessionIdName = "teasellock.session_id";
constexpr const char *ReadKindName = "teasellock.read_kind";
constexpr const char *ApplicationName = "application_name";
constexpr const char *StatementTimeoutName = "statement_timeout";
constexpr std::size_t MaxSessionIdBytes = 200;
/// The timeout that a statement_timeout of 0 (none) stands for; also the
/// maximum.
constexpr duration NoTimeout = std::chrono::hours(24);

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Char) { return std::tolower(Char); });
  return Text;
}

/// Reports whether the entry applies a setting itself and does not send it to
/// upstreams.
bool isEntrySetting(const std::string &Name) {
  return Name.starts_with("teasellock.") || Name == ApplicationName ||
         Name == StatementTimeoutName;
}

/// Returns the name under which ParameterStatus reports a setting, or nothing
/// if the setting is not reported.
std::optional<std::string> reportedName(const std::string &Name) {
  constexpr std::array<std::pair<const char *, const char *>, 7> Names = {{
      {"application_name", "application_name"},
      {"client_encoding", "client_encoding"},
      {"datestyle", "DateStyle"},
      {"default_transaction_read_only", "default_transaction_read_only"},
      {"intervalstyle", "IntervalStyle"},
      {"standard_conforming_strings", "standard_conforming_strings"},
      {"timezone", "TimeZone"},
  }};
  for (const auto &[Key, Reported] : Names)
    if (Name == Key)
      return Reported;
  return std::nullopt;
}

/// Returns the value that a setting has by default on upstreams, or nothing if
/// it is not known.
std::optional<std::string> defaultOf(const std::string &Name) {
  if (Name == "client_encoding")
    return "UTF8";
  if (Name == "datestyle")
    return "ISO, MDY";
  if (Name == "timezone")
    return "Etc/UTC";
  if (Name == "intervalstyle")
    return "postgres";
  if (Name == "standard_conforming_strings")
    return "on";
  if (Name == "default_transaction_read_only")
    return "off";
  return std::nullopt;
}

std::string normalizedValue(const std::string &Name, const std::string &Value) {
  auto Lower = lowerCase(Value);
  if (Name == "client_encoding" &&
      (Lower == "utf8" || Lower == "utf-8" || Lower == "unicode" ||
       Lower == "'utf-8'" || Lower == "'utf8'"))
    return "UTF8";
  if (Name == "datestyle" && (Lower == "iso" || Lower == "iso, mdy"))
    return "ISO, MDY";
  return Value;
}

/// Parses a number of milliseconds, or a number with a unit (ms, s, min or h).
duration parseTimeout(const std::string &Value) {
  std::int64_t Number = 0;
  auto End = Value.data() + Value.size();
  auto Result = std::from_chars(Value.data(), End, Number);
  std::string Unit(Result.ptr, End);
  Unit.erase(std::remove(Unit.begin(), Unit.end(), ' '), Unit.end());
  std::int64_t Factor = Unit.empty() || Unit == "ms" ? 1
                        : Unit == "s"                ? 1000
                        : Unit == "min"              ? 60 * 1000
                        : Unit == "h"                ? 60 * 60 * 1000
                                                     : 0;
  constexpr std::int64_t MaxMilliseconds = 24LL * 60 * 60 * 1000;
  if (Result.ec != std::errc() || Number < 0 || Factor == 0 ||
      Number > MaxMilliseconds / Factor)
    throw error(sql_state::InvalidParameterValue, "caller",
                "invalid value for parameter \"statement_timeout\": \"" +
                    Value + "\"");
  return Number == 0 ? NoTimeout : fromMilliseconds(Number * Factor);
}

void resumeSession(caller_state &State, const caller_environment &Environment,
                   const std::string &Token) {
  session_state Session;
  try {
    Session = parseToken(Token, State.Session.Group, Environment.TokenSecret);
  } catch (const error &Problem) {
    throw error(sql_state::InvalidAuthorization, "caller", Problem.reason());
  }
  // If it is the same session, the floor must not fall behind what this
  // connection has already read or written.
  if (Session.Id == State.Session.Id && Session.Floor && State.Session.Floor)
    Session.Floor = std::max(*Session.Floor, *State.Session.Floor);
  State.Session = std::move(Session);
}

void setSessionId(caller_state &State, const std::string &Id) {
  if (Id.empty() || Id.size() > MaxSessionIdBytes)
    throw error(sql_state::InvalidParameterValue, "caller",
                "teasellock.session_id must have 1 to 200 bytes");
  if (State.Session.Id.Value == Id)
    return;
  State.Session.Id = session_id(Id);
  State.Session.Floor.reset();
}

void applyEntrySetting(caller_state &State,
                       const caller_environment &Environment,
                       const setting_change &Change) {
  auto Value = Change.Value.value_or("");
  if (Change.Name == ApplicationName)
    State.EntrySettings.ApplicationName = Value;
  else if (Change.Name == ReadKindName)
    State.EntrySettings.ReadKind = Value;
  else if (Change.Name == StatementTimeoutName)
    State.EntrySettings.StatementTimeout =
        Change.Value ? std::optional(parseTimeout(Value)) : std::nullopt;
  else if (Change.Name == SessionName && Change.Value)
    resumeSession(State, Environment, Value);
  else if (Change.Name == SessionIdName && Change.Value)
    setSessionId(State, Value);
  else if (Change.Name != SessionName && Change.Name != SessionIdName)
    throw error("42704", "caller",
                "unrecognized configuration parameter \"" + Change.Name + "\"");
}

std::string entrySettingValue(const caller_state &State,
                              const caller_environment &Environment,
                              const std::string &Name) {
  if (Name == ApplicationName)
    return State.EntrySettings.ApplicationName;
  if (Name == ReadKindName)
    return State.EntrySettings.ReadKind;
  if (Name == SessionName)
    return toToken(State.Session, Environment.TokenSecret);
  if (Name == SessionIdName)
    return State.Session.Id.Value;
  if (Name == StatementTimeoutName) {
    auto Timeout = State.EntrySettings.StatementTimeout.value_or(
        Environment.StatementTimeout);
    return Timeout >= NoTimeout
               ? "0"
               : std::to_string(toMilliseconds(Timeout)) + "ms";
  }
  throw error("42704", "caller",
              "unrecognized configuration parameter \"" + Name + "\"");
}

bool changesOnlyEntrySettings(const statement_info &Info) {
  return !Info.Settings.empty() &&
         std::all_of(Info.Settings.begin(), Info.Settings.end(),
                     [](const setting_change &Change) {
                       return isEntrySetting(Change.Name);
                     });
}

bool changesOnlyToDefaults(const statement_info &Info) {
  return std::all_of(
      Info.Settings.begin(), Info.Settings.end(),
      [](const setting_change &Change) { return !Change.Value; });
}

void resetAll(caller_state &State, std::string &Out) {
  auto OldSettings = std::move(State.Settings);
  State.Settings.clear();
  State.EntrySettings = entry_settings();
  for (const auto &[Name, Value] : OldSettings)
    if (auto Reported = reportedName(Name))
      pg::appendParameterStatus(Out, *Reported, defaultOf(Name).value_or(""));
}

void executeReset(caller_state &State, const caller_environment &Environment,
                  const statement_info &Info, std::string &Out) {
  if (Info.Name.empty())
    resetAll(State, Out);
  else
    applySetting(State, Environment, {Info.Name, std::nullopt}, Out);
  pg::appendCommandComplete(Out, "RESET");
}

void executeDeallocate(caller_state &State, const statement_info &Info,
                       std::string &Out) {
  if (Info.Name.empty()) {
    State.PreparedStatements.clear();
    return pg::appendCommandComplete(Out, "DEALLOCATE ALL");
  }
  if (State.PreparedStatements.erase(Info.Name) == 0)
    throw error(sql_state::InvalidStatementName, "caller",
                "prepared statement \"" + Info.Name + "\" does not exist");
  pg::appendCommandComplete(Out, "DEALLOCATE");
}

void executeDiscard(caller_state &State, const statement_info &Info,
                    std::string &Out) {
  std::string Target = Info.Name.substr(std::string("DISCARD_").size());
  if (Target == "ALL") {
    resetAll(State, Out);
    State.PreparedStatements.clear();
    State.Portals.clear();
  }
  pg::appendCommandComplete(Out, "DISCARD " + Target);
}

} // namespace

execution_site executionSiteOf(const statement_info &Info, bool InTransaction) {
  switch (Info.Class) {
  case statement_class::Set:
    if (changesOnlyEntrySettings(Info))
      return execution_site::Entry;
    if (InTransaction)
      return execution_site::Gateway;
    return Info.IsLocal || changesOnlyToDefaults(Info)
               ? execution_site::Entry
               : execution_site::GatewaySetConfig;
  case statement_class::Reset:
    if (!Info.Name.empty() && isEntrySetting(Info.Name))
      return execution_site::Entry;
    return InTransaction ? execution_site::Gateway : execution_site::Entry;
  case statement_class::Show:
    return isEntrySetting(Info.Name) ? execution_site::Entry
                                     : execution_site::Gateway;
  case statement_class::Discard:
    return InTransaction ? execution_site::Gateway : execution_site::Entry;
  case statement_class::Deallocate:
    return execution_site::Entry;
  default:
    return execution_site::Gateway;
  }
}

void executeAtEntry(caller_state &State, const caller_environment &Environment,
                    const statement_info &Info, bool DescribeRows,
                    std::string &Out) {
  switch (Info.Class) {
  case statement_class::Show: {
    auto Value = entrySettingValue(State, Environment, Info.Name);
    if (DescribeRows)
      pg::appendTextColumn(Out, Info.Name);
    pg::appendTextRow(Out, Value);
    return pg::appendCommandComplete(Out, "SHOW");
  }
  case statement_class::Reset:
    return executeReset(State, Environment, Info, Out);
  case statement_class::Deallocate:
    return executeDeallocate(State, Info, Out);
  case statement_class::Discard:
    return executeDiscard(State, Info, Out);
  default:
    break;
  }
  if (Info.IsLocal)
    pg::appendError(Out, "WARNING", sql_state::NoActiveTransaction,
                    "SET LOCAL can only be used in transaction blocks");
  else
    for (const auto &Change : Info.Settings)
      applySetting(State, Environment, Change, Out);
  pg::appendCommandComplete(Out, "SET");
}

void describeAtEntry(const statement_info &Info, bool WithParameters,
                     std::string &Out) {
  if (WithParameters)
    pg::message_writer('t').int16(0).append(Out);
  if (Info.Class == statement_class::Show)
    pg::appendTextColumn(Out, Info.Name);
  else
    pg::appendEmptyMessage(Out, 'n');
}

std::string setConfigQuery(const statement_info &Info) {
  std::string Query = "SELECT ";
  const char *Separator = "";
  for (const auto &Change : Info.Settings) {
    if (!Change.Value)
      continue;
    Query += Separator;
    Query += "pg_catalog.set_config(" + quoteLiteral(Change.Name) + ", " +
             quoteLiteral(*Change.Value) + ", true)";
    Separator = ", ";
  }
  return Query;
}

void applySetting(caller_state &State, const caller_environment &Environment,
                  const setting_change &Change, std::string &Out) {
  setting_change Set{lowerCase(Change.Name), Change.Value};
  auto Reported = reportedName(Set.Name);
  if (isEntrySetting(Set.Name)) {
    applyEntrySetting(State, Environment, Set);
  } else {
    if (Set.Value)
      Set.Value = normalizedValue(Set.Name, *Set.Value);
    if (!Set.Value || Set.Value == defaultOf(Set.Name))
      State.Settings.erase(Set.Name);
    else
      State.Settings[Set.Name] = *Set.Value;
  }
  if (Reported)
    pg::appendParameterStatus(
        Out, *Reported, Set.Value.value_or(defaultOf(Set.Name).value_or("")));
}

std::string quoteLiteral(std::string_view Text) {
  bool Escapes = Text.find('\\') != std::string_view::npos;
  std::string Quoted = Escapes ? " E'" : "'";
  for (char Char : Text) {
    if (Char == '\'' || Char == '\\')
      Quoted += Char;
    Quoted += Char;
  }
  return Quoted + "'";
}

} // namespace teasellock
