#include "tests/stand_in/server.h"
#include "core/event_log.h"

#include <algorithm>
#include <unistd.h>

namespace teasellock::stand_in {

namespace {

constexpr duration KeepAlivePeriod = std::chrono::milliseconds(500);

std::string toLsn(std::uint64_t Offset) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%X/%X",
                static_cast<unsigned>(Offset >> 32),
                static_cast<unsigned>(Offset & 0xffffffff));
  return Text;
}

std::int64_t fromLsn(const std::string &Text) {
  unsigned High = 0, Low = 0;
  if (std::sscanf(Text.c_str(), "%X/%X", &High, &Low) != 2)
    throw sql_error("22P02",
                    "invalid input syntax for type pg_lsn: \"" + Text + "\"");
  return static_cast<std::int64_t>((std::uint64_t(High) << 32) | Low);
}

const value &argument(const std::vector<value> &Arguments, std::size_t Index) {
  if (Index >= Arguments.size())
    throw sql_error("42883", "the function needs more arguments");
  return Arguments[Index];
}

// Parses a connection string such as
// "host=1.2.3.4 port=5432 application_name=x".
std::map<std::string, std::string>
parseConnectionInfo(const std::string &Text) {
  std::map<std::string, std::string> Fields;
  std::size_t At = 0;
  while (At < Text.size()) {
    std::size_t End = std::min(Text.find(' ', At), Text.size());
    std::string Field = Text.substr(At, End - At);
    std::size_t Equals = Field.find('=');
    if (Equals != std::string::npos)
      Fields[Field.substr(0, Equals)] = Field.substr(Equals + 1);
    At = End + 1;
  }
  return Fields;
}

} // namespace

server::server(event_loop &Loop, timer_service &Timers, server_options Given)
    : Loop(Loop), Timers(Timers), Options(std::move(Given)) {
  Listener = listenOn(Options.Listen);
  ListenWatch = Loop.watch(Listener, {true, false},
                           [this](readiness) { acceptConnections(); });
  if (Options.ControlListen) {
    ControlListener = listenOn(*Options.ControlListen);
    ControlWatch =
        Loop.watch(ControlListener, {true, false},
                   [this](readiness) { acceptControlConnections(); });
  }
  KeepAliveTimer = Timers.every(KeepAlivePeriod, [this] {
    for (auto &[Pid, Session] : Sessions)
      Session->sendReplication(true);
  });
  if (Options.FollowPrimary) {
    follow(*Options.FollowPrimary, Options.Name.Value);
    return;
  }
  transaction First;
  const table *Term = Store.find("teasellock_term");
  Store.addChange(First, {change::kind::Put,
                          "teasellock_term",
                          Term->Rows.begin()->first,
                          {std::int64_t(1)},
                          {}});
  Store.commit(First);
}

server::~server() {
  // Sessions use other members of the server in their destructors.
  ListenWatch = descriptor_watch();
  ControlWatch = descriptor_watch();
  Sessions.clear();
  ::close(Listener);
  if (ControlListener >= 0)
    ::close(ControlListener);
}

endpoint server::listenEndpoint() const { return boundEndpoint(Listener); }

endpoint server::controlEndpoint() const {
  return boundEndpoint(ControlListener);
}

void server::acceptConnections() {
  if (IsFrozen)
    return ListenWatch.setInterest({});
  for (int Descriptor; (Descriptor = acceptFrom(Listener)) >= 0;) {
    if (RefusesConnections) {
      ::close(Descriptor);
      continue;
    }
    std::uint32_t Pid = ++LastPid;
    Sessions[Pid] = std::make_unique<session>(*this, Descriptor, Pid);
  }
}

session *server::findSession(std::uint32_t Pid) {
  auto Found = Sessions.find(Pid);
  return Found == Sessions.end() ? nullptr : Found->second.get();
}

void server::removeSession(std::uint32_t Pid) {
  removeFromSlotQueue(Pid);
  auto Found = Sessions.find(Pid);
  if (Found == Sessions.end())
    return;
  // The session may be calling this function: it is destroyed in the next
  // iteration of the event loop.
  std::shared_ptr<session> Old = std::move(Found->second);
  Sessions.erase(Found);
  Loop.post([Old] {});
}

bool server::isWithinConnectionLimit() const {
  auto Used =
      std::count_if(Sessions.begin(), Sessions.end(), [](const auto &Entry) {
        return !Entry.second->isReplicating() && !Entry.second->isMuted();
      });
  return Used <= Options.Connections;
}

bool server::acquireSlotOrQueue(session &Session) {
  if (UsedSlots < Options.Slots) {
    ++UsedSlots;
    return true;
  }
  SlotQueue.push_back(Session.pid());
  return false;
}

void server::releaseSlot() {
  --UsedSlots;
  if (SlotQueue.empty())
    return;
  std::uint32_t Pid = SlotQueue.front();
  SlotQueue.pop_front();
  ++UsedSlots;
  Loop.post([this, Pid] {
    if (session *Session = findSession(Pid))
      return Session->handleSlotGranted();
    releaseSlot();
  });
}

void server::removeFromSlotQueue(std::uint32_t Pid) {
  std::erase(SlotQueue, Pid);
}

void server::handleTransactionEnd(std::uint32_t Owner, bool Logged) {
  for (auto &[Pid, Session] : Sessions) {
    if (Session->lockOwner() != Owner)
      continue;
    Loop.post([this, Pid = Pid, Owner] {
      session *Waiter = findSession(Pid);
      if (Waiter && Waiter->lockOwner() == Owner)
        Waiter->resume();
    });
  }
  if (Logged)
    scheduleReplication();
}

void server::scheduleReplication() {
  if (SendPosted)
    return;
  SendPosted = true;
  Loop.post([this] {
    SendPosted = false;
    for (auto &[Pid, Session] : Sessions)
      Session->sendReplication(false);
  });
}

bool server::isDeadlocked(std::uint32_t Waiter, std::uint32_t Owner) const {
  std::set<std::uint32_t> Seen;
  while (Seen.insert(Owner).second) {
    if (Owner == Waiter)
      return true;
    auto Found = Sessions.find(Owner);
    if (Found == Sessions.end() || !Found->second->lockOwner())
      return false;
    Owner = *Found->second->lockOwner();
  }
  return false;
}

void server::terminateOlderStreams(const session &Session) {
  std::vector<std::uint32_t> Older;
  for (auto &[Pid, Other] : Sessions)
    if (Other->isReplicating() && Pid != Session.pid() &&
        Other->applicationName() == Session.applicationName())
      Older.push_back(Pid);
  for (std::uint32_t Pid : Older)
    findSession(Pid)->terminate(
        "57P01",
        "a newer replication stream of the same replica has connected");
}

virtual_table server::activityTable() const {
  virtual_table Table;
  Table.Layout.Names = {"pid", "application_name", "state", "datname"};
  Table.Layout.Types = {sql_type::Integer, sql_type::Text, sql_type::Text,
                        sql_type::Text};
  for (const auto &[Pid, Session] : Sessions)
    if (!Session->isReplicating())
      Table.Rows.push_back({std::int64_t(Pid), Session->applicationName(),
                            Session->activity(), Session->database()});
  return Table;
}

virtual_table server::replicationTable() const {
  virtual_table Table;
  Table.Layout.Names = {"pid", "application_name", "state", "flush_lsn"};
  Table.Layout.Types = {sql_type::Integer, sql_type::Text, sql_type::Text,
                        sql_type::Text};
  for (const auto &[Pid, Session] : Sessions)
    if (Session->isReplicating())
      Table.Rows.push_back({std::int64_t(Pid), Session->applicationName(),
                            std::string("streaming"),
                            toLsn(Session->flushedOffset())});
  return Table;
}

std::optional<virtual_table>
server::findVirtualTable(const std::string &Name) const {
  if (Name == "pg_stat_activity")
    return activityTable();
  if (Name == "pg_stat_replication")
    return replicationTable();
  return std::nullopt;
}

value server::callFunction(const std::string &Name,
                           const std::vector<value> &Arguments) {
  if (Name == "pg_is_in_recovery")
    return isReplica();
  if (Name == "pg_current_wal_flush_lsn" || Name == "pg_current_wal_lsn" ||
      Name == "pg_last_wal_replay_lsn" || Name == "pg_last_wal_receive_lsn") {
    bool OfReplica = Name.starts_with("pg_last");
    if (!OfReplica && isReplica())
      throw sql_error("55000", "recovery is in progress");
    return OfReplica && !isReplica() ? value{} : toLsn(Store.endOffset());
  }
  if (Name == "pg_wal_lsn_diff") {
    const value &Left = argument(Arguments, 0);
    const value &Right = argument(Arguments, 1);
    if (isNull(Left) || isNull(Right))
      return {};
    return fromLsn(toText(Left)) - fromLsn(toText(Right));
  }
  if (Name == "pg_promote")
    return promote();
  if (Name == "pg_reload_conf")
    return reloadConfiguration();
  if (Name == "pg_terminate_backend")
    return terminateBackend(
        static_cast<std::uint32_t>(toInteger(argument(Arguments, 0))));
  if (Name == "version")
    return std::string("PostgreSQL 15.0 (stand-in)");
  if (Name == "stand_in")
    return executeCommand(toText(argument(Arguments, 0)));
  throw sql_error("42883", "function " + Name + " does not exist");
}

value server::promote() {
  if (!isReplica())
    throw sql_error("55000", "recovery is not in progress");
  Stream->applyAll();
  Stream.reset();
  event("upstream.promoted")
      .with("upstream", toString(Options.Name))
      .with("offset", Store.endOffset());
  return true;
}

value server::terminateBackend(std::uint32_t Pid) {
  session *Session = findSession(Pid);
  if (!Session)
    return false;
  // Posted, since a session may terminate itself.
  Loop.post([this, Pid] {
    if (session *Target = findSession(Pid))
      Target->terminate("57P01",
                        "terminating connection due to administrator command");
  });
  return true;
}

void server::alterSystem(const std::string &Name, const std::string &Value) {
  if (Name != "primary_conninfo")
    throw sql_error("0A000", "only primary_conninfo can be altered");
  auto Fields = parseConnectionInfo(Value);
  endpoint Primary;
  try {
    Primary = parseEndpoint(Fields["host"] + ":" + Fields["port"]);
  } catch (const std::exception &) {
    throw sql_error("22023", "primary_conninfo needs host and port by number");
  }
  std::string Own = Fields["application_name"];
  PendingPrimary = {Primary, Own.empty() ? Options.Name.Value : Own};
}

value server::reloadConfiguration() {
  if (!PendingPrimary)
    return true;
  auto [Primary, Name] = *PendingPrimary;
  PendingPrimary.reset();
  if (!Stream || Stream->primary() != Primary)
    follow(Primary, Name);
  return true;
}

void server::follow(const endpoint &Primary, const std::string &Name) {
  event("upstream.follows")
      .with("upstream", toString(Options.Name))
      .with("primary", toString(Primary));
  // A former primary ends its open transactions and replication streams.
  for (auto &[Pid, Session] : Sessions)
    if (Session->inTransaction() || Session->isReplicating())
      terminateBackend(Pid);
  Stream = std::make_unique<replica_stream>(Loop, Timers, Store, Primary, Name,
                                            Options.Group.Value,
                                            [this] { scheduleReplication(); });
  Stream->setLag(Options.Lag);
  Stream->setPaused(IsFrozen);
}

void server::recordInsert(const std::string &Table, const std::string &Key) {
  if (Table == "bookings" || Table == "orders")
    ++InsertCounts[Key];
}

} // namespace teasellock::stand_in
