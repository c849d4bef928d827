#include "core/error.h"
#include "modules/caller/caller_state_internal.h"
#include "modules/control/group_view.h"

#include <algorithm>
#include <utility>

namespace teasellock {

namespace {

using item_kind = batch_item::kind;
using phase = caller_state::phase;

void finishBatch(caller_state &State, const caller_environment &Environment,
                 std::string &Out) {
  State.Batch = {};
  if (State.TransactionStatus == 'I') {
    State.Portals.clear();
    State.SuspendedPortals.clear();
  }
  reportSessionToken(State, Environment, Out);
  pg::appendReadyForQuery(Out, State.TransactionStatus);
  State.Phase = phase::Ready;
}

bool containsClass(const batch_item &Item, statement_class Class) {
  if (Item.Kind != item_kind::Statement)
    return false;
  auto Statements = statementsOf(Item);
  return std::any_of(
      Statements.begin(), Statements.end(),
      [&](const statement_info *Info) { return Info->Class == Class; });
}

bool mayOpenTransaction(const batch_item &Item) {
  return containsClass(Item, statement_class::Begin) ||
         containsClass(Item, statement_class::BeginReadOnly) ||
         (Item.Kind == item_kind::Statement && Item.Info->Unparsed);
}

/// Reports whether the entry answers every statement of the item.
bool isAnsweredAtEntry(const batch_item &Item, bool InTransaction) {
  if (Item.Kind != item_kind::Statement)
    return false;
  auto Statements = statementsOf(Item);
  return std::none_of(
      Statements.begin(), Statements.end(), [&](const statement_info *Info) {
        return executionSiteOf(*Info, InTransaction) == execution_site::Gateway;
      });
}

/// Splits the batch's first item, whose statements the entry answers, into one
/// item for each statement.
void splitFront(caller_batch &Batch) {
  auto Original = std::move(Batch.Items.front());
  Batch.Items.pop_front();
  for (std::size_t I = Original.Info->Statements.size(); I-- > 0;) {
    batch_item Item = Original;
    Item.StatementIndex = I;
    if (I > 0)
      Item.MessagesBefore.clear();
    Batch.Items.push_front(std::move(Item));
  }
}

bool resumesPortal(const caller_state &State, const batch_item &Item) {
  return Item.Kind == item_kind::Statement &&
         Item.Step.kind == wire::step_kind::execute &&
         State.SuspendedPortals.contains(Item.Portal);
}

/// Handles an item after its transaction was lost: fails unless it is a single
/// COMMIT or ROLLBACK, which ends the transaction.
void executeInLostTransaction(caller_state &State, const batch_item &Item,
                              std::string &Out) {
  bool Ends = containsClass(Item, statement_class::Rollback) ||
              containsClass(Item, statement_class::Commit);
  if (!Ends || statementsOf(Item).size() != 1)
    return failBatch(State, sql_state::InFailedTransaction,
                     "current transaction is aborted, commands ignored until "
                     "end of transaction block",
                     Out);
  Out += Item.MessagesBefore;
  pg::appendCommandComplete(Out, "ROLLBACK");
  State.TransactionLost = false;
  State.TransactionStatus = 'I';
}

void executeItemAtEntry(caller_state &State,
                        const caller_environment &Environment,
                        const batch_item &Item, std::string &Out) {
  const auto &Info = *statementsOf(Item).front();
  Out += Item.MessagesBefore;
  if (State.TransactionStatus == 'E')
    return failBatch(State, sql_state::InFailedTransaction,
                     "current transaction is aborted, commands ignored until "
                     "end of transaction block",
                     Out);
  bool DescribeRows =
      Item.Step.kind == wire::step_kind::simple || Item.Step.describe_rows;
  try {
    executeAtEntry(State, Environment, Info, DescribeRows, Out);
  } catch (const error &Problem) {
    failBatch(State, Problem.step(), Problem.reason(), Out);
  }
}

void convertToSettingChange(batch_item &Item) {
  const auto &Info = *statementsOf(Item).front();
  Item.Kind = item_kind::ChangeSetting;
  Item.Step = wire::statement_step();
  Item.Step.kind = wire::step_kind::simple;
  Item.Step.sql = setConfigQuery(Info);
}

/// Removes and returns the items at the front of the batch that fit into one
/// request.
std::vector<batch_item> extractRequestItems(caller_state &State) {
  auto &Items = State.Batch.Items;
  std::vector<batch_item> RequestItems;
  bool InTransaction = State.Transaction != transaction_id();
  std::string MessagesBefore;
  std::size_t Count = 0;
  for (auto &Item : Items) {
    bool HasOnlyMessages = Item.Kind == item_kind::MessagesOnly;
    bool AfterLimitedRows =
        !RequestItems.empty() && RequestItems.back().MaxRows > 0;
    if (Item.Kind == item_kind::Error ||
        isAnsweredAtEntry(Item, InTransaction) ||
        (!HasOnlyMessages && (AfterLimitedRows || resumesPortal(State, Item))))
      break;
    ++Count;
    MessagesBefore += Item.MessagesBefore;
    if (HasOnlyMessages)
      continue;
    InTransaction = InTransaction || mayOpenTransaction(Item);
    Item.MessagesBefore = std::move(MessagesBefore);
    MessagesBefore.clear();
    RequestItems.push_back(std::move(Item));
  }
  Items.erase(Items.begin(),
              Items.begin() + static_cast<std::ptrdiff_t>(Count));
  if (!MessagesBefore.empty()) {
    batch_item Remaining;
    Remaining.MessagesBefore = std::move(MessagesBefore);
    Items.push_front(std::move(Remaining));
  }
  return RequestItems;
}

bool isReadOnlyItem(const batch_item &Item) {
  if (Item.Kind != item_kind::Statement)
    return true;
  if (Item.Info->Unparsed)
    return false;
  auto Statements = statementsOf(Item);
  return std::all_of(Statements.begin(), Statements.end(),
                     [](const statement_info *Info) {
                       // A replica would report that it is read-only.
                       if (Info->Class == statement_class::Show)
                         return Info->Name != "transaction_read_only";
                       return Info->Class == statement_class::Read ||
                              Info->Class == statement_class::BeginReadOnly;
                     });
}

statement_class classOf(const std::vector<batch_item> &Items) {
  for (const auto &Item : Items)
    if (Item.Kind == item_kind::Statement && !Item.Info->Statements.empty())
      return statementsOf(Item).front()->Class;
  return statement_class::Read;
}

void fillHints(const caller_state &State, const std::vector<batch_item> &Items,
               submission &Submission) {
  Submission.Request.read_kind = State.EntrySettings.ReadKind;
  for (const auto &Item : Items) {
    if (Item.Hints.ReadKind)
      Submission.Request.read_kind = *Item.Hints.ReadKind;
    if (!Item.Hints.IdempotencyKey.empty())
      Submission.Request.idempotency_key = Item.Hints.IdempotencyKey;
    if (!Item.Hints.TraceParent.empty())
      Submission.TraceParent = Item.Hints.TraceParent;
  }
}

/// Sets the request's transaction, and its access from the statements'
/// classes. Begins a transaction if the request may open one.
void fillTransaction(caller_state &State, const std::vector<batch_item> &Items,
                     submission &Submission) {
  auto &Request = Submission.Request;
  bool Open = State.Transaction != transaction_id();
  bool Opens =
      !Open && std::any_of(Items.begin(), Items.end(), mayOpenTransaction);
  if (Opens) {
    State.Transaction = State.NextTransaction;
    State.SettingsAtBegin = State.Settings;
    State.ReadOnlyTransaction =
        std::all_of(Items.begin(), Items.end(), isReadOnlyItem);
  }
  Request.transaction = static_cast<std::int64_t>(State.Transaction.Value);
  Request.opens_transaction = Opens;
  bool Commits = std::any_of(Items.begin(), Items.end(), [](const auto &Item) {
    return containsClass(Item, statement_class::Commit) ||
           (Item.Kind == item_kind::Statement && Item.Info->Unparsed);
  });
  bool Reads = std::all_of(Items.begin(), Items.end(), isReadOnlyItem) ||
               State.ReadOnlyTransaction;
  Request.access =
      Reads ? wire::statement_access::read : wire::statement_access::write;
  Request.may_commit = Commits && !State.ReadOnlyTransaction;
}

submission buildSubmission(caller_state &State,
                           const caller_environment &Environment,
                           std::vector<batch_item> &Items) {
  submission Submission;
  auto &Request = Submission.Request;
  fillHints(State, Items, Submission);
  fillTransaction(State, Items, Submission);
  Submission.Class = classOf(Items);
  Request.group = State.Session.Group.Value;
  Request.floor_known = State.Session.Floor.has_value();
  if (State.Session.Floor)
    Request.floor = toWire(*State.Session.Floor);
  Request.timeout_ms =
      toMilliseconds(State.EntrySettings.StatementTimeout.value_or(
          Environment.StatementTimeout));
  // Within a transaction the upstream connection holds the settings changed
  // since BEGIN.
  Request.settings = State.SettingsAtBegin && State.Transaction.Value != 0
                         ? *State.SettingsAtBegin
                         : State.Settings;
  for (auto &Item : Items) {
    auto Kind = Item.Step.kind;
    Request.steps.push_back(std::exchange(Item.Step, {}));
    Item.Step.kind = Kind;
  }
  return Submission;
}

void startRequest(caller_state &State, const caller_environment &Environment,
                  std::vector<batch_item> Items, caller_effects &Effects) {
  Effects.Submit = buildSubmission(State, Environment, Items);
  const auto &Sent = Effects.Submit->Request;
  auto Request = std::make_unique<statement_key>();
  Request->IsWrite = Sent.access == wire::statement_access::write;
  Request->InTransaction = Sent.transaction != 0;
  Request->OpensTransaction = Sent.opens_transaction;
  Request->MayCommit = Sent.may_commit;
  Request->Items = std::move(Items);
  State.Request = std::move(Request);
  State.Phase = phase::Busy;
}

void endTransaction(caller_state &State, bool RolledBack) {
  if (RolledBack && State.SettingsAtBegin)
    State.Settings = std::move(*State.SettingsAtBegin);
  State.SettingsAtBegin.reset();
  State.Transaction = {};
  State.ReadOnlyTransaction = false;
}

/// Stores the settings that the statements of an answered request changed. In a
/// transaction, the upstream answers SHOW from its own state; the stored
/// settings apply to later statements and are restored if the transaction rolls
/// back.
void applySettings(caller_state &State, const caller_environment &Environment,
                   std::string &Out) {
  for (const auto &Item : State.Request->Items) {
    if (Item.Kind != item_kind::Statement)
      continue;
    for (const auto *Info : statementsOf(Item)) {
      if (Info->Class == statement_class::Set && !Info->IsLocal)
        for (const auto &Change : Info->Settings)
          applySetting(State, Environment, Change, Out);
      if (Info->Class == statement_class::Reset && !Info->Name.empty())
        applySetting(State, Environment, {Info->Name, std::nullopt}, Out);
    }
  }
}

void handleAnswer(caller_state &State, const caller_environment &Environment,
                  const wire::statement_reply &Reply, std::string &Out) {
  const auto &Request = *State.Request;
  if (!State.Batch.Failed)
    applySettings(State, Environment, Out);
  auto Reached = fromWire(Reply.reached);
  if (Request.IsWrite)
    updateFloorAfterWrite(State.Session, Reached);
  else
    updateFloorAfterRead(State.Session, Reached, Reply.by_replica);
  bool Open =
      Reply.transaction_status == 'T' || Reply.transaction_status == 'E';
  if (Request.InTransaction && !Open)
    endTransaction(State, State.Batch.Failed ||
                              State.LastCommandTag.starts_with("ROLLBACK"));
  State.TransactionStatus = Request.InTransaction && Open
                                ? static_cast<char>(Reply.transaction_status)
                                : 'I';
}

/// Updates the state after a request without an answer: it was not executed or,
/// if Unknown, its outcome is unknown.
void handleFailure(caller_state &State, bool Unknown) {
  const auto &Request = *State.Request;
  bool OutcomeMatters =
      Request.InTransaction ? Request.MayCommit : Request.IsWrite;
  if (Unknown && OutcomeMatters)
    clearFloorAfterUnknownWrite(State.Session);
  if (!Request.InTransaction)
    return;
  // In either case the gateway no longer holds the transaction open.
  bool Ended = Request.OpensTransaction || Request.MayCommit;
  endTransaction(State, true);
  State.TransactionLost = !Ended;
  State.TransactionStatus = Ended ? 'I' : 'E';
}

void handleLastReply(caller_state &State, const caller_environment &Environment,
                     const wire::statement_reply &Reply,
                     caller_effects &Effects) {
  if (Reply.outcome == wire::statement_outcome::answered) {
    if (!isReplyComplete(State))
      failBatch(State, sql_state::InternalError,
                "the gateway's answer is incomplete", Effects.Out);
    return handleAnswer(State, Environment, Reply, Effects.Out);
  }
  failBatch(State, Reply.code, Reply.problem, Effects.Out);
  handleFailure(State, Reply.outcome == wire::statement_outcome::unknown);
}

} // namespace

void reportSessionToken(caller_state &State,
                        const caller_environment &Environment,
                        std::string &Out) {
  // Signing the token is the most expensive operation on this path, and most
  // replies don't change the session.
  if (State.ReportedSession == State.Session)
    return;
  pg::appendParameterStatus(Out, "teasellock.session",
                            toToken(State.Session, Environment.TokenSecret));
  State.ReportedSession = State.Session;
}

void processBatch(caller_state &State, caller_environment &Environment,
                  caller_effects &Effects) {
  auto &Batch = State.Batch;
  State.Phase = phase::Ready;
  while (!Batch.Failed && !Batch.Items.empty()) {
    auto &Front = Batch.Items.front();
    bool InTransaction = State.Transaction != transaction_id();
    bool AtEntry = isAnsweredAtEntry(Front, InTransaction);
    if (AtEntry && statementsOf(Front).size() > 1) {
      splitFront(Batch);
      continue;
    }
    bool InLostTransaction =
        State.TransactionLost && Front.Kind != item_kind::MessagesOnly;
    bool Answered =
        AtEntry && executionSiteOf(*statementsOf(Front).front(),
                                   InTransaction) == execution_site::Entry;
    bool Resumes = resumesPortal(State, Front);
    if (Front.Kind != item_kind::MessagesOnly &&
        Front.Kind != item_kind::Error && !InLostTransaction && !Answered &&
        !Resumes) {
      std::vector<batch_item> Items;
      if (AtEntry) {
        convertToSettingChange(Front);
        Items.push_back(std::move(Front));
        Batch.Items.pop_front();
      } else {
        Items = extractRequestItems(State);
      }
      return startRequest(State, Environment, std::move(Items), Effects);
    }
    auto Item = std::move(Front);
    Batch.Items.pop_front();
    if (Item.Kind == item_kind::MessagesOnly)
      Effects.Out += Item.MessagesBefore;
    else if (Item.Kind == item_kind::Error)
      failBatch(State, Item.Code, Item.Problem, Effects.Out);
    else if (InLostTransaction)
      executeInLostTransaction(State, Item, Effects.Out);
    else if (Resumes)
      resumePortal(State, Item, Effects.Out);
    else
      executeItemAtEntry(State, Environment, Item, Effects.Out);
  }
  Batch.Items.clear();
  Batch.WaitingBytes = 0;
  if (Batch.Complete)
    finishBatch(State, Environment, Effects.Out);
}

void handleReply(caller_state &State, caller_environment &Environment,
                 const wire::statement_reply &Reply, caller_effects &Effects) {
  if (State.Phase != phase::Busy)
    return;
  try {
    forwardReply(State, Environment, Reply.messages, Effects.Out);
  } catch (const pg::protocol_error &Problem) {
    // Closes the connection, so that the caller can't mistake a partial result
    // for a complete one.
    return closeWithFatalError(State, sql_state::InternalError, Problem.Problem,
                               Effects);
  } catch (const error &Problem) {
    if (State.Request->IsWrite)
      return closeWithFatalError(State, sql_state::ResolutionUnknown,
                                 Problem.reason(), Effects);
    failBatch(State, Problem.step(), Problem.reason(), Effects.Out);
  }
  if (!Reply.last)
    return;
  handleLastReply(State, Environment, Reply, Effects);
  State.Request.reset();
  processBatch(State, Environment, Effects);
}

void cancelRequest(caller_state &State, caller_environment &Environment,
                   bool Sent, caller_effects &Effects) {
  if (State.Phase != phase::Busy)
    return;
  const auto &Request = *State.Request;
  bool OutcomeMatters =
      Request.InTransaction ? Request.MayCommit : Request.IsWrite;
  bool Unknown = Sent && OutcomeMatters;
  Effects.CancelRequest = true;
  if (Request.InTransaction)
    Effects.ReleaseTransactions.push_back(State.Transaction);
  failBatch(State,
            Unknown ? sql_state::ResolutionUnknown : sql_state::QueryCanceled,
            Unknown ? "canceled; the outcome of the statement is unknown"
                    : "canceling statement due to user request",
            Effects.Out);
  handleFailure(State, Unknown);
  State.Request.reset();
  processBatch(State, Environment, Effects);
}

} // namespace teasellock
