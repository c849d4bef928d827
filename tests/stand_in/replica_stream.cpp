#include "tests/stand_in/replica_stream.h"
#include "core/error.h"
#include "core/event_log.h"

namespace teasellock::stand_in {

namespace {

constexpr duration RetryDelay = std::chrono::milliseconds(100);
constexpr duration SilenceTimeout = std::chrono::seconds(2);
constexpr duration SilenceCheckPeriod = std::chrono::milliseconds(250);
constexpr std::int32_t ProtocolVersion = 196608;

// A startup message has no type byte: message_writer writes one, which is
// removed from the result.
std::string startupMessage(const std::string &ApplicationName,
                           const std::string &Database) {
  std::string Out;
  {
    message_writer Message(Out, ' ');
    Message.int32(ProtocolVersion);
    for (std::string_view Text :
         {std::string_view("user"), std::string_view("replication"),
          std::string_view("database"), std::string_view(Database),
          std::string_view("application_name"),
          std::string_view(ApplicationName), std::string_view("replication"),
          std::string_view("stand_in"), std::string_view("")})
      Message.text(Text);
  }
  return Out.substr(1);
}

} // namespace

replica_stream::replica_stream(event_loop &Loop, timer_service &Timers,
                               store &Store, endpoint Primary,
                               std::string ApplicationName,
                               std::string Database,
                               std::function<void()> OnApplied)
    : Loop(Loop), Timers(Timers), Store(Store), Primary(std::move(Primary)),
      ApplicationName(std::move(ApplicationName)),
      Database(std::move(Database)), OnApplied(std::move(OnApplied)) {
  SilenceTimer = Timers.every(SilenceCheckPeriod, [this] { checkSilence(); });
  connect();
}

replica_stream::~replica_stream() = default;

void replica_stream::setLag(duration NewLag) { Lag = NewLag; }

void replica_stream::setPaused(bool Pause) {
  Paused = Pause;
  LastReceivedAt = Timers.now();
  if (Connection)
    Connection->setPaused(Pause);
  if (!Paused)
    applyDue(Timers.now());
}

void replica_stream::mute() {
  if (Connection)
    Connection->mute();
}

void replica_stream::restart() { disconnect(); }

void replica_stream::connect() {
  LastReceivedAt = Timers.now();
  try {
    Connection = std::make_unique<connection>(Loop, connectTo(Primary));
  } catch (const error &Error) {
    event("replication.connect_failed", severity::Warning)
        .with("primary", toString(Primary))
        .with("reason", Error.reason());
    return disconnect();
  }
  Connection->start([this] { handleData(); }, [this] { disconnect(); });
  Connection->output() = startupMessage(ApplicationName, Database);
  Search = startPrefixSearch(Store.log().size());
  writeProbe(Connection->output(), Store, Search.ProbeLength);
  Connection->flush();
  if (Paused)
    Connection->setPaused(true);
}

void replica_stream::disconnect() {
  ReceivedRecords.clear();
  ApplyTimer.cancel();
  // The connection may be executing this callback: it is destroyed in the next
  // iteration of the event loop.
  if (Connection) {
    Connection->mute();
    std::shared_ptr<connection> Old = std::move(Connection);
    Loop.post([Old] {});
  }
  RetryTimer = Timers.after(RetryDelay, [this] { connect(); });
}

void replica_stream::checkSilence() {
  if (!Connection || Paused || Timers.now() - LastReceivedAt < SilenceTimeout)
    return;
  event("replication.silent", severity::Warning)
      .with("primary", toString(Primary));
  disconnect();
}

void replica_stream::handleData() {
  if (Paused)
    return;
  LastReceivedAt = Timers.now();
  try {
    std::size_t Offset = 0;
    connection *Current = Connection.get();
    while (auto Message = extractMessage(Current->input(), Offset, false)) {
      handleMessage(*Message);
      if (Connection.get() != Current)
        return;
    }
    Current->consume(Offset);
  } catch (const sql_error &Error) {
    event("replication.broken", severity::Warning)
        .with("primary", toString(Primary))
        .with("reason", Error.what());
    return disconnect();
  }
  scheduleApply();
}

void replica_stream::handleMessage(const message &Message) {
  if (Message.Type == ProbeReply)
    return handleProbeReply(parseProbeReply(Message.Payload));
  if (Message.Type == Record)
    ReceivedRecords.push_back(
        {LastReceivedAt + Lag, std::string(Message.Payload)});
  else if (Message.Type == 'E')
    disconnect();
}

void replica_stream::handleProbeReply(const probe_reply &Reply) {
  if (Reply.Term < Store.term()) {
    event("replication.older_term", severity::Warning)
        .with("primary", toString(Primary))
        .with("term", Reply.Term);
    return disconnect();
  }
  applyProbeReply(Search, Reply.Matches,
                  static_cast<std::size_t>(Reply.Records));
  if (!Search.IsDone) {
    writeProbe(Connection->output(), Store, Search.ProbeLength);
    return Connection->flush();
  }
  if (Search.MatchedRecords < Store.log().size())
    event("replication.cut_tail")
        .with("records",
              std::uint64_t(Store.log().size() - Search.MatchedRecords));
  Store.truncate(Search.MatchedRecords);
  writeStart(Connection->output(), Search.MatchedRecords);
  Connection->flush();
}

void replica_stream::applyAll() { applyDue(time_point::max()); }

void replica_stream::scheduleApply() {
  if (ReceivedRecords.empty() || ApplyTimer.isActive())
    return;
  time_point Now = Timers.now();
  if (ReceivedRecords.front().Due <= Now)
    return applyDue(Now);
  ApplyTimer = Timers.after(ReceivedRecords.front().Due - Now,
                            [this] { applyDue(Timers.now()); });
}

void replica_stream::applyDue(time_point Until) {
  if (Paused && Until != time_point::max())
    return;
  bool Any = false;
  try {
    while (!ReceivedRecords.empty() && ReceivedRecords.front().Due <= Until) {
      Store.applyRecord(std::move(ReceivedRecords.front().Bytes));
      ReceivedRecords.pop_front();
      Any = true;
    }
  } catch (const sql_error &Error) {
    event("replication.bad_record", severity::Error)
        .with("reason", Error.what());
    return disconnect();
  }
  if (Any && Connection) {
    writeFlushed(Connection->output(), Store.endOffset());
    Connection->flush();
  }
  if (Any)
    OnApplied();
  ApplyTimer.cancel();
  scheduleApply();
}

} // namespace teasellock::stand_in
