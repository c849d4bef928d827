#include "tests/soak/upstream_group_state.h"

#include <set>
#include <utility>

namespace teasellock::soak {

namespace {

/// Maximum number of statements that wait for execution; more are refused.
constexpr std::size_t QueueLength = 24;
constexpr const char *NoPosition = "-";

} // namespace

//===----------------------------------------------------------------------===//
// Connections
//===----------------------------------------------------------------------===//

void upstream_group::state::listen(std::size_t Index) {
  auto &Server = Servers[Index];
  Server.Listener = stand_in::listenOn(Server.Address);
  Server.Address = stand_in::boundEndpoint(Server.Listener);
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
        if (auto LockedSession = Weak.lock())
          processInput(Index, LockedSession);
      },
      [this, Index, Weak] {
        Loop.post([this, Index, LockedSession = Weak.lock()] {
          if (!LockedSession)
            return;
          LockedSession->IsClosed = true;
          std::erase(Servers[Index].Sessions, LockedSession);
        });
      });
  Server.Sessions.push_back(std::move(Session));
}

void upstream_group::state::endSessions(server &Server) {
  for (auto &Session : Server.Sessions) {
    Session->IsClosed = true;
    Session->ExecutionTimer.cancel();
  }
  Server.Sessions.clear();
  Server.Node.RunningStatements = 0;
}

void upstream_group::state::processInput(std::size_t Index,
                                         const session_pointer &Session) {
  while (!Session->IsClosed && !Session->IsBusy) {
    auto Input = Session->Connection->input();
    std::size_t End = Input.find("\r\n");
    if (End == std::string_view::npos)
      return;
    std::string Line(Input.substr(0, End));
    Session->Connection->consume(End + 2);
    if (Settings.OnLine)
      Settings.OnLine(Line);
    if (!Servers[Index].Node.IsSilent)
      handleLine(Index, Session, Line);
  }
}

void upstream_group::state::handleLine(std::size_t Index,
                                       const session_pointer &Session,
                                       const std::string &Line) {
  if (!Session->IsStarted)
    return handleStart(Index, *Session, Line);
  if (Line.starts_with("QUERY "))
    return queueStatement(Index, Session,
                          parseUpstreamStatement(Line.substr(6)));
  Session->IsClosed = true;
  Loop.post(
      [this, Index, Session] { std::erase(Servers[Index].Sessions, Session); });
}

/// Handles "START service user [id]".
void upstream_group::state::handleStart(std::size_t Index,
                                        upstream_session &Session,
                                        const std::string &Line) {
  auto &Server = Servers[Index];
  std::string Expected = "START " + Settings.Group.Value + " ";
  bool Named = Line.starts_with(Expected);
  std::size_t Blank = Line.find(' ', Expected.size());
  if (Named && Blank != std::string::npos)
    Named = Line.substr(Blank + 1) == Server.Node.Id;
  if (!Named || Server.Sessions.size() > Settings.MaxConnections) {
    Session.Connection->output() +=
        Named ? "ERR TOOMANY full\r\n" : "ERR MISROUTED other\r\n";
    return Session.Connection->flush();
  }
  Session.IsStarted = true;
  Session.User = Line.substr(Expected.size(), Blank - Expected.size());
  ++SessionsOfUsers[Session.User];
  sendReady(Server, Session);
}

//===----------------------------------------------------------------------===//
// Results
//===----------------------------------------------------------------------===//

void upstream_group::state::sendReady(server &Server,
                                      upstream_session &Session) {
  std::string Position = NoPosition;
  const auto &Node = Server.Node;
  if (Node.AppliedCount > 0) {
    const auto &Last = Node.Log[Node.AppliedCount - 1].Position;
    Position = toString(Last.Term) + "." + std::to_string(Last.Offset);
  }
  char State = Session.TransactionFailed ? 'E'
               : Session.Transaction     ? 'T'
                                         : 'I';
  Session.Connection->output() +=
      std::string("READY ") + State + " " + Position + "\r\n";
  Session.Connection->flush();
}

void upstream_group::state::sendResult(server &Server,
                                       upstream_session &Session,
                                       const signed_result &Result) {
  auto &Out = Session.Connection->output();
  for (const auto &Row : Result.Rows)
    Out += "ROW " + Row + "\r\n";
  Out += "DONE " + Result.Signature + "\r\n";
  sendReady(Server, Session);
}

void upstream_group::state::sendError(server &Server, upstream_session &Session,
                                      const char *Code) {
  Session.TransactionFailed =
      Session.TransactionFailed || Session.Transaction.has_value();
  Session.Connection->output() += std::string("ERR ") + Code + " stand-in\r\n";
  sendReady(Server, Session);
}

signed_result upstream_group::state::sign(const std::string &Id,
                                          std::vector<std::string> Rows) {
  signed_result Result{"s" + std::to_string(++LastSignature), std::move(Rows)};
  if (Id == "-")
    Result.Signature = "-";
  else
    Oracle.recordResult(Id, Result);
  return Result;
}

std::string upstream_group::state::status(const server &Server) const {
  const auto &Node = Server.Node;
  std::string Received = NoPosition;
  if (!Node.Log.empty())
    Received = toString(Node.Log.back().Position.Term) + "." +
               std::to_string(Node.Log.back().Position.Offset);
  return std::string(Node.IsPrimary ? "primary " : "replica ") +
         toString(Node.Term) + " " + Received + " " +
         toString(Node.PausedTerm) + " 0 " +
         std::to_string(Node.RunningStatements) + " " +
         std::to_string(Server.Sessions.size());
}

//===----------------------------------------------------------------------===//
// Statements
//===----------------------------------------------------------------------===//

void upstream_group::state::queueStatement(
    std::size_t Index, const session_pointer &Session,
    const upstream_statement &Statement) {
  auto &Server = Servers[Index];
  UsersOfStatements[Statement.Id].insert(Session->User);
  if (injectFault(Index, Session, Statement) ||
      executeImmediately(Server, *Session, Statement))
    return;
  if (Server.Node.RunningStatements >=
      Settings.ConcurrentStatements + QueueLength)
    return sendError(Server, *Session, "BUSY");
  // Statements beyond the limit wait until the earlier ones are done.
  auto Turns =
      1 + Server.Node.RunningStatements / Settings.ConcurrentStatements;
  ++Server.Node.RunningStatements;
  Session->IsBusy = true;
  Session->ExecutionTimer = Timers.after(
      Settings.ExecutionTime * static_cast<std::int64_t>(Turns),
      [this, Index, Weak = std::weak_ptr<upstream_session>(Session),
       Statement] {
        auto LockedSession = Weak.lock();
        if (!LockedSession || LockedSession->IsClosed)
          return;
        --Servers[Index].Node.RunningStatements;
        LockedSession->IsBusy = false;
        execute(Index, LockedSession, Statement);
        processInput(Index, LockedSession);
      });
}

/// Answers a statement with the fault that the settings select for it. Returns
/// false if they select none.
bool upstream_group::state::injectFault(std::size_t Index,
                                        const session_pointer &Session,
                                        const upstream_statement &Statement) {
  const std::set<std::string> Orders{"STATUS", "PAUSE", "DEMOTE", "RESUME"};
  if (!SelectFault || Orders.contains(Statement.Verb))
    return false;
  auto Fault = SelectFault(Statement.Verb);
  switch (Fault) {
  case statement_fault::None:
    return false;
  case statement_fault::ReadOnly:
  case statement_fault::Failed:
    // A commit ends its transaction, whatever the answer is.
    if (Statement.Verb == "COMMIT") {
      Session->Transaction.reset();
      Session->TransactionFailed = false;
    }
    sendError(Servers[Index], *Session,
              Fault == statement_fault::ReadOnly ? "READONLY" : "FAILED");
    return true;
  case statement_fault::Reset:
    Session->IsClosed = true;
    Loop.post([this, Index, Session] {
      std::erase(Servers[Index].Sessions, Session);
    });
    return true;
  case statement_fault::Silent:
    Session->IsBusy = true;
    return true;
  case statement_fault::Lost:
    return true;
  }
  return true;
}

/// Executes statements that don't count towards the limit. Returns false for
/// others.
bool upstream_group::state::executeImmediately(
    server &Server, upstream_session &Session,
    const upstream_statement &Statement) {
  auto &Node = Server.Node;
  const auto &Verb = Statement.Verb;
  const auto &Fields = Statement.Fields;
  std::vector<std::string> Rows;
  bool ChangesSession = Verb == "SET" || Verb == "RESET" || Verb == "PREPARE" ||
                        Verb == "DEALLOC";
  if (ChangesSession && Session.TransactionFailed) {
    sendError(Server, Session, "MALFORMED");
    return true;
  }
  if (ChangesSession && !isTransactionAllowed(Server, Session)) {
    sendError(Server, Session, "READONLY");
    return true;
  }
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
    Session.TransactionFailed = false;
  } else if (Verb == "STATUS") {
    Rows.push_back(status(Server));
  } else if (Verb == "PAUSE") {
    term RequestedTerm(std::stoull(Fields.at(0)));
    if (!Node.IsPrimary && RequestedTerm > Node.Term)
      Node.PausedTerm = std::max(Node.PausedTerm, RequestedTerm);
    Rows.push_back(status(Server));
  } else if (Verb == "DEMOTE") {
    demote(Server, term(std::stoull(Fields.at(0))));
    Rows.push_back(status(Server));
  } else if (Verb == "RESUME") {
    Node.PausedTerm = term();
    Rows.push_back(status(Server));
  } else {
    return false;
  }
  sendResult(Server, Session, sign("-", std::move(Rows)));
  return true;
}

/// Reports whether a transaction may continue. A read-write transaction
/// requires that the upstream is still the primary of the same term.
bool upstream_group::state::isTransactionAllowed(
    const server &Server, const upstream_session &Session) const {
  const auto &Transaction = Session.Transaction;
  return !Transaction || !Transaction->IsReadWrite ||
         (Server.Node.IsPrimary && Server.Node.Term == Transaction->Term);
}

void upstream_group::state::execute(std::size_t Index,
                                    const session_pointer &Session,
                                    const upstream_statement &Statement) {
  auto &Server = Servers[Index];
  if (Statement.After && !hasApplied(Server.Node, *Statement.After))
    return sendError(Server, *Session, "LAGGING");
  if (Statement.Verb == "COMMIT")
    return executeCommit(Server, *Session, Statement);
  if (Session->TransactionFailed)
    return sendError(Server, *Session, "MALFORMED");
  if (!isTransactionAllowed(Server, *Session))
    return sendError(Server, *Session, "READONLY");
  if (Statement.Verb == "BEGIN")
    return executeBegin(Server, *Session, Statement);
  executeDataStatement(Server, *Session, Statement);
}

void upstream_group::state::executeBegin(server &Server,
                                         upstream_session &Session,
                                         const upstream_statement &Statement) {
  bool Plain = Statement.Fields.empty();
  if (Plain && !Server.Node.IsPrimary)
    return sendError(Server, Session, "READONLY");
  Session.Transaction =
      open_transaction{Oracle.nextNumber(), Plain, Server.Node.Term, {}, {}};
  sendResult(Server, Session, sign("-", {}));
}

void upstream_group::state::executeCommit(server &Server,
                                          upstream_session &Session,
                                          const upstream_statement &Statement) {
  auto Transaction = std::exchange(Session.Transaction, std::nullopt);
  bool Failed = std::exchange(Session.TransactionFailed, false);
  if (Failed || !Transaction)
    return sendError(Server, Session, "ABORTED");
  auto Result = sign(Statement.Id, {});
  if (Transaction->StatementIds.empty())
    return sendResult(Server, Session, Result);
  if (!Server.Node.IsPrimary || Server.Node.Term != Transaction->Term)
    return sendError(Server, Session, "READONLY");
  appendCommit(Server, Session, *Transaction, std::move(Result));
}

void upstream_group::state::executeDataStatement(
    server &Server, upstream_session &Session,
    const upstream_statement &Statement) {
  bool Writes = Statement.Verb == "WRITE";
  std::string Text = Statement.Text;
  auto Fields = Statement.Fields;
  if (Statement.Verb == "EXEC") {
    auto Found = Session.Prepared.find(Fields.at(0));
    if (Found == Session.Prepared.end()) {
      ++UnknownNames;
      return sendError(Server, Session, "NOSTMT");
    }
    Writes = Found->second.IsWrite;
    Fields.erase(Fields.begin());
    Text = Found->second.Text;
    for (const auto &Field : Fields)
      Text += " " + Field;
  }
  if (Writes && !Server.Node.IsPrimary)
    return sendError(Server, Session, "READONLY");
  auto Number = Session.Transaction ? Session.Transaction->Number : 0;
  Oracle.checkExecution({Statement.Id, Text, Number, Session.Settings});
  if (Settings.OnExecution)
    Settings.OnExecution(Statement.Id, Session.User);
  if (!Writes) {
    Oracle.checkRead(Statement.Id, Server.Node.Log, Server.Node.AppliedCount);
    auto Value = readItem(Server.Node, Session.Transaction, Fields.at(0));
    return sendResult(Server, Session, sign(Statement.Id, {Value}));
  }
  auto Result = sign(Statement.Id, {});
  open_transaction Single{0, true, Server.Node.Term, {}, {}};
  auto &Target = Session.Transaction ? *Session.Transaction : Single;
  Target.StatementIds.push_back(Statement.Id);
  Target.Items[Fields.at(0)] = Fields.at(1);
  if (Session.Transaction)
    return sendResult(Server, Session, Result);
  appendCommit(Server, Session, Single, std::move(Result));
}

/// Appends a commit to the log. Its result is sent when a replica has received
/// it.
void upstream_group::state::appendCommit(server &Server,
                                         upstream_session &Session,
                                         const open_transaction &Transaction,
                                         signed_result Result) {
  auto &Node = Server.Node;
  log_entry Entry;
  Entry.Position = {Node.Term, Node.Log.size() + 1};
  Entry.Number = Oracle.nextNumber();
  Entry.StatementIds = Transaction.StatementIds;
  Entry.Items = Transaction.Items;
  Node.Log.push_back(Entry);
  Node.ReceivedAt.push_back(Timers.now());
  Node.AppliedCount = Node.Log.size();
  Oracle.recordCommit(Entry);
  Session.IsBusy = true;
  Session.AwaitedOffset = Entry.Position.Offset;
  Session.AwaitedNumber = Entry.Number;
  Session.AwaitedResult = std::move(Result);
}

} // namespace teasellock::soak
