#include "tests/soak/soak_caller.h"

#include "platform/line_codec.h"

namespace teasellock::soak {

namespace {

constexpr duration ConnectTimeout = std::chrono::milliseconds(2000);
/// A statement that is not answered by then is given up.
constexpr duration AnswerTimeout = std::chrono::milliseconds(4000);
constexpr duration ReconnectPause = std::chrono::milliseconds(50);
constexpr duration OperationPause = std::chrono::milliseconds(10);
constexpr std::uint64_t Items = 20;
constexpr std::uint64_t MostInTransaction = 4;
/// One session in so many ends after an operation.
constexpr std::uint64_t OperationsOfASession = 40;
constexpr const char *PreparedName = "p1";
constexpr const char *PreparedShape = "booking";

const line_protocol &protocol() { return platform::lineProtocol(); }

/// Whether the caller is promised that nothing is kept.
bool isPromise(line_error Code) {
  return Code == line_error::Busy || Code == line_error::Aborted ||
         Code == line_error::Lagging || Code == line_error::ReadOnly ||
         Code == line_error::Misrouted || Code == line_error::TooMany;
}

} // namespace

soak_caller::soak_caller(daemon_context &Context, oracle &Oracle,
                         caller_options Given)
    : Context(Context), Oracle(Oracle), Options(std::move(Given)),
      Random(Options.Seed) {
  reconnect();
}

std::uint64_t soak_caller::draw(std::uint64_t Below) {
  return std::uniform_int_distribution<std::uint64_t>(0, Below - 1)(Random);
}

//===----------------------------------------------------------------------===//
// Session
//===----------------------------------------------------------------------===//

void soak_caller::reconnect() {
  Pause = Context.Timers.after(ReconnectPause, [this] {
    if (Stopped)
      return;
    Session = Oracle.nextNumber();
    Database = Options.Databases[draw(Options.Databases.size())];
    Settings.clear();
    Prepared = false;
    line_target Target;
    Target.Address = Options.Entries[draw(Options.Entries.size())];
    Target.Service = Database.Name;
    Target.User = "u" + std::to_string(Options.Number);
    Target.ConnectTimeout = ConnectTimeout;
    Connection = std::make_unique<line_connection>(
        Context, protocol(), Target, [this](const line_opening &Opening) {
          if (Opening.Problem)
            return reconnect();
          nextOperation();
        });
  });
}

void soak_caller::nextOperation() {
  Pause = Context.Timers.after(OperationPause, [this] {
    if (!Connection->isOpen() || draw(OperationsOfASession) == 0)
      return reconnect();
    planOperation();
    StartedAt = Context.Timers.now();
    Next = 0;
    CommitSent = false;
    WriteIds.clear();
    runStep();
  });
}

//===----------------------------------------------------------------------===//
// Operations
//===----------------------------------------------------------------------===//

soak_caller::step soak_caller::readStep() {
  std::string Text = "READ k" + std::to_string(draw(Items));
  return {step_kind::Read, Text, Text, false};
}

soak_caller::step soak_caller::writeStep() {
  std::string Text = "WRITE k" + std::to_string(draw(Items)) + " d" +
                     std::to_string(Options.Number) + "x" +
                     std::to_string(LastId + Steps.size());
  return {step_kind::Write, Text, Text, true};
}

void soak_caller::planOperation() {
  Steps.clear();
  Transaction = 0;
  constexpr std::uint64_t Kinds = 10;
  std::uint64_t Kind = draw(Kinds);
  if (Kind == 0) {
    std::string Value = std::to_string(draw(5));
    Steps.push_back({step_kind::Set, "SET zone " + Value, Value, false});
  }
  if (Kind <= 6)
    return planSingle();
  planTransaction();
}

void soak_caller::planSingle() {
  constexpr std::uint64_t Kinds = 6;
  switch (draw(Kinds)) {
  case 0: {
    if (!Prepared)
      Steps.push_back(
          {step_kind::Prepare,
           std::string("PREPARE ") + PreparedName + " READ " + PreparedShape,
           "", false});
    std::string Arguments = " k" + std::to_string(draw(Items));
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
  for (std::uint64_t Left = 1 + draw(MostInTransaction); Left > 0; --Left)
    Steps.push_back(draw(2) == 0 ? readStep() : writeStep());
  bool Commits = draw(5) != 0;
  Steps.push_back({Commits ? step_kind::Commit : step_kind::Rollback,
                   Commits ? "COMMIT" : "ROLLBACK", "", false});
}

void soak_caller::runStep() {
  const auto &Step = Steps[Next];
  Id = "c" + std::to_string(Options.Number) + "-" + std::to_string(++LastId);
  bool Data = Step.Kind == step_kind::Read || Step.Kind == step_kind::Write ||
              Step.Kind == step_kind::Execute;
  if (Data)
    Oracle.sent(
        {Id, Step.Meaning, Options.Number, Transaction, Settings, Step.Writes});
  if (Data && !Step.Writes)
    Oracle.readStarts(Id, Session, Database.Allowance,
                      Transaction ? StartedAt : Context.Timers.now());
  if (Step.Writes)
    WriteIds.push_back(Id);
  CommitSent = CommitSent || Step.Kind == step_kind::Commit ||
               (Step.Writes && Transaction == 0);
  std::string Bytes;
  protocol().AppendStatement(Bytes, Id, Step.Text, std::nullopt);
  Deadline = Context.Timers.after(AnswerTimeout, [this] { lose(); });
  Connection->run(std::move(Bytes), 1,
                  [this](const line_run &Run) { onRun(Run); });
}

void soak_caller::onRun(const line_run &Run) {
  Deadline.cancel();
  if (Run.Answers.empty())
    return lose();
  const auto &Answer = Run.Answers.front();
  if (Answer.Failure)
    return onFailure(*Answer.Failure, Answer.Ready.State);
  onSuccess(Answer);
}

void soak_caller::onSuccess(const line_answer &Answer) {
  const auto &Step = Steps[Next];
  switch (Step.Kind) {
  case step_kind::Set:
    Settings["zone"] = Step.Meaning;
    break;
  case step_kind::Prepare:
    Prepared = true;
    break;
  case step_kind::Read:
  case step_kind::Write:
  case step_kind::Execute:
    Oracle.succeeded(Id, {Answer.Signature, Answer.Rows});
    break;
  default:
    break;
  }
  if (++Next < Steps.size())
    return runStep();
  if (CommitSent)
    Oracle.acknowledged(Session, Database.Allowance.Group, WriteIds,
                        Context.Timers.now());
  ++Counts.Succeeded;
  LastSuccess = Context.Timers.now();
  endOperation();
}

void soak_caller::onFailure(const line_failure &Failure, char State) {
  // A transaction whose end was not asked for is never kept.
  if (isPromise(Failure.Code) || !CommitSent) {
    Oracle.notKept(WriteIds);
    ++Counts.Refused;
  } else {
    ++Counts.Unknown;
  }
  if (State == 'I')
    return endOperation();
  Steps = {{step_kind::Rollback, "ROLLBACK", "", false}};
  Next = 0;
  WriteIds.clear();
  CommitSent = false;
  --Counts.Succeeded;
  runStep();
}

void soak_caller::endOperation() {
  if (!Stopped)
    nextOperation();
}

/// The session ended, or an answer did not come.
void soak_caller::lose() {
  Deadline.cancel();
  if (!CommitSent)
    Oracle.notKept(WriteIds);
  ++Counts.Broken;
  // The connection's callback may be running.
  Context.Loop.post([Keep = std::shared_ptr<line_connection>(
                         std::move(Connection))] { Keep->close(); });
  reconnect();
}

} // namespace teasellock::soak
