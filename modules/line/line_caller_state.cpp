#include "modules/line/line_caller_state.h"

#include <algorithm>
#include <utility>

namespace teasellock {

namespace {

/// For statements of a route without a statement timeout.
constexpr duration DefaultStatementTimeout = std::chrono::milliseconds(5000);

const line_protocol &protocol(const line_environment &Environment) {
  return *Environment.Protocol;
}

void appendReady(const line_caller_state &State,
                 const line_environment &Environment, line_effects &Effects) {
  protocol(Environment).AppendReady(Effects.Out, State.TransactionStatus);
}

void appendSuccess(const line_caller_state &State,
                   const line_environment &Environment, line_effects &Effects) {
  protocol(Environment).AppendDone(Effects.Out);
  appendReady(State, Environment, Effects);
}

void appendError(const line_caller_state &State,
                 const line_environment &Environment, line_error Code,
                 const std::string &Reason, line_effects &Effects) {
  protocol(Environment).AppendError(Effects.Out, Code, Reason);
  appendReady(State, Environment, Effects);
}

/// Resets the transaction state and releases the transaction if a gateway holds
/// it.
void endTransaction(line_caller_state &State, line_effects &Effects) {
  if (State.OpenAtGateway)
    Effects.Release = State.Transaction;
  State.TransactionStatus = 'I';
  State.OpenAtGateway = false;
  State.IdleTimedOut = false;
  State.ReadOnly = false;
  State.Route.reset();
  State.Transaction = {};
}

void handleStart(line_caller_state &State, const line_environment &Environment,
                 const line_start &Start, line_effects &Effects) {
  State.Database = database_id(Start.Database);
  if (!Environment.FindRoute(State.Database)) {
    bool Known = Environment.IsDeploymentKnown();
    protocol(Environment)
        .AppendError(
            Effects.Out, Known ? line_error::NoDatabase : line_error::Busy,
            Known ? "no database of that name" : "no deployment is known yet");
    State.Phase = line_caller_state::phase::Closed;
    Effects.Close = true;
    return;
  }
  State.Phase = line_caller_state::phase::Ready;
  appendReady(State, Environment, Effects);
}

wire::line_step stepOf(const line_caller_state &State,
                       const line_statement &Statement) {
  wire::line_step Step;
  Step.id = Statement.Id;
  Step.text = Statement.Text;
  Step.writes = Statement.Writes;
  switch (Statement.Verb) {
  case line_verb::Write:
    Step.verb = wire::line_verb::write;
    break;
  case line_verb::Commit:
    Step.verb = wire::line_verb::commit;
    break;
  case line_verb::Execute: {
    const auto &Prepared = State.Prepared.at(Statement.Name);
    Step.verb = wire::line_verb::execute;
    Step.shape = Prepared.Shape;
    Step.writes = Prepared.Writes;
    Step.arguments = Statement.Value;
    Step.text.clear();
    break;
  }
  default:
    Step.verb = wire::line_verb::read;
  }
  return Step;
}

void submitStatement(line_caller_state &State, const route &Route,
                     const line_statement &Statement,
                     transaction_id NextTransaction, line_effects &Effects) {
  wire::statement_request Request;
  Request.group = Route.Group.Value;
  Request.__set_line(stepOf(State, Statement));
  Request.access = Request.line.writes ? wire::statement_access::write
                                       : wire::statement_access::read;
  Request.settings = State.Settings;
  Request.priority = static_cast<std::int32_t>(Route.Priority);
  duration Timeout = Route.StatementTimeout > duration::zero()
                         ? Route.StatementTimeout
                         : DefaultStatementTimeout;
  Request.timeout_ms = toMilliseconds(Timeout);
  Request.target_ms = toMilliseconds(Route.TargetLatency);
  Request.max_staleness_ms = Route.Consistency == consistency::Primary
                                 ? -1
                                 : toMilliseconds(Route.MaxStaleness);
  // Sessions read their own writes whatever the consistency of the route.
  if (State.Floor) {
    Request.floor_known = true;
    Request.floor.term = static_cast<std::int64_t>(State.Floor->Term.Value);
    Request.floor.offset = static_cast<std::int64_t>(State.Floor->Offset);
  }
  State.Committing = Statement.Verb == line_verb::Commit;
  Request.may_commit = State.Committing;
  State.OpeningAtGateway = false;
  if (State.TransactionStatus == 'T') {
    State.OpeningAtGateway = !State.OpenAtGateway;
    if (State.OpeningAtGateway)
      State.Transaction = NextTransaction;
    State.OpenAtGateway = true;
    Request.transaction = static_cast<std::int64_t>(State.Transaction.Value);
    Request.opens_transaction = State.OpeningAtGateway;
    Request.read_only = State.ReadOnly;
  }
  bool BeginsOperation =
      State.TransactionStatus != 'T' || State.OpeningAtGateway;
  if (!Request.organisation.empty() && BeginsOperation)
    Effects.BeginsOperationOf = organisation_id(Request.organisation);
  State.RequestId = Statement.Id;
  State.Phase = line_caller_state::phase::Busy;
  Effects.Submit = std::move(Request);
}

void handleBegin(line_caller_state &State, const line_environment &Environment,
                 const line_statement &Statement, line_effects &Effects) {
  if (State.TransactionStatus == 'T')
    return appendError(State, Environment, line_error::Malformed,
                       "a transaction is open", Effects);
  const route *Route = Environment.FindRoute(State.Database);
  if (!Route)
    return appendError(State, Environment, line_error::NoDatabase,
                       "the database is no longer served", Effects);
  State.Route = *Route;
  State.TransactionStatus = 'T';
  State.ReadOnly = Statement.Verb == line_verb::BeginRead;
  appendSuccess(State, Environment, Effects);
}

void handleTransactionEnd(line_caller_state &State,
                          const line_environment &Environment,
                          const line_statement &Statement,
                          transaction_id NextTransaction,
                          line_effects &Effects) {
  if (State.TransactionStatus == 'I')
    return appendError(State, Environment, line_error::Malformed,
                       "no transaction is open", Effects);
  bool Commit = Statement.Verb == line_verb::Commit;
  if (State.TransactionStatus == 'T' && Commit && !State.IdleTimedOut)
    return submitStatement(State, *State.Route, Statement, NextTransaction,
                           Effects);
  bool Failed = Commit;
  endTransaction(State, Effects);
  if (Failed)
    return appendError(State, Environment, line_error::Aborted,
                       "the transaction had failed and was rolled back",
                       Effects);
  appendSuccess(State, Environment, Effects);
}

void handleReadOrWrite(line_caller_state &State,
                       const line_environment &Environment,
                       const line_statement &Statement,
                       transaction_id NextTransaction, line_effects &Effects) {
  if (Statement.Verb == line_verb::Execute &&
      !State.Prepared.contains(Statement.Name))
    return appendError(State, Environment, line_error::NoStatement,
                       "no prepared statement " + Statement.Name, Effects);
  if (State.TransactionStatus == 'T')
    return submitStatement(State, *State.Route, Statement, NextTransaction,
                           Effects);
  const route *Route = Environment.FindRoute(State.Database);
  if (!Route)
    return appendError(State, Environment, line_error::NoDatabase,
                       "the database is no longer served", Effects);
  submitStatement(State, *Route, Statement, NextTransaction, Effects);
}

void handleStatement(line_caller_state &State,
                     const line_environment &Environment,
                     const line_statement &Statement,
                     transaction_id NextTransaction, line_effects &Effects) {
  bool EndsTransaction = Statement.Verb == line_verb::Commit ||
                         Statement.Verb == line_verb::Rollback;
  if (State.TransactionStatus == 'E' && !EndsTransaction)
    return appendError(State, Environment, line_error::Malformed,
                       "the transaction has failed; end it first", Effects);
  if (State.IdleTimedOut && !EndsTransaction) {
    State.TransactionStatus = 'E';
    return appendError(
        State, Environment, line_error::Aborted,
        "the transaction was idle for too long and was rolled back", Effects);
  }
  switch (Statement.Verb) {
  case line_verb::Begin:
  case line_verb::BeginRead:
    return handleBegin(State, Environment, Statement, Effects);
  case line_verb::Commit:
  case line_verb::Rollback:
    return handleTransactionEnd(State, Environment, Statement, NextTransaction,
                                Effects);
  case line_verb::Set:
    State.Settings[Statement.Name] = Statement.Value;
    return appendSuccess(State, Environment, Effects);
  case line_verb::Prepare:
    State.Prepared[Statement.Name] = {Statement.Shape, Statement.Writes};
    return appendSuccess(State, Environment, Effects);
  case line_verb::Deallocate:
    if (State.Prepared.erase(Statement.Name) == 0)
      return appendError(State, Environment, line_error::NoStatement,
                         "no prepared statement " + Statement.Name, Effects);
    return appendSuccess(State, Environment, Effects);
  case line_verb::Read:
  case line_verb::Write:
  case line_verb::Execute:
    return handleReadOrWrite(State, Environment, Statement, NextTransaction,
                             Effects);
  }
}

} // namespace

void handleCallerMessage(line_caller_state &State,
                         const line_environment &Environment,
                         const line_caller_message &Line,
                         transaction_id NextTransaction,
                         line_effects &Effects) {
  if (std::holds_alternative<line_bye>(Line)) {
    handleDisconnect(State, Effects);
    Effects.Close = true;
    return;
  }
  bool Starting = State.Phase == line_caller_state::phase::Start;
  if (const auto *Start = std::get_if<line_start>(&Line); Start && Starting)
    return handleStart(State, Environment, *Start, Effects);
  if (const auto *Statement = std::get_if<line_statement>(&Line);
      Statement && !Starting)
    return handleStatement(State, Environment, *Statement, NextTransaction,
                           Effects);
  const auto *Unparsed = std::get_if<line_malformed>(&Line);
  std::string Problem =
      Unparsed
          ? Unparsed->Problem
          : std::string(Starting ? "START expected" : "QUERY or BYE expected");
  if (!Starting)
    return appendError(State, Environment, line_error::Malformed, Problem,
                       Effects);
  protocol(Environment)
      .AppendError(Effects.Out, line_error::Malformed, Problem);
  State.Phase = line_caller_state::phase::Closed;
  Effects.Close = true;
}

void handleReply(line_caller_state &State, const line_environment &Environment,
                 const wire::statement_reply &Reply, line_effects &Effects) {
  State.Phase = line_caller_state::phase::Ready;
  bool InTransaction = State.TransactionStatus == 'T';
  bool Committing = std::exchange(State.Committing, false);
  State.RequestId.clear();
  bool Answered = Reply.outcome == wire::statement_outcome::answered;
  if (Answered && Reply.code.empty()) {
    position Reached{term(static_cast<std::uint64_t>(Reply.reached.term)),
                     static_cast<std::uint64_t>(Reply.reached.offset)};
    if (Reached != position() && (!State.Floor || *State.Floor < Reached))
      State.Floor = Reached;
    if (Committing) {
      State.OpenAtGateway = false;
      endTransaction(State, Effects);
    }
    Effects.Out += Reply.messages;
    return appendReady(State, Environment, Effects);
  }
  line_error Code = errorOf(Reply.code);
  bool Unknown = Reply.outcome == wire::statement_outcome::unknown;
  if (Unknown && Code != line_error::Timeout)
    Code = line_error::InDoubt;
  if (InTransaction && !Committing) {
    // Without a commit the transaction leaves no changes: it has certainly been
    // rolled back, even if the outcome of this statement is unknown.
    if (Unknown)
      Code = line_error::Aborted;
    if (State.OpenAtGateway)
      Effects.Release = State.Transaction;
    State.OpenAtGateway = false;
    State.TransactionStatus = 'E';
  } else if (InTransaction) {
    endTransaction(State, Effects);
  }
  appendError(State, Environment, Code, Reply.problem, Effects);
}

void handleDisconnect(line_caller_state &State, line_effects &Effects) {
  endTransaction(State, Effects);
  State.Phase = line_caller_state::phase::Closed;
}

void endIdleTransaction(line_caller_state &State, line_effects &Effects) {
  if (State.Phase != line_caller_state::phase::Ready ||
      State.TransactionStatus != 'T')
    return;
  if (State.OpenAtGateway)
    Effects.Release = State.Transaction;
  State.OpenAtGateway = false;
  State.IdleTimedOut = true;
}

bool isIdle(const line_caller_state &State) {
  return State.Phase != line_caller_state::phase::Busy &&
         State.TransactionStatus == 'I';
}

} // namespace teasellock
