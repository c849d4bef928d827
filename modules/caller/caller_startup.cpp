#include "core/error.h"
#include "modules/caller/caller_state_internal.h"

namespace teasellock {

namespace {

constexpr const char *ServerVersion = "15.0";

using parameters = std::map<std::string, std::string>;

parameters parseParameters(pg::field_reader &Fields) {
  parameters Parameters;
  while (!Fields.atEnd()) {
    std::string Name(Fields.cString());
    if (Name.empty())
      return Parameters;
    Parameters[Name] = Fields.cString();
  }
  throw pg::protocol_error{"invalid startup packet layout"};
}

/// Splits the "options" parameter at white space; a backslash escapes the next
/// character.
std::vector<std::string> splitOptions(const std::string &Options) {
  std::vector<std::string> Words;
  std::string Word;
  bool InWord = false;
  for (std::size_t I = 0; I < Options.size(); ++I) {
    char Char = Options[I];
    if (Char == ' ' || Char == '\t' || Char == '\n') {
      if (InWord)
        Words.push_back(std::move(Word));
      Word.clear();
      InWord = false;
      continue;
    }
    if (Char == '\\' && I + 1 < Options.size())
      Char = Options[++I];
    Word += Char;
    InWord = true;
  }
  if (InWord)
    Words.push_back(std::move(Word));
  return Words;
}

/// Parses "-c name=value", "-cname=value" and "--name=value".
std::vector<setting_change> parseOptions(const std::string &Options) {
  std::vector<setting_change> Settings;
  auto Words = splitOptions(Options);
  for (std::size_t I = 0; I < Words.size(); ++I) {
    std::string Pair = Words[I];
    if (Pair == "-c" && I + 1 < Words.size())
      Pair = Words[++I];
    else if (Pair.starts_with("-c") || Pair.starts_with("--"))
      Pair = Pair.substr(2);
    auto Equals = Pair.find('=');
    if (Equals == std::string::npos || Pair[0] == '-')
      throw error(sql_state::ProtocolViolation, "caller",
                  "options: \"" + Words[I] + "\" is not a valid option");
    std::string Name = Pair.substr(0, Equals);
    for (char &Char : Name)
      Char = Char == '-' ? '_' : Char;
    Settings.push_back({Name, Pair.substr(Equals + 1)});
  }
  return Settings;
}

void applyStartupParameters(caller_state &State,
                            const caller_environment &Environment,
                            const parameters &Parameters) {
  std::string Ignored;
  for (const auto &[Name, Value] : Parameters) {
    if (Name == "user" || Name == "database" || Name.starts_with("_pq_."))
      continue;
    if (Name == "replication") {
      if (Value != "false" && Value != "off" && Value != "0")
        throw error(sql_state::FeatureNotSupported, "caller",
                    "replication connections are not supported");
      continue;
    }
    if (Name != "options") {
      applySetting(State, Environment, {Name, Value}, Ignored);
      continue;
    }
    for (const auto &Change : parseOptions(Value))
      applySetting(State, Environment, Change, Ignored);
  }
}

std::string valueOr(const std::map<std::string, std::string> &Values,
                    const std::string &Name, const std::string &Default) {
  auto Found = Values.find(Name);
  return Found == Values.end() ? Default : Found->second;
}

void sendStartupReply(caller_state &State,
                      const caller_environment &Environment, std::string &Out) {
  pg::message_writer('R').int32(0).append(Out);
  const auto &Settings = State.Settings;
  const std::vector<std::pair<const char *, std::string>> Statuses = {
      {"server_version", ServerVersion},
      {"server_encoding", "UTF8"},
      {"client_encoding", valueOr(Settings, "client_encoding", "UTF8")},
      {"application_name", State.EntrySettings.ApplicationName},
      {"is_superuser", "off"},
      {"session_authorization", State.User},
      {"DateStyle", valueOr(Settings, "datestyle", "ISO, MDY")},
      {"IntervalStyle", valueOr(Settings, "intervalstyle", "postgres")},
      {"TimeZone", valueOr(Settings, "timezone", "Etc/UTC")},
      {"integer_datetimes", "on"},
      {"standard_conforming_strings",
       valueOr(Settings, "standard_conforming_strings", "on")},
      {"default_transaction_read_only",
       valueOr(Settings, "default_transaction_read_only", "off")},
      {"in_hot_standby", "off"}};
  for (const auto &[Name, Value] : Statuses)
    pg::appendParameterStatus(Out, Name, Value);
  reportSessionToken(State, Environment, Out);
  pg::message_writer('K')
      .int32(State.CancelKey.ProcessId)
      .int32(State.CancelKey.Secret)
      .append(Out);
  pg::appendReadyForQuery(Out, State.TransactionStatus);
}

void handleStartupMessage(caller_state &State, caller_environment &Environment,
                          pg::field_reader &Fields, caller_effects &Effects) {
  auto Parameters = parseParameters(Fields);
  State.User = Parameters["user"];
  if (State.User.empty())
    return closeWithFatalError(State, sql_state::InvalidAuthorization,
                               "no user name specified in startup packet",
                               Effects);
  auto Database = Parameters["database"];
  group_id Group(Database.empty() ? State.User : Database);
  if (!Environment.IsGroupServed(Group))
    return closeWithFatalError(
        State, sql_state::InvalidCatalogName,
        "database \"" + Group.Value + "\" does not exist", Effects);
  State.Session.Group = Group;
  try {
    applyStartupParameters(State, Environment, Parameters);
  } catch (const error &Problem) {
    return closeWithFatalError(State, Problem.step(), Problem.reason(),
                               Effects);
  }
  State.Phase = caller_state::phase::Ready;
  sendStartupReply(State, Environment, Effects.Out);
}

} // namespace

void handleStartupPacket(caller_state &State, caller_environment &Environment,
                         std::string_view Body, caller_effects &Effects) {
  pg::field_reader Fields(Body);
  auto Code = Fields.int32();
  if (Code == pg::SslRequestCode || Code == pg::GssRequestCode) {
    Effects.Out += 'N';
    return;
  }
  if (Code == pg::CancelRequestCode) {
    auto Process = Fields.int32();
    Effects.CancelOther = cancel_key{Process, Fields.int32()};
    Effects.Close = true;
    State.Phase = caller_state::phase::Closed;
    return;
  }
  constexpr int MajorShift = 16;
  if (Code >> MajorShift != pg::ProtocolVersion3 >> MajorShift)
    return closeWithFatalError(
        State, sql_state::FeatureNotSupported,
        "unsupported frontend protocol; 3.0 is supported", Effects);
  if (Code != pg::ProtocolVersion3)
    // NegotiateProtocolVersion: minor version 0, no unsupported options listed.
    pg::message_writer('v')
        .int32(pg::ProtocolVersion3)
        .int32(0)
        .append(Effects.Out);
  handleStartupMessage(State, Environment, Fields, Effects);
}

} // namespace teasellock
