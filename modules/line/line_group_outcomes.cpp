#include "core/event_log.h"
#include "modules/gateway/refusals.h"
#include "modules/line/line_group_state.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Delay before a statement that could not be executed is tried again.
constexpr duration RetryDelay = std::chrono::milliseconds(5);
constexpr std::uint32_t MaxAttempts = 12;
/// A read is hedged, that is, sent to another upstream as well, once it takes
/// this many times the usual latency, but not before the minimum delay, which
/// lies beyond the tail of ordinary latencies.
constexpr int HedgeFactor = 4;
constexpr duration MinHedgeDelay = std::chrono::milliseconds(150);
constexpr std::uint32_t MaxHedgedAttempts = 3;
/// A detached attempt's connection is closed when its answer has not arrived
/// after this.
constexpr duration DetachedAttemptTimeout = std::chrono::milliseconds(2000);
/// A busy upstream receives no statements for this long: less than a statement
/// usually takes.
constexpr duration BusyDelay = std::chrono::milliseconds(10);

} // namespace

//===----------------------------------------------------------------------===//
// Detached attempts
//===----------------------------------------------------------------------===//

/// Reports whether the answer belongs to a detached attempt. If so, releases
/// the attempt's connection.
bool line_group::handleDetachedAnswer(line_attempt_key Key,
                                      const line_batch_result &Result) {
  auto Extracted = DetachedAttempts.extract(Key);
  if (Extracted.empty())
    return false;
  auto &Detached = Extracted.mapped();
  endDetachedAttempt(Detached);
  learnPositions(Detached.Upstream, Result);
  bool IsIdle =
      !Result.ConnectionLost && Result.Answers.back().Ready.State == 'I';
  if (IsIdle)
    releaseSession(Detached.Upstream, std::move(Detached.Session));
  else if (Result.ConnectionLost || Detached.IsRollback)
    closeSession(Detached.Upstream, std::move(Detached.Session));
  else
    rollBack(Detached.Upstream, std::move(Detached.Session));
  return true;
}

/// Updates the upstream's counters for a detached attempt that has ended.
void line_group::endDetachedAttempt(line_detached_attempt &Detached) {
  auto *Upstream = findUpstream(Detached.Upstream);
  if (Upstream && !Detached.IsRollback)
    --Upstream->InFlight;
}

/// Rolls back the session's transaction and returns the session to the idle
/// ones.
void line_group::rollBack(const upstream_id &Id,
                          std::unique_ptr<line_session> Session) {
  std::string Bytes;
  protocol().AppendRollback(Bytes);
  line_attempt_key Key{++LastId, 0};
  auto *Connection = Session->Connection.get();
  DetachedAttempts[Key] = {Id, std::move(Session),
                           now() + DetachedAttemptTimeout, true};
  Connection->executeBatch(
      std::move(Bytes), {answer_kind::Rollback},
      [Weak = weak_from_this(), Key](const line_batch_result &Result) {
        if (auto Self = Weak.lock())
          Self->handleDetachedAnswer(Key, Result);
      });
}

/// Detaches the current attempt from its statement. Its connection stays open
/// for a while, as a replacement would have to be opened first.
void line_group::detachAttempt(line_pending_statement &Statement) {
  if (!Statement.Session)
    return;
  DetachedAttempts[Statement.key()] = {Statement.Upstream,
                                       std::move(Statement.Session),
                                       now() + DetachedAttemptTimeout, false};
}

/// Sends reads that take much longer than usual to another upstream as well:
/// the answer may have been lost.
void line_group::hedgeSlowReads() {
  std::vector<std::uint64_t> SlowReads;
  for (const auto &[Id, Statement] : PendingStatements) {
    const auto *Upstream = findUpstream(Statement->Upstream);
    if (Statement->Phase != line_phase::Executing ||
        !Statement->isReadOutsideTransaction() || !Upstream ||
        Statement->Attempts >= MaxHedgedAttempts)
      continue;
    duration Limit = std::max(MinHedgeDelay, Upstream->Latency * HedgeFactor);
    if (now() - Statement->SentAt > Limit)
      SlowReads.push_back(Id);
  }
  for (auto Id : SlowReads) {
    auto &Statement = *PendingStatements.at(Id);
    event("statement.asked_elsewhere", severity::Debug)
        .with("id", Statement.step().id)
        .with("group", View.Group.Value)
        .with("upstream", Statement.Upstream.Value)
        .with("after_ms", toMilliseconds(now() - Statement.SentAt));
    detachAttempt(Statement);
    if (auto *Upstream = findUpstream(Statement.Upstream))
      recordEvidence(Upstream->Score, upstream_evidence::Failed, now());
    if (Statement.Destination == line_destination::AnyUpstream)
      Statement.TriedUpstreams.insert(Statement.Upstream);
    retryStatement(Statement, "no answer for much longer than usual");
  }
}

void line_group::closeExpiredAttempts() {
  std::vector<line_attempt_key> Expired;
  for (const auto &[Key, Detached] : DetachedAttempts)
    if (now() >= Detached.ExpiresAt)
      Expired.push_back(Key);
  for (const auto &Key : Expired) {
    auto Extracted = DetachedAttempts.extract(Key);
    auto &Detached = Extracted.mapped();
    endDetachedAttempt(Detached);
    closeSession(Detached.Upstream, std::move(Detached.Session));
  }
}

//===----------------------------------------------------------------------===//
// Outcomes
//===----------------------------------------------------------------------===//

/// The reply to a statement that succeeded.
wire::statement_reply
line_group::replyOf(const line_pending_statement &Statement,
                    const line_answer &Answer) const {
  wire::statement_reply Reply;
  Reply.outcome = wire::statement_outcome::answered;
  Reply.last = true;
  Reply.upstream = Statement.Upstream.Value;
  Reply.by_replica = Statement.Destination == line_destination::AnyUpstream;
  for (const auto &Row : Answer.Rows)
    protocol().AppendRow(Reply.messages, Row);
  protocol().AppendSignature(Reply.messages, Answer.Signature);
  Reply.transaction_status = 'I';
  if (Statement.changesData() && Answer.Ready.Position)
    Reply.reached = toWire(*Answer.Ready.Position);
  return Reply;
}

/// Answers a read whose connection has already been released or detached.
void line_group::replyAnswered(line_pending_statement &Statement,
                               const line_answer &Answer) {
  finishStatement(Statement, replyOf(Statement, Answer));
}

void line_group::handleSuccess(line_pending_statement &Statement,
                               const line_answer &Answer) {
  auto Reply = replyOf(Statement, Answer);
  auto Session = std::move(Statement.Session);
  auto Id = Statement.Upstream;
  if (auto *Upstream = findUpstream(Id))
    --Upstream->InFlight;
  auto Key = Statement.transactionKey();
  bool HasTransactionEnded =
      Statement.isInTransaction() &&
      (Statement.opensTransaction() ? Statement.IsAbandoned
                                    : !Transactions.contains(Key));
  if (!Statement.isInTransaction()) {
    finishStatement(Statement, std::move(Reply));
    if (std::exchange(Session->IsRollbackDue, false))
      return rollBack(Id, std::move(Session));
    return releaseSession(Id, std::move(Session));
  }
  if (Statement.isCommit()) {
    Transactions.erase(Key);
    finishStatement(Statement, std::move(Reply));
    return releaseSession(Id, std::move(Session));
  }
  if (HasTransactionEnded) {
    refuseStatement(Statement, line_error::Aborted, TransactionEndedMessage);
    return rollBack(Id, std::move(Session));
  }
  auto &Transaction = Transactions[Key];
  Transaction.Upstream = Id;
  Transaction.Session = std::move(Session);
  Transaction.HasWrites =
      Transaction.HasWrites ||
      Statement.request().access == wire::statement_access::write;
  Reply.transaction_status = 'T';
  finishStatement(Statement, std::move(Reply));
}

void line_group::handleFailure(line_pending_statement &Statement,
                               const line_failure &Failure) {
  auto *Upstream = findUpstream(Statement.Upstream);
  auto Id = Statement.Upstream;
  if (Failure.Code == line_error::ReadOnly)
    handleLeadership(Id, false, term());
  if (Failure.Code == line_error::Busy && Upstream) {
    Upstream->BusyUntil = now() + BusyDelay;
    adaptLimit(*Upstream, limit_evidence::Busy);
  }
  if (Failure.Code == line_error::Lagging && findPrimary() == Id)
    Statement.ReadRequirement.IgnoreFloor = true;
  event("statement.refused", severity::Debug)
      .with("id", Statement.step().id)
      .with("group", View.Group.Value)
      .with("upstream", Id.Value)
      .with("code", sqlStateOf(Failure.Code))
      .with("attempt", static_cast<std::uint64_t>(Statement.Attempts));
  bool ContinuesTransaction =
      Statement.isInTransaction() && !Statement.opensTransaction();
  bool Read = Statement.request().access == wire::statement_access::read &&
              !Statement.isCommit();
  bool CanRetry = isNotExecuted(Failure.Code) ||
                  (Read && Failure.Code == line_error::Failed);
  if (Failure.Code == line_error::NoStatement && Statement.Session)
    Statement.Session->Values.Prepared.clear();
  releaseFailedSession(Statement);
  if (!ContinuesTransaction && CanRetry && !Statement.isCommit()) {
    if (Failure.Code != line_error::Busy)
      Statement.TriedUpstreams.insert(Id);
    return retryStatement(Statement, Failure.Text);
  }
  replyFailed(Statement, Failure);
}

/// Ends a statement that would change data at a primary that is being replaced.
/// It is executed later unless it belongs to an open transaction.
void line_group::handleFenced(line_pending_statement &Statement) {
  bool ContinuesTransaction =
      Statement.isInTransaction() && !Statement.opensTransaction();
  releaseFailedSession(Statement);
  if (ContinuesTransaction)
    return refuseStatement(Statement, line_error::Aborted,
                           PrimaryReplacedMessage);
  retryStatement(Statement, PrimaryReplacedMessage);
}

/// Ends the transaction of a failed statement, if any, rolls it back and
/// releases the connection.
void line_group::releaseFailedSession(line_pending_statement &Statement) {
  auto Session = std::move(Statement.Session);
  if (auto *Upstream = findUpstream(Statement.Upstream))
    --Upstream->InFlight;
  Transactions.erase(Statement.transactionKey());
  if (!Session)
    return;
  rollBack(Statement.Upstream, std::move(Session));
}

void line_group::retryStatement(line_pending_statement &Statement,
                                const std::string &Reason) {
  Statement.Phase = line_phase::Queued;
  Statement.Reason = Reason;
  if (++Statement.Attempts >= MaxAttempts || now() >= Statement.Deadline)
    return refuseStatement(Statement, line_error::Busy, Reason);
  if (!IsAssigned)
    return refuseStatement(Statement, line_error::Busy, Reason, true);
  Statement.NotBefore = now() + RetryDelay;
  Queue[Statement.QueueKey] = Statement.Id;
  armDeadlineTimer();
}

void line_group::handleLostAttempt(line_pending_statement &Statement,
                                   const std::string &Reason) {
  bool WasExecuting = Statement.Phase == line_phase::Executing;
  bool WasStarted = Statement.Phase != line_phase::Queued;
  auto Id = Statement.Upstream;
  bool IsPastDeadline = now() >= Statement.Deadline;
  if (WasStarted && IsPastDeadline) {
    detachAttempt(Statement);
  } else if (WasStarted) {
    if (auto *Upstream = findUpstream(Id)) {
      --Upstream->InFlight;
      recordEvidence(Upstream->Score, upstream_evidence::ConnectionLost, now());
    }
    closeSession(Id, std::move(Statement.Session));
  }
  auto Key = Statement.transactionKey();
  bool HasWrites = false;
  if (auto Found = Transactions.find(Key); Found != Transactions.end()) {
    HasWrites = Found->second.HasWrites;
    Transactions.erase(Found);
  }
  if (WasExecuting && Statement.changesData() &&
      (!Statement.isCommit() || HasWrites))
    return replyUnknown(Statement, line_error::InDoubt, Reason);
  if (Statement.isInTransaction() && !Statement.opensTransaction())
    return refuseStatement(Statement, line_error::Aborted, Reason);
  if (IsPastDeadline)
    return refuseStatement(
        Statement, WasExecuting ? line_error::Timeout : line_error::Busy,
        Reason);
  Statement.TriedUpstreams.insert(Id);
  retryStatement(Statement, Reason);
}

void line_group::finishStatement(line_pending_statement &Statement,
                                 wire::statement_reply Reply) {
  Reply.term = std::max(static_cast<std::int64_t>(View.Term.Value),
                        Statement.request().term);
  Statement.Span.setAttribute("upstream", Statement.Upstream.Value);
  Statement.Span.end();
  auto Callback = std::move(Statement.Arrived.Reply);
  Queue.erase(Statement.QueueKey);
  PendingStatements.erase(Statement.Id);
  Callback(std::move(Reply));
}

void line_group::refuseStatement(line_pending_statement &Statement,
                                 line_error Code, const std::string &Reason,
                                 bool NotAssigned) {
  wire::statement_reply Reply;
  Reply.outcome = wire::statement_outcome::not_run;
  Reply.last = true;
  Reply.code = sqlStateOf(Code);
  Reply.problem = Reason;
  Reply.not_assigned = NotAssigned;
  Reply.transaction_status = 'I';
  event("statement.not_run")
      .with("id", Statement.step().id)
      .with("group", View.Group.Value)
      .with("code", Reply.code)
      .with("attempts", static_cast<std::uint64_t>(Statement.Attempts))
      .with("waited_ms", toMilliseconds(now() - Statement.ArrivedAt))
      .with("reason", Reason);
  finishStatement(Statement, std::move(Reply));
}

void line_group::replyFailed(line_pending_statement &Statement,
                             const line_failure &Failure) {
  wire::statement_reply Reply;
  Reply.outcome = wire::statement_outcome::answered;
  Reply.last = true;
  Reply.code = sqlStateOf(Failure.Code);
  Reply.problem = Failure.Text;
  Reply.upstream = Statement.Upstream.Value;
  Reply.transaction_status = 'I';
  event("statement.failed")
      .with("id", Statement.step().id)
      .with("group", View.Group.Value)
      .with("upstream", Statement.Upstream.Value)
      .with("code", Reply.code)
      .with("reason", Failure.Text);
  finishStatement(Statement, std::move(Reply));
}

void line_group::replyUnknown(line_pending_statement &Statement,
                              line_error Code, const std::string &Reason) {
  wire::statement_reply Reply;
  Reply.outcome = wire::statement_outcome::unknown;
  Reply.last = true;
  Reply.code = sqlStateOf(Code);
  Reply.problem = Reason;
  Reply.transaction_status = 'I';
  event("statement.unknown")
      .with("id", Statement.step().id)
      .with("group", View.Group.Value)
      .with("upstream", Statement.Upstream.Value)
      .with("sent_ms_ago", toMilliseconds(now() - Statement.SentAt))
      .with("reason", Reason);
  finishStatement(Statement, std::move(Reply));
}

} // namespace teasellock
