#include "core/event_log.h"
#include "modules/gateway/group_state.h"
#include "modules/gateway/refusals.h"
#include "modules/upstream/message_encoder.h"

namespace teasellock {

namespace {

constexpr std::uint32_t MostReadAttempts = 5;

bool asksForReadOnly(const gateway_statement &Statement) {
  for (const auto &[Name, Value] : Statement.Request.settings)
    if (Name.find("read_only") != std::string::npos)
      return true;
  return false;
}

// The primary has turned into a replica and refused the whole write.
bool refusedByReplica(const gateway_statement &Statement,
                      const run_result &Result) {
  return Result.Failure && Result.Failure->Code == ReadOnlyTransaction &&
         Result.Completed == 0 && !Statement.inTransaction() &&
         !Statement.isRead() && !asksForReadOnly(Statement);
}

// Whether the answer tells of a commit, so that it needs the gate.
bool mayHaveCommitted(const gateway_statement &Statement,
                      const run_result &Result) {
  if (Statement.isRead() || Result.TransactionStatus != 'I')
    return false;
  if (Result.Failure && Result.Completed == 0)
    return false;
  return !(Result.Completed > 0 && Result.OnlyRollbacks);
}

} // namespace

void group_gateway::state::run(gateway_statement &Statement,
                               pooled_connection &Connection) {
  Statement.Phase = statement_phase::Running;
  Statement.SentAt = now();
  Statement.LastAlive = Statement.SentAt;
  Statement.UpstreamSpan =
      Context.Tracer.start("upstream.statement", Statement.Span.context());
  Statement.UpstreamSpan.set("upstream", Statement.Upstream.Value);
  std::uint64_t Id = Statement.Id;
  auto Weak = weak_from_this();
  run_events Events;
  Events.Part = [Weak, Id](std::string Part) {
    if (auto Self = Weak.lock())
      Self->onPart(Id, std::move(Part));
  };
  Events.Done = [Weak, Id](run_result Result) {
    if (auto Self = Weak.lock())
      Self->onDone(Id, std::move(Result));
  };
  Connection.Connection->run(operationsOf(Statement), std::move(Events));
}

void group_gateway::state::onPart(std::uint64_t Id, std::string Part) {
  gateway_statement *Statement = find(Id);
  if (!Statement)
    return;
  bool Good = Statement->ByReplica || Statement->inTransaction() ||
              (mayWrite() && Statement->Term == View.Term);
  // What is held back is passed on or dropped when the answer is whole.
  if (!Statement->isRead() || !Good || !Statement->Held.empty()) {
    Statement->Held.push_back(std::move(Part));
    return;
  }
  Statement->Forwarded = true;
  wire::statement_reply Message;
  Message.outcome = wire::statement_outcome::answered;
  Message.messages = std::move(Part);
  Message.last = false;
  reply(*Statement, std::move(Message));
}

void group_gateway::state::onDone(std::uint64_t Id, run_result Result) {
  gateway_statement *Statement = find(Id);
  if (!Statement)
    return;
  if (Statement->Purpose == run_purpose::KeyLookup)
    return onKeyLookup(Id, std::move(Result));
  if (Statement->Purpose == run_purpose::Tombstone)
    return onTombstone(*Statement, std::move(Result));
  StatementSeconds.observe(now() - Statement->SentAt);
  Statement->UpstreamSpan.end();
  if (Result.Broken)
    return onBroken(*Statement, Result);
  if (isKeyConflict(*Statement, Result))
    return lookUpKey(*Statement);
  conclude(*Statement, std::move(Result));
}

void group_gateway::state::onBroken(gateway_statement &Statement,
                                    const run_result &Result) {
  std::string Problem =
      Result.Problem.empty() ? "the connection was lost" : Result.Problem;
  auto Pinned = Transactions.find(Statement.transactionKey());
  bool WasPinned = Statement.inTransaction() && Pinned != Transactions.end();
  if (WasPinned) {
    Statement.Connection = std::move(Pinned->second.Connection);
    Transactions.erase(Pinned);
  }
  if (upstream_slot *Slot = findUpstream(Statement.Upstream);
      Slot && Slot->Prober)
    Slot->Prober->want();
  freeConnection(Statement, connection_fate::Close);
  if (WasPinned)
    return Result.Sent
               ? giveUpUnknown(Statement, Problem)
               : refuse(Statement, NoActiveTransaction, TransactionEnded);
  if (Statement.isRead())
    return retryRead(Statement, Problem);
  if (!Result.Sent)
    return refuse(Statement, CannotConnectNow, Problem);
  if (!Statement.Request.idempotency_key.empty())
    return resolveKey(Statement, Problem);
  giveUpUnknown(Statement, Problem);
}

void group_gateway::state::conclude(gateway_statement &Statement,
                                    run_result Result) {
  if (!Result.Messages.empty())
    Statement.Held.push_back(std::move(Result.Messages));
  char Status = Result.TransactionStatus;
  giveBack(Statement, Status, Result.SessionChanged);
  if (!Statement.inTransaction())
    Status = 'I';
  if (refusedByReplica(Statement, Result)) {
    probePrimary();
    return refuse(Statement, CannotConnectNow, Result.Failure->Message);
  }
  if (mayHaveCommitted(Statement, Result))
    return startGate(Statement);
  upstream_slot *Slot = findUpstream(Statement.Upstream);
  position Reached = Slot ? Slot->Health.Status.Position : position();
  bool Open = Statement.inTransaction() && Status != 'I';
  if (Statement.ByReplica || Open)
    return answer(Statement, Reached, Status);
  if (mayWrite() && Statement.Term == View.Term)
    return answer(Statement, Reached, Status);
  if (Statement.isRead() && !Statement.inTransaction())
    return retryRead(Statement, "the primary may have been replaced");
  giveUpUnknown(Statement, "the primary may have been replaced");
}

void group_gateway::state::giveBack(gateway_statement &Statement,
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
    Statement.Connection->Changed = true;
  bool StaysOpen = Statement.inTransaction() && TransactionStatus != 'I' &&
                   Statement.Connection->Connection->isOpen();
  if (StaysOpen) {
    pinned_transaction Transaction;
    Transaction.Upstream = Statement.Upstream;
    Transaction.Term = Statement.Term;
    Transaction.ByReplica = Statement.ByReplica;
    Transaction.Connection = std::move(Statement.Connection);
    Transactions.emplace(Statement.transactionKey(), std::move(Transaction));
    return freeConnection(Statement, connection_fate::Keep);
  }
  bool Usable =
      TransactionStatus == 'I' && Statement.Connection->Connection->isOpen();
  freeConnection(Statement,
                 Usable ? connection_fate::Free : connection_fate::Close);
}

void group_gateway::state::freeConnection(gateway_statement &Statement,
                                          connection_fate Fate) {
  upstream_id Upstream = Statement.Upstream;
  std::unique_ptr<pooled_connection> Connection =
      std::move(Statement.Connection);
  upstream_slot *Slot = findUpstream(Upstream);
  bool Usable = Slot && Connection && Connection->Connection->isOpen();
  if (Fate == connection_fate::Free && !Usable)
    Fate = connection_fate::Close;
  admission_effects Effects;
  bool Stays = finish(Admission, Upstream, Fate, Effects);
  if (Stays && Fate == connection_fate::Free)
    Slot->Pool->give(std::move(Connection));
  // What starts now must not run inside this statement's own end.
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
  Statement.Held.clear();
  Statement.Excluded.insert(Statement.Upstream);
  if (Statement.Forwarded || Statement.Attempts >= MostReadAttempts ||
      Statement.Deadline <= now())
    return giveUpUnknown(Statement, Problem);
  event("gateway.read_retried")
      .with("group", View.Group.Value)
      .with("upstream", Statement.Upstream.Value)
      .with("problem", Problem);
  beginRead(Statement);
}

void group_gateway::state::startGate(gateway_statement &Statement) {
  Statement.Phase = statement_phase::AwaitingAcknowledgement;
  Statement.SentAt = now();
  waiting_write Write;
  Write.Id = Statement.Id;
  Write.Term = Statement.Term;
  Write.AnsweredAt = Statement.SentAt;
  Write.Deadline = Statement.Deadline;
  awaitAcknowledgement(Gate, Write);
  if (Statement.Term != View.Term || !mayAcknowledge(Gate, View.Term)) {
    auto Verdicts = onTerm(Gate, View.Term);
    auto Fenced = teasellock::fence(Gate, Gate.FencedTerm);
    Verdicts.insert(Verdicts.end(), Fenced.begin(), Fenced.end());
    return serveVerdicts(Verdicts);
  }
  probePrimary();
}

} // namespace teasellock
