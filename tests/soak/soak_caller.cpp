#include "tests/soak/soak_caller.h"

#include "platform/line_codec.h"

namespace teasellock::soak {

namespace {

constexpr duration ConnectTimeout = std::chrono::milliseconds(2000);
/// The caller abandons the connection if a result takes longer.
constexpr duration AnswerTimeout = std::chrono::milliseconds(4000);
constexpr duration ReconnectPause = std::chrono::milliseconds(50);
/// One caller of this many leaves within MaxOpeningMs after it has sent the
/// first statement of a transaction, without waiting for the result.
constexpr std::uint64_t LeavingShare = 12;
constexpr std::uint64_t MaxOpeningMs = 6;
constexpr std::uint64_t Items = 20;
constexpr std::uint64_t MaxTransactionStatements = 4;
/// Mean number of operations in a session.
constexpr std::uint64_t MeanSessionOperations = 40;
constexpr const char *PreparedName = "p1";
constexpr const char *PreparedShape = "booking";

/// Appends a caller's START message, which doesn't name an upstream.
void appendCallerStart(std::string &Out, const std::string &Database,
                       const std::string &Key, const std::string &) {
  Out += "START " + Database + " " + Key + "\r\n";
}

const line_protocol &protocol() {
  static const line_protocol Protocol = [] {
    auto Result = platform::lineProtocol();
    Result.AppendStart = appendCallerStart;
    return Result;
  }();
  return Protocol;
}

/// Reports whether the error guarantees that nothing is committed.
bool guaranteesNotCommitted(line_error Code) {
  return Code == line_error::Busy || Code == line_error::Aborted ||
         Code == line_error::Lagging || Code == line_error::ReadOnly ||
         Code == line_error::Misrouted || Code == line_error::TooMany ||
         Code == line_error::Unauthorized;
}

} // namespace

soak_caller::soak_caller(daemon_context &Context, oracle &Oracle,
                         caller_options Given)
    : Context(Context), Oracle(Oracle), Options(std::move(Given)),
      Random(Options.Seed) {
  reconnect();
}

std::uint64_t soak_caller::randomBelow(std::uint64_t Below) {
  return std::uniform_int_distribution<std::uint64_t>(0, Below - 1)(Random);
}

//===----------------------------------------------------------------------===//
// Session
//===----------------------------------------------------------------------===//

void soak_caller::reconnect() {
  PauseTimer = Context.Timers.after(ReconnectPause, [this] {
    if (Stopped)
      return;
    Session = Oracle.nextNumber();
    Database = Options.Databases[randomBelow(Options.Databases.size())];
    Settings.clear();
    Prepared = false;
    line_target Target;
    Entry = randomBelow(Options.Entries.size());
    Target.Address = Options.Entries[Entry];
    Target.Service = Database.Name;
    Target.User = Options.Key.empty() ? "u" + std::to_string(Options.Number)
                                      : Options.Key;
    Target.ConnectTimeout = ConnectTimeout;
    Request = nextRequest();
    Connection = std::make_unique<line_connection>(
        Context, protocol(), Target,
        [this](const line_connect_result &Opening) {
          if (!Opening.Problem || Opening.Code == line_error::Unauthorized)
            checkAdmission(Request, !Opening.Problem);
          if (Opening.Problem)
            return reconnect();
          nextOperation();
        });
  });
}

/// Returns the origin of a message that is sent now.
caller_request soak_caller::nextRequest() const {
  auto Now = Context.Timers.now();
  return {Options.Key, Entry, Database.IsPublic, Now, DataSentAt.value_or(Now),
          OperationId};
}

void soak_caller::checkAdmission(const caller_request &Request,
                                 bool IsAdmitted) {
  if (Options.Organisations)
    Options.Organisations->checkAnswer(Request, IsAdmitted,
                                       Context.Timers.now());
}

void soak_caller::nextOperation() {
  PauseTimer = Context.Timers.after(OperationPause, [this] {
    if (!Connection->isOpen() || randomBelow(MeanSessionOperations) == 0)
      return reconnect();
    planOperation();
    StartedAt = Context.Timers.now();
    DataSentAt.reset();
    NextStep = 0;
    CommitSent = false;
    WriteIds.clear();
    executeStep();
  });
}

//===----------------------------------------------------------------------===//
// Operations
//===----------------------------------------------------------------------===//

soak_caller::step soak_caller::readStep() {
  std::string Text = "READ k" + std::to_string(randomBelow(Items));
  return {step_kind::Read, Text, Text, false};
}

soak_caller::step soak_caller::writeStep() {
  std::string Text = "WRITE k" + std::to_string(randomBelow(Items)) + " d" +
                     std::to_string(Options.Number) + "x" +
                     std::to_string(LastId + Steps.size());
  return {step_kind::Write, Text, Text, true};
}

void soak_caller::planOperation() {
  Steps.clear();
  Transaction = 0;
  constexpr std::uint64_t Kinds = 10;
  std::uint64_t Kind = randomBelow(Kinds);
  if (Kind == 0) {
    std::string Value = std::to_string(randomBelow(5));
    Steps.push_back({step_kind::Set, "SET zone " + Value, Value, false});
  }
  if (Kind <= 6)
    return planSingleStatement();
  planTransaction();
}

void soak_caller::planSingleStatement() {
  constexpr std::uint64_t Kinds = 6;
  switch (randomBelow(Kinds)) {
  case 0: {
    if (!Prepared)
      Steps.push_back(
          {step_kind::Prepare,
           std::string("PREPARE ") + PreparedName + " READ " + PreparedShape,
           "", false});
    std::string Arguments = " k" + std::to_string(randomBelow(Items));
    Steps.push_back({step_kind::Execute,
                     std::string("EXEC ") + PreparedName + Arguments,
                     PreparedShape + Arguments, false});
    return;
  }
  case 1:
  case 2:
    Steps.push_back(writeStep());
    return;
  default:
    Steps.push_back(readStep());
  }
}

void soak_caller::planTransaction() {
  Transaction = ++LastId;
  Steps.push_back({step_kind::Begin, "BEGIN", "", false});
  for (std::uint64_t Left = 1 + randomBelow(MaxTransactionStatements); Left > 0;
       --Left)
    Steps.push_back(randomBelow(2) == 0 ? readStep() : writeStep());
  bool Commits = randomBelow(5) != 0;
  Steps.push_back({Commits ? step_kind::Commit : step_kind::Rollback,
                   Commits ? "COMMIT" : "ROLLBACK", "", false});
}

void soak_caller::executeStep() {
  const auto &Step = Steps[NextStep];
  StatementId =
      "c" + std::to_string(Options.Number) + "-" + std::to_string(++LastId);
  bool Data = Step.Kind == step_kind::Read || Step.Kind == step_kind::Write ||
              Step.Kind == step_kind::Execute;
  if (Data)
    Oracle.recordSent({StatementId, Step.ExpectedText, Options.Number,
                       Transaction, Settings, Step.Writes});
  if (Data && !DataSentAt) {
    DataSentAt = Context.Timers.now();
    OperationId = StatementId;
  }
  Request = nextRequest();
  if (Data && Options.Organisations)
    Options.Organisations->recordSent(StatementId, Request);
  if (Data && !Step.Writes)
    Oracle.recordReadStart(StatementId, Session, Database.Allowance,
                           Transaction ? StartedAt : Context.Timers.now());
  if (Step.Writes)
    WriteIds.push_back(StatementId);
  CommitSent = CommitSent || Step.Kind == step_kind::Commit ||
               (Step.Writes && Transaction == 0);
  std::string Bytes;
  protocol().AppendStatement(Bytes, StatementId, Step.SentText, std::nullopt);
  bool Opens = Transaction != 0 && NextStep == 1;
  bool Leaves = Opens && randomBelow(LeavingShare) == 0;
  AnswerTimer = Context.Timers.after(
      Leaves ? std::chrono::milliseconds(randomBelow(MaxOpeningMs))
             : AnswerTimeout,
      [this] { abandonConnection(); });
  Connection->executeBatch(
      std::move(Bytes), {answer_kind::Any},
      [this, Used = Connection.get()](const line_batch_result &Run) {
        // An abandoned connection may receive its answer before it is closed.
        if (Used == Connection.get())
          handleBatchResult(Run);
      });
}

void soak_caller::handleBatchResult(const line_batch_result &Run) {
  AnswerTimer.cancel();
  if (Run.Answers.empty())
    return abandonConnection();
  const auto &Answer = Run.Answers.front();
  if (Answer.Failure)
    return handleFailure(*Answer.Failure, Answer.Ready.State);
  handleSuccess(Answer);
}

void soak_caller::handleSuccess(const line_answer &Answer) {
  const auto &Step = Steps[NextStep];
  // The end of a failed transaction executes nothing and needs no key.
  if (Step.Kind != step_kind::Rollback)
    checkAdmission(Request, true);
  switch (Step.Kind) {
  case step_kind::Set:
    Settings["zone"] = Step.ExpectedText;
    break;
  case step_kind::Prepare:
    Prepared = true;
    break;
  case step_kind::Read:
  case step_kind::Write:
  case step_kind::Execute:
    Oracle.checkResult(StatementId, {Answer.Signature, Answer.Rows});
    break;
  default:
    break;
  }
  if (++NextStep < Steps.size())
    return executeStep();
  if (CommitSent)
    Oracle.recordAcknowledgement(Session, Database.Allowance.Group, WriteIds,
                                 Context.Timers.now());
  ++Counts.Succeeded;
  LastSuccess = Context.Timers.now();
  endOperation();
}

void soak_caller::handleFailure(const line_failure &Failure, char State) {
  if (Options.Organisations)
    Options.Organisations->checkText(Failure.Text, "an error's text");
  if (Failure.Code == line_error::Unauthorized)
    checkAdmission(Request, false);
  // A transaction is never committed before its COMMIT has been sent.
  if (guaranteesNotCommitted(Failure.Code) || !CommitSent) {
    Oracle.recordNotCommitted(WriteIds);
    ++Counts.Refused;
  } else {
    ++Counts.Unknown;
  }
  if (State == 'I')
    return endOperation();
  Steps = {{step_kind::Rollback, "ROLLBACK", "", false}};
  NextStep = 0;
  WriteIds.clear();
  CommitSent = false;
  --Counts.Succeeded;
  executeStep();
}

void soak_caller::stop() {
  Stopped = true;
  PauseTimer.cancel();
  AnswerTimer.cancel();
  if (Connection)
    Connection->close();
}

void soak_caller::endOperation() {
  if (!Stopped)
    nextOperation();
}

/// Called when the connection was lost or a result timed out.
void soak_caller::abandonConnection() {
  AnswerTimer.cancel();
  if (!CommitSent)
    Oracle.recordNotCommitted(WriteIds);
  ++Counts.ConnectionsLost;
  // Closed later, since the connection's callback may be running.
  Context.Loop.post([Keep = std::shared_ptr<line_connection>(
                         std::move(Connection))] { Keep->close(); });
  reconnect();
}

} // namespace teasellock::soak
