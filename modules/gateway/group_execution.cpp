#include "core/event_log.h"
#include "modules/gateway/group_state.h"
#include "modules/gateway/refusals.h"
#include "modules/upstream/message_encoder.h"

namespace teasellock {

namespace {

constexpr std::uint32_t MaxReadAttempts = 5;

bool setsReadOnly(const gateway_statement &Statement) {
  for (const auto &[Name, Value] : Statement.Request.settings)
    if (Name.find("read_only") != std::string::npos)
      return true;
  return false;
}

// Reports whether the server rejected a write because it has become a replica,
// and nothing of the write was executed.
bool isRefusedByReplica(const gateway_statement &Statement,
                        const execution_result &Result) {
  return Result.Failure && Result.Failure->Code == ReadOnlyTransaction &&
         Result.Completed == 0 && !Statement.inTransaction() &&
         !Statement.isRead() && !setsReadOnly(Statement);
}

// Reports whether the statement may have committed changes, so that its answer
// must pass the acknowledgement gate.
bool mayHaveCommitted(const gateway_statement &Statement,
                      const execution_result &Result) {
  if (Statement.isRead() || Result.TransactionStatus != 'I')
    return false;
  if (Result.Failure && Result.Completed == 0)
    return false;
  return !(Result.Completed > 0 && Result.OnlyRollbacks);
}

} // namespace

void group_gateway::state::execute(gateway_statement &Statement,
                                   pooled_connection &Connection) {
  Statement.Phase = statement_phase::Executing;
  Statement.SentAt = now();
  Statement.LastActiveAt = Statement.SentAt;
  Statement.UpstreamSpan =
      Context.Tracer.startSpan("upstream.statement", Statement.Span.context());
  Statement.UpstreamSpan.setAttribute("upstream", Statement.Upstream.Value);
  std::uint64_t Id = Statement.Id;
  auto Weak = weak_from_this();
  execution_callbacks Events;
  Events.OnPart = [Weak, Id](std::string Part) {
    if (auto Self = Weak.lock())
      Self->onPart(Id, std::move(Part));
  };
  Events.OnDone = [Weak, Id](execution_result Result) {
    if (auto Self = Weak.lock())
      Self->onDone(Id, std::move(Result));
  };
  Connection.Connection->execute(makeOperations(Statement), std::move(Events));
}

void group_gateway::state::onPart(std::uint64_t Id, std::string Part) {
  gateway_statement *Statement = find(Id);
  if (!Statement)
    return;
  bool IsCurrent = Statement->ByReplica || Statement->inTransaction() ||
                   (canWrite() && Statement->Term == View.Term);
  // Once something is held back, everything after it is, too. It is forwarded
  // or dropped when the answer is complete.
  if (!Statement->isRead() || !IsCurrent || !Statement->HeldMessages.empty()) {
    Statement->HeldMessages.push_back(std::move(Part));
    return;
  }
  Statement->PartForwarded = true;
  wire::statement_reply Message;
  Message.outcome = wire::statement_outcome::answered;
  Message.messages = std::move(Part);
  Message.last = false;
  sendReply(*Statement, std::move(Message));
}

void group_gateway::state::onDone(std::uint64_t Id, execution_result Result) {
  gateway_statement *Statement = find(Id);
  if (!Statement)
    return;
  if (Statement->Purpose == execution_purpose::KeyLookup)
    return onKeyLookedUp(Id, std::move(Result));
  if (Statement->Purpose == execution_purpose::Tombstone)
    return onTombstoneInserted(*Statement, std::move(Result));
  StatementSeconds.observe(now() - Statement->SentAt);
  Statement->UpstreamSpan.end();
  if (Result.ConnectionLost)
    return onConnectionLost(*Statement, Result);
  if (isKeyConflict(*Statement, Result))
    return lookUpKey(*Statement);
  finishExecution(*Statement, std::move(Result));
}

void group_gateway::state::onConnectionLost(gateway_statement &Statement,
                                            const execution_result &Result) {
  std::string Problem =
      Result.Problem.empty() ? "the connection was lost" : Result.Problem;
  auto Pinned = Transactions.find(Statement.transactionKey());
  bool WasPinned = Statement.inTransaction() && Pinned != Transactions.end();
  if (WasPinned) {
    Statement.Connection = std::move(Pinned->second.Connection);
    Transactions.erase(Pinned);
  }
  if (upstream_state *State = findUpstream(Statement.Upstream);
      State && State->Prober)
    State->Prober->requestProbe();
  releaseConnection(Statement, connection_disposition::Close);
  if (WasPinned)
    return Result.Sent ? answerUnknown(Statement, Problem)
                       : answerNotRun(Statement, NoActiveTransaction,
                                      TransactionEndedMessage);
  if (Statement.isRead())
    return retryRead(Statement, Problem);
  if (!Result.Sent)
    return answerNotRun(Statement, CannotConnectNow, Problem);
  if (!Statement.Request.idempotency_key.empty())
    return startKeyResolution(Statement, Problem);
  answerUnknown(Statement, Problem);
}

void group_gateway::state::finishExecution(gateway_statement &Statement,
                                           execution_result Result) {
  if (!Result.Messages.empty())
    Statement.HeldMessages.push_back(std::move(Result.Messages));
  char Status = Result.TransactionStatus;
  releaseAfterExecution(Statement, Status, Result.SessionChanged);
  if (!Statement.inTransaction())
    Status = 'I';
  if (isRefusedByReplica(Statement, Result)) {
    probePrimary();
    return answerNotRun(Statement, CannotConnectNow, Result.Failure->Message);
  }
  if (mayHaveCommitted(Statement, Result))
    return awaitAcknowledgement(Statement);
  upstream_state *State = findUpstream(Statement.Upstream);
  position Reached = State ? State->Health.Status.Position : position();
  bool Open = Statement.inTransaction() && Status != 'I';
  if (Statement.ByReplica || Open)
    return answer(Statement, Reached, Status);
  if (canWrite() && Statement.Term == View.Term)
    return answer(Statement, Reached, Status);
  if (Statement.isRead() && !Statement.inTransaction())
    return retryRead(Statement, "the primary may have been replaced");
  answerUnknown(Statement, "the primary may have been replaced");
}

void group_gateway::state::releaseAfterExecution(gateway_statement &Statement,
                                                 char TransactionStatus,
                                                 bool SessionChanged) {
  auto Pinned = Statement.inTransaction()
                    ? Transactions.find(Statement.transactionKey())
                    : Transactions.end();
  if (Pinned != Transactions.end()) {
    Statement.Connection = std::move(Pinned->second.Connection);
    Transactions.erase(Pinned);
  }
  if (SessionChanged)
    Statement.Connection->SessionChanged = true;
  bool StaysOpen = Statement.inTransaction() && TransactionStatus != 'I' &&
                   Statement.Connection->Connection->isOpen();
  if (StaysOpen) {
    pinned_transaction Transaction;
    Transaction.Upstream = Statement.Upstream;
    Transaction.Term = Statement.Term;
    Transaction.ByReplica = Statement.ByReplica;
    Transaction.Connection = std::move(Statement.Connection);
    Transactions.emplace(Statement.transactionKey(), std::move(Transaction));
    return releaseConnection(Statement, connection_disposition::KeepPinned);
  }
  bool Usable =
      TransactionStatus == 'I' && Statement.Connection->Connection->isOpen();
  releaseConnection(Statement, Usable ? connection_disposition::ReturnToPool
                                      : connection_disposition::Close);
}

void group_gateway::state::releaseConnection(
    gateway_statement &Statement, connection_disposition Disposition) {
  upstream_id Upstream = Statement.Upstream;
  std::unique_ptr<pooled_connection> Connection =
      std::move(Statement.Connection);
  upstream_state *State = findUpstream(Upstream);
  bool Usable = State && Connection && Connection->Connection->isOpen();
  if (Disposition == connection_disposition::ReturnToPool && !Usable)
    Disposition = connection_disposition::Close;
  admission_effects Effects;
  bool StaysOpen = finishWork(Admission, Upstream, Disposition, Effects);
  if (StaysOpen && Disposition == connection_disposition::ReturnToPool)
    State->Pool->release(std::move(Connection));
  // Posted, so that other statements don't start within this statement's
  // completion.
  if (!Effects.Start.empty() || !Effects.Shed.empty())
    Context.Loop.post([Weak = weak_from_this(), Upstream,
                       Effects = std::move(Effects)]() mutable {
      if (auto Self = Weak.lock())
        Self->applyEffects(Upstream, std::move(Effects));
    });
}

void group_gateway::state::retryRead(gateway_statement &Statement,
                                     const std::string &Problem) {
  ++Statement.Attempts;
  Statement.HeldMessages.clear();
  Statement.Excluded.insert(Statement.Upstream);
  if (Statement.PartForwarded || Statement.Attempts >= MaxReadAttempts ||
      Statement.Deadline <= now())
    return answerUnknown(Statement, Problem);
  event("gateway.read_retried")
      .with("group", View.Group.Value)
      .with("upstream", Statement.Upstream.Value)
      .with("problem", Problem);
  startRead(Statement);
}

void group_gateway::state::awaitAcknowledgement(gateway_statement &Statement) {
  Statement.Phase = statement_phase::AwaitingAcknowledgement;
  Statement.SentAt = now();
  unacknowledged_write Write;
  Write.Id = Statement.Id;
  Write.Term = Statement.Term;
  Write.AnsweredAt = Statement.SentAt;
  Write.Deadline = Statement.Deadline;
  addPendingWrite(Gate, Write);
  if (Statement.Term != View.Term || !canAcknowledge(Gate, View.Term)) {
    auto Results = applyViewTerm(Gate, View.Term);
    auto Fenced = teasellock::applyFence(Gate, Gate.FencedTerm);
    Results.insert(Results.end(), Fenced.begin(), Fenced.end());
    return finishWrites(Results);
  }
  probePrimary();
}

} // namespace teasellock
