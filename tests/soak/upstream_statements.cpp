#include "tests/soak/upstream_group_state.h"

#include <utility>

namespace teasellock::soak {

namespace {

/// Statements that wait for a slot; more are refused.
constexpr std::size_t QueueLength = 24;
constexpr const char *NoPosition = "-";

} // namespace

//===----------------------------------------------------------------------===//
// Connections
//===----------------------------------------------------------------------===//

void upstream_group::state::listen(std::size_t Index) {
  auto &Server = Servers[Index];
  Server.Listener = stand_in::listenOn(Server.Address);
  Server.Watch = Loop.watch(Server.Listener, {true, false},
                            [this, Index](readiness) { accept(Index); });
}

void upstream_group::state::accept(std::size_t Index) {
  auto &Server = Servers[Index];
  int Descriptor = stand_in::acceptFrom(Server.Listener);
  if (Descriptor < 0)
    return;
  auto Session = std::make_shared<upstream_session>();
  Session->Connection =
      std::make_unique<stand_in::connection>(Loop, Descriptor);
  std::weak_ptr<upstream_session> Weak = Session;
  Session->Connection->start(
      [this, Index, Weak] {
        if (auto Alive = Weak.lock())
          take(Index, Alive);
      },
      [this, Index, Weak] {
        Loop.post([this, Index, Alive = Weak.lock()] {
          if (!Alive)
            return;
          Alive->Ended = true;
          std::erase(Servers[Index].Sessions, Alive);
        });
      });
  Server.Sessions.push_back(std::move(Session));
}

void upstream_group::state::endSessions(server &Server) {
  for (auto &Session : Server.Sessions) {
    Session->Ended = true;
    Session->Work.cancel();
  }
  Server.Sessions.clear();
  Server.Node.Busy = 0;
}

void upstream_group::state::take(std::size_t Index,
                                 const session_pointer &Session) {
  while (!Session->Ended && !Session->Busy) {
    auto Input = Session->Connection->input();
    std::size_t End = Input.find("\r\n");
    if (End == std::string_view::npos)
      return;
    std::string Line(Input.substr(0, End));
    Session->Connection->consume(End + 2);
    if (!Servers[Index].Node.Silent)
      takeLine(Index, Session, Line);
  }
}

void upstream_group::state::takeLine(std::size_t Index,
                                     const session_pointer &Session,
                                     const std::string &Line) {
  if (!Session->Started)
    return start(Index, *Session, Line);
  if (Line.starts_with("QUERY "))
    return query(Index, Session, readUpstreamStatement(Line.substr(6)));
  Session->Ended = true;
  Loop.post(
      [this, Index, Session] { std::erase(Servers[Index].Sessions, Session); });
}

/// "START service who [id]".
void upstream_group::state::start(std::size_t Index, upstream_session &Session,
                                  const std::string &Line) {
  auto &Server = Servers[Index];
  std::string Expected = "START " + Settings.Group.Value + " ";
  bool Named = Line.starts_with(Expected);
  std::size_t Blank = Line.find(' ', Expected.size());
  if (Named && Blank != std::string::npos)
    Named = Line.substr(Blank + 1) == Server.Node.Id;
  if (!Named || Server.Sessions.size() > Settings.Connections) {
    Session.Connection->output() +=
        Named ? "ERR TOOMANY full\r\n" : "ERR MISROUTED other\r\n";
    return Session.Connection->flush();
  }
  Session.Started = true;
  finish(Server, Session);
}

//===----------------------------------------------------------------------===//
// Answers
//===----------------------------------------------------------------------===//

void upstream_group::state::finish(server &Server, upstream_session &Session) {
  std::string Position = NoPosition;
  const auto &Node = Server.Node;
  if (Node.Applied > 0) {
    const auto &Last = Node.Log[Node.Applied - 1].Position;
    Position = toString(Last.Term) + "." + std::to_string(Last.Offset);
  }
  char State = Session.Failed ? 'E' : Session.Transaction ? 'T' : 'I';
  Session.Connection->output() +=
      std::string("READY ") + State + " " + Position + "\r\n";
  Session.Connection->flush();
}

void upstream_group::state::answer(server &Server, upstream_session &Session,
                                   const signed_answer &Answer) {
  auto &Out = Session.Connection->output();
  for (const auto &Row : Answer.Rows)
    Out += "ROW " + Row + "\r\n";
  Out += "DONE " + Answer.Signature + "\r\n";
  finish(Server, Session);
}

void upstream_group::state::refuse(server &Server, upstream_session &Session,
                                   const char *Code) {
  Session.Failed = Session.Failed || Session.Transaction.has_value();
  Session.Connection->output() += std::string("ERR ") + Code + " stand-in\r\n";
  finish(Server, Session);
}

signed_answer upstream_group::state::sign(const std::string &Id,
                                          std::vector<std::string> Rows) {
  signed_answer Answer{"s" + std::to_string(++Signatures), std::move(Rows)};
  if (Id == "-")
    Answer.Signature = "-";
  else
    Oracle.signs(Id, Answer);
  return Answer;
}

std::string upstream_group::state::status(const server &Server) const {
  const auto &Node = Server.Node;
  std::string Received = NoPosition;
  if (!Node.Log.empty())
    Received = toString(Node.Log.back().Position.Term) + "." +
               std::to_string(Node.Log.back().Position.Offset);
  return std::string(Node.Primary ? "primary " : "replica ") +
         toString(Node.Term) + " " + Received + " " + toString(Node.Held) +
         " 0 " + std::to_string(Node.Busy) + " " +
         std::to_string(Server.Sessions.size());
}

//===----------------------------------------------------------------------===//
// Statements
//===----------------------------------------------------------------------===//

void upstream_group::state::query(std::size_t Index,
                                  const session_pointer &Session,
                                  const upstream_statement &Statement) {
  auto &Server = Servers[Index];
  if (executeOwn(Server, *Session, Statement))
    return;
  if (Server.Node.Busy >= Settings.Slots + QueueLength)
    return refuse(Server, *Session, "BUSY");
  // Statements beyond the slots wait for those before them.
  auto Turns = 1 + Server.Node.Busy / Settings.Slots;
  ++Server.Node.Busy;
  Session->Busy = true;
  Session->Work = Timers.after(Settings.Work * static_cast<std::int64_t>(Turns),
                               [this, Index,
                                Weak = std::weak_ptr<upstream_session>(Session),
                                Statement] {
                                 auto Alive = Weak.lock();
                                 if (!Alive || Alive->Ended)
                                   return;
                                 --Servers[Index].Node.Busy;
                                 Alive->Busy = false;
                                 execute(Index, Alive, Statement);
                                 take(Index, Alive);
                               });
}

/// Statements that take no slot.
bool upstream_group::state::executeOwn(server &Server,
                                       upstream_session &Session,
                                       const upstream_statement &Statement) {
  auto &Node = Server.Node;
  const auto &Verb = Statement.Verb;
  const auto &Fields = Statement.Fields;
  std::vector<std::string> Rows;
  if (Verb == "SET") {
    Session.Settings[Fields.at(0)] = Fields.at(1);
  } else if (Verb == "RESET") {
    Session.Settings.clear();
    Session.Prepared.clear();
  } else if (Verb == "PREPARE") {
    Session.Prepared[Fields.at(0)] = {Fields.at(2), Fields.at(1) == "WRITE"};
  } else if (Verb == "DEALLOC") {
    Session.Prepared.erase(Fields.at(0));
  } else if (Verb == "ROLLBACK") {
    Session.Transaction.reset();
    Session.Failed = false;
  } else if (Verb == "STATUS") {
    Rows.push_back(status(Server));
  } else if (Verb == "PAUSE") {
    term Held(std::stoull(Fields.at(0)));
    if (!Node.Primary && Held > Node.Term)
      Node.Held = std::max(Node.Held, Held);
    Rows.push_back(status(Server));
  } else if (Verb == "RESUME") {
    Node.Held = term();
    Rows.push_back(status(Server));
  } else {
    return false;
  }
  answer(Server, Session, sign("-", std::move(Rows)));
  return true;
}

/// Whether a plain transaction may go on: its leader must still lead.
bool upstream_group::state::mayLead(const server &Server,
                                    const upstream_session &Session) const {
  const auto &Transaction = Session.Transaction;
  return !Transaction || !Transaction->Plain ||
         (Server.Node.Primary && Server.Node.Term == Transaction->Term);
}

void upstream_group::state::execute(std::size_t Index,
                                    const session_pointer &Session,
                                    const upstream_statement &Statement) {
  auto &Server = Servers[Index];
  if (Statement.After && !holdsPosition(Server.Node, *Statement.After))
    return refuse(Server, *Session, "LAGGING");
  if (Statement.Verb == "COMMIT")
    return commit(Server, *Session, Statement);
  if (Session->Failed)
    return refuse(Server, *Session, "MALFORMED");
  if (!mayLead(Server, *Session))
    return refuse(Server, *Session, "READONLY");
  if (Statement.Verb == "BEGIN")
    return begin(Server, *Session, Statement);
  runData(Server, *Session, Statement);
}

void upstream_group::state::begin(server &Server, upstream_session &Session,
                                  const upstream_statement &Statement) {
  bool Plain = Statement.Fields.empty();
  if (Plain && !Server.Node.Primary)
    return refuse(Server, Session, "READONLY");
  Session.Transaction =
      open_transaction{Oracle.nextNumber(), Plain, Server.Node.Term, {}, {}};
  answer(Server, Session, sign("-", {}));
}

void upstream_group::state::commit(server &Server, upstream_session &Session,
                                   const upstream_statement &Statement) {
  auto Transaction = std::exchange(Session.Transaction, std::nullopt);
  bool Failed = std::exchange(Session.Failed, false);
  if (Failed || !Transaction)
    return refuse(Server, Session, "ABORTED");
  auto Answer = sign(Statement.Id, {});
  if (Transaction->StatementIds.empty())
    return answer(Server, Session, Answer);
  if (!Server.Node.Primary || Server.Node.Term != Transaction->Term)
    return refuse(Server, Session, "READONLY");
  append(Server, Session, *Transaction, std::move(Answer));
}

void upstream_group::state::runData(server &Server, upstream_session &Session,
                                    const upstream_statement &Statement) {
  bool Writes = Statement.Verb == "WRITE";
  std::string Text = Statement.Text;
  auto Fields = Statement.Fields;
  if (Statement.Verb == "EXEC") {
    auto Found = Session.Prepared.find(Fields.at(0));
    if (Found == Session.Prepared.end())
      return refuse(Server, Session, "NOSTMT");
    Writes = Found->second.Writes;
    Fields.erase(Fields.begin());
    Text = Found->second.Shape;
    for (const auto &Field : Fields)
      Text += " " + Field;
  }
  if (Writes && !Server.Node.Primary)
    return refuse(Server, Session, "READONLY");
  auto Number = Session.Transaction ? Session.Transaction->Number : 0;
  Oracle.ran({Statement.Id, Text, Number, Session.Settings});
  if (!Writes) {
    Oracle.read(Statement.Id, Server.Node.Log, Server.Node.Applied);
    auto Value = valueOf(Server.Node, Session.Transaction, Fields.at(0));
    return answer(Server, Session, sign(Statement.Id, {Value}));
  }
  auto Answer = sign(Statement.Id, {});
  open_transaction Single{0, true, Server.Node.Term, {}, {}};
  auto &Target = Session.Transaction ? *Session.Transaction : Single;
  Target.StatementIds.push_back(Statement.Id);
  Target.Items[Fields.at(0)] = Fields.at(1);
  if (Session.Transaction)
    return answer(Server, Session, Answer);
  append(Server, Session, Single, std::move(Answer));
}

/// Puts a commit into the log; its answer waits until a replica has it.
void upstream_group::state::append(server &Server, upstream_session &Session,
                                   const open_transaction &Transaction,
                                   signed_answer Answer) {
  auto &Node = Server.Node;
  log_entry Entry;
  Entry.Position = {Node.Term, Node.Log.size() + 1};
  Entry.Number = Oracle.nextNumber();
  Entry.StatementIds = Transaction.StatementIds;
  Entry.Items = Transaction.Items;
  Node.Log.push_back(Entry);
  Node.ReceivedAt.push_back(Timers.now());
  Node.Applied = Node.Log.size();
  Oracle.committed(Entry);
  Session.Busy = true;
  Session.AwaitedOffset = Entry.Position.Offset;
  Session.AwaitedNumber = Entry.Number;
  Session.AwaitedAnswer = std::move(Answer);
}

} // namespace teasellock::soak
