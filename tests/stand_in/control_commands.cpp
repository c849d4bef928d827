#include "core/event_log.h"
#include "tests/stand_in/server.h"

#include <sstream>

namespace teasellock::stand_in {

namespace {

std::size_t toCount(const std::string &Text) {
  std::int64_t Count = toInteger(value{Text});
  if (Count < 0)
    throw sql_error("22023", "the count must not be negative");
  return static_cast<std::size_t>(Count);
}

bool matchesName(const std::string &ApplicationName, const std::string &Name) {
  return !Name.empty() && ApplicationName.starts_with(Name);
}

// Translates an HTTP request line to a command: "GET /lag/200 HTTP/1.1" to
// "lag 200".
std::string fromRequestLine(const std::string &Line) {
  std::size_t Start = Line.find('/');
  std::size_t End = Line.find(' ', Start);
  if (Start == std::string::npos || End == std::string::npos)
    return Line;
  std::string Text = Line.substr(Start + 1, End - Start - 1);
  // Only the first slash separates words: names may contain slashes.
  std::size_t Slash = Text.find('/');
  if (Slash != std::string::npos)
    Text[Slash] = ' ';
  return Text;
}

} // namespace

bool server::isPartitionedFrom(const std::string &ApplicationName) const {
  for (const std::string &Name : PartitionedNames)
    if (matchesName(ApplicationName, Name))
      return true;
  return false;
}

std::string server::executeCommand(const std::string &Text) {
  std::istringstream Words(Text);
  std::string Verb, Argument;
  Words >> Verb >> Argument;
  if (Verb == "freeze" || Verb == "thaw")
    Loop.post([this, Verb] { setFrozen(Verb == "freeze"); });
  else if (Verb == "silence")
    Loop.post([this] { muteConnections(); });
  else if (Verb == "cut")
    partitionFrom(Argument);
  else if (Verb == "heal")
    PartitionedNames.clear();
  else if (Verb == "lose_tail")
    discardLogTail(toCount(Argument));
  else if (Verb == "lag") {
    Options.Lag =
        fromMilliseconds(static_cast<std::int64_t>(toCount(Argument)));
    if (Stream)
      Stream->setLag(Options.Lag);
  } else if (Verb == "statement_us")
    Options.StatementTime = duration(toCount(Argument));
  else if (Verb == "leave" || Verb == "stay")
    IsLeaving = Verb == "leave";
  else if (Verb == "refuse" || Verb == "accept")
    RefusesConnections = Verb == "refuse";
  else if (Verb == "executions" || Verb == "count")
    return insertCounts(Argument);
  else if (Verb == "terminate_sessions")
    for (auto &[Pid, Session] : Sessions)
      terminateBackend(Pid);
  else
    throw sql_error("22023", "unknown switch \"" + Text + "\"");
  event("upstream.switch")
      .with("upstream", toString(Options.Name))
      .with("switch", Text);
  return "ok";
}

void server::setFrozen(bool Freeze) {
  IsFrozen = Freeze;
  if (Stream)
    Stream->setPaused(Freeze);
  if (!Freeze)
    ListenWatch.setInterest({true, false});
  std::vector<std::uint32_t> Pids;
  for (auto &[Pid, Session] : Sessions)
    Pids.push_back(Pid);
  for (std::uint32_t Pid : Pids)
    if (session *Session = findSession(Pid))
      Session->setPaused(Freeze);
}

void server::muteConnections() {
  for (auto &[Pid, Session] : Sessions)
    Session->mute();
  if (Stream)
    Stream->mute();
}

void server::partitionFrom(const std::string &Name) {
  if (Name.empty())
    throw sql_error("22023", "cut needs an application name");
  PartitionedNames.insert(Name);
  for (auto &[Pid, Session] : Sessions)
    if (matchesName(Session->applicationName(), Name))
      terminateBackend(Pid);
}

void server::discardLogTail(std::size_t Records) {
  if (!Stream)
    throw sql_error("22023", "only a replica can discard the end of its log");
  std::size_t LogLength = Store.log().size();
  Store.truncate(LogLength - std::min(LogLength, Records));
  Stream->restart();
}

std::string server::insertCounts(const std::string &Key) const {
  if (!Key.empty()) {
    auto Found = InsertCounts.find(Key);
    return std::to_string(Found == InsertCounts.end() ? 0 : Found->second);
  }
  std::string Text;
  for (const auto &[Name, Count] : InsertCounts)
    Text += Name + "=" + std::to_string(Count) + "\n";
  return Text;
}

void server::acceptControlConnections() {
  for (int Descriptor; (Descriptor = acceptFrom(ControlListener)) >= 0;) {
    std::uint64_t Id = ++LastControl;
    auto &Connection = ControlConnections[Id];
    Connection = std::make_unique<connection>(Loop, Descriptor);
    auto End = [this, Id] {
      Loop.post([this, Id] { ControlConnections.erase(Id); });
    };
    auto Answer = [this, End, &Peer = *Connection] {
      std::size_t LineEnd;
      while ((LineEnd = Peer.input().find('\n')) != std::string_view::npos) {
        std::string Line(Peer.input().substr(0, LineEnd));
        while (!Line.empty() && Line.back() == '\r')
          Line.pop_back();
        bool Http = Line.find(" HTTP/") != std::string::npos;
        std::string Text;
        int Status = 200;
        try {
          Text = executeCommand(Http ? fromRequestLine(Line) : Line);
        } catch (const sql_error &Error) {
          Text = std::string("error: ") + Error.what();
          Status = 400;
        }
        if (Http) {
          Peer.output() +=
              "HTTP/1.0 " + std::to_string(Status) +
              (Status == 200 ? " OK" : " Bad Request") +
              "\r\nContent-Length: " + std::to_string(Text.size() + 1) +
              "\r\nConnection: close\r\n\r\n" + Text + "\n";
          Peer.flush();
          return End();
        }
        Peer.output() += Text + "\n";
        Peer.consume(LineEnd + 1);
        Peer.flush();
      }
    };
    Connection->start(Answer, End);
  }
}

} // namespace teasellock::stand_in
