#include "modules/upstream/dialect.h"

#include "core/error.h"

#include <charconv>

namespace teasellock::dialect {

namespace {

constexpr std::size_t ProbeResultCount = 4;

std::uint64_t parseNumber(const std::string &Text, const std::string &Peer) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Problem] = std::from_chars(Text.data(), End, Number);
  if (Problem != std::errc() || Rest != End)
    throw error("upstream.probe", Peer, "not a number: '" + Text + "'");
  return Number;
}

const std::vector<std::string> &expectOneRow(const text_table &Table,
                                             std::size_t Columns,
                                             const std::string &Peer) {
  if (Table.Rows.size() != 1 || Table.Rows[0].size() != Columns)
    throw error("upstream.probe", Peer, "expected one row");
  return Table.Rows[0];
}

// Returns the name of a setting without the characters that could end it in a
// SET statement. Names are not quoted.
std::string sanitizeName(const std::string &Name) {
  std::string Sanitized;
  for (char Character : Name)
    if (std::isalnum(static_cast<unsigned char>(Character)) ||
        Character == '_' || Character == '.')
      Sanitized += Character;
  return Sanitized;
}

} // namespace

const std::string &probe() {
  static const std::string Text =
      "SELECT term FROM teasellock_term; "
      "SELECT pg_is_in_recovery(), (CASE WHEN pg_is_in_recovery() THEN "
      "pg_wal_lsn_diff(pg_last_wal_replay_lsn(), '0/0') ELSE "
      "pg_wal_lsn_diff(pg_current_wal_flush_lsn(), '0/0') END)::bigint; "
      "SELECT application_name, pg_wal_lsn_diff(flush_lsn, '0/0')::bigint "
      "FROM pg_stat_replication; "
      "SELECT term FROM teasellock_term";
  return Text;
}

std::optional<upstream_status>
parseProbe(const std::vector<text_table> &Results, const std::string &Peer) {
  if (Results.size() != ProbeResultCount)
    throw error("upstream.probe", Peer, "expected four results");
  const std::string &Before = expectOneRow(Results[0], 1, Peer)[0];
  const std::string &After = expectOneRow(Results[3], 1, Peer)[0];
  if (Before != After)
    return std::nullopt;
  const std::vector<std::string> &ServerState =
      expectOneRow(Results[1], 2, Peer);
  upstream_status Status;
  Status.Replica = ServerState[0] == "t";
  Status.Position = {term(parseNumber(Before, Peer)),
                     parseNumber(ServerState[1], Peer)};
  for (const std::vector<std::string> &Row : Results[2].Rows)
    // The flush position of a replica that has just connected is NULL.
    if (Row.size() == 2 && !Row[1].empty())
      Status.Replicas.push_back(
          {upstream_id(Row[0]), parseNumber(Row[1], Peer)});
  return Status;
}

std::string promote() { return "SELECT pg_promote(true, 5)"; }

std::string writeTerm(term Term) {
  return "UPDATE teasellock_term SET term = " + toString(Term);
}

std::vector<std::string> follow(const endpoint &Primary,
                                const upstream_id &Self) {
  std::string Info = "host=" + Primary.Address +
                     " port=" + std::to_string(Primary.Port) +
                     " application_name=" + Self.Value;
  return {"ALTER SYSTEM SET primary_conninfo = " + quoteLiteral(Info),
          "SELECT pg_reload_conf()"};
}

std::string applicationName(const vm_id &Vm, incarnation Incarnation) {
  return "teasellock/" + Vm.Value + "/" + toString(Incarnation);
}

std::string terminateBackEnds(const vm_id &Vm, incarnation Kept) {
  return "SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE "
         "application_name LIKE " +
         quoteLiteral("teasellock/" + Vm.Value + "/%") +
         " AND application_name <> " + quoteLiteral(applicationName(Vm, Kept));
}

std::string backEndState(int Pid) {
  return "SELECT state FROM pg_stat_activity WHERE pid = " +
         std::to_string(Pid);
}

std::string cancelBackEnd(int Pid) {
  return "SELECT pg_cancel_backend(" + std::to_string(Pid) + ")";
}

std::string recordKey(const std::string &Key, key_outcome Outcome) {
  return "INSERT INTO teasellock_idempotency (key, outcome) VALUES (" +
         quoteLiteral(Key) +
         (Outcome == key_outcome::Executed ? ", 'ran')" : ", 'tombstone')");
}

std::string selectKeyOutcome(const std::string &Key) {
  return "SELECT outcome FROM teasellock_idempotency WHERE key = " +
         quoteLiteral(Key);
}

key_outcome parseKeyOutcome(const std::string &Text, const std::string &Peer) {
  if (Text == "ran")
    return key_outcome::Executed;
  if (Text == "tombstone")
    return key_outcome::Tombstone;
  throw error("upstream.key", Peer, "unknown outcome '" + Text + "'");
}

std::string reset() { return "DISCARD ALL"; }

std::string set(const std::string &Name, const std::string &Value) {
  // SET would parse a quoted list as a single name.
  if (Name == "search_path" || Name == "temp_tablespaces")
    return "SELECT set_config(" + quoteLiteral(Name) + ", " +
           quoteLiteral(Value) + ", false)";
  return "SET " + sanitizeName(Name) + " = " + quoteLiteral(Value);
}

std::string quoteLiteral(const std::string &Text) {
  std::string Quoted;
  bool Escaped = Text.find('\\') != std::string::npos;
  Quoted.reserve(Text.size() + 4);
  Quoted += Escaped ? " E'" : "'";
  for (char Character : Text) {
    if (Character == '\'' || Character == '\\')
      Quoted += Character;
    Quoted += Character;
  }
  Quoted += '\'';
  return Quoted;
}

} // namespace teasellock::dialect
