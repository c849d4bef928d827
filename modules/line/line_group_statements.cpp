#include "core/distance.h"
#include "modules/gateway/primary_gateways.h"
#include "modules/gateway/refusals.h"
#include "modules/line/line_group_state.h"
#include "modules/line/statement_check.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Cost of distance, as latency: within an availability zone, within a region,
/// between regions. Higher than the round trip because traffic is billed by
/// distance: a nearer upstream is preferred until its latency has grown by the
/// difference.
constexpr duration SameZoneCost = std::chrono::microseconds(300);
constexpr duration SameRegionCost = std::chrono::milliseconds(8);
constexpr duration InterRegionCost = std::chrono::milliseconds(60);
/// Added when a connection must be opened first.
constexpr duration ConnectCost = std::chrono::milliseconds(15);
/// The latest answer's weight in an upstream's average latency is one divided
/// by this.
constexpr int LatencyWeightDivisor = 8;

duration distanceCostTo(const vm_identity &Self,
                        const upstream_announcement &Upstream) {
  switch (distanceTo(Self, Upstream.AvailabilityZone, Upstream.Region)) {
  case distance::SameVm:
  case distance::SameZone:
    return SameZoneCost;
  case distance::SameRegion:
    return SameRegionCost;
  case distance::OtherRegion:
    break;
  }
  return InterRegionCost;
}

line_destination destinationOf(const wire::statement_request &Request) {
  if (!needsPrimary(Request))
    return line_destination::AnyUpstream;
  bool Read = Request.access == wire::statement_access::read;
  return Read && !Request.opens_transaction ? line_destination::PrimaryRead
                                            : line_destination::Primary;
}

} // namespace

//===----------------------------------------------------------------------===//
// Queue and choice of the upstream
//===----------------------------------------------------------------------===//

void line_group::submit(incoming_statement Arrived) {
  auto Statement = std::make_unique<line_pending_statement>();
  Statement->Id = ++LastId;
  Statement->ArrivedAt = now();
  Statement->Deadline =
      now() +
      fromMilliseconds(std::max<std::int64_t>(Arrived.Statement.timeout_ms, 1));
  Statement->Destination = destinationOf(Arrived.Statement);
  Statement->ReadRequirement.ArrivedAt = now();
  Statement->ReadRequirement.MaxStaleness = fromMilliseconds(
      std::max<std::int64_t>(Arrived.Statement.max_staleness_ms, 0));
  if (Arrived.Statement.floor_known)
    Statement->ReadRequirement.Floor = fromWire(Arrived.Statement.floor);
  Statement->Span = Context.Tracer.startSpan(
      "gateway.statement", parseTraceParent(Arrived.TraceParent));
  HasServedOrganisations =
      HasServedOrganisations || !Arrived.Statement.organisation.empty();
  Statement->Arrived = std::move(Arrived);
  auto &Added = *Statement;
  PendingStatements[Added.Id] = std::move(Statement);
  if (!isEncodable(Added.request()))
    return refuseStatement(Added, line_error::Malformed,
                           "a text has a line break or is not a field");
  if (Added.isInTransaction() && !Added.opensTransaction()) {
    auto Found = Transactions.find(Added.transactionKey());
    if (Found == Transactions.end() || !Found->second.Session)
      return refuseStatement(Added, line_error::Aborted,
                             TransactionEndedMessage);
    return continueTransaction(Added, Found->second);
  }
  if (!IsAssigned)
    return refuseStatement(Added, line_error::Busy,
                           "this VM is not a gateway of the group", true);
  Added.QueueKey = {Added.request().priority,
                    executionTimeRank(Estimates, Added.kind()), Added.Id};
  Queue[Added.QueueKey] = Added.Id;
  std::uint64_t Id = Added.Id;
  startQueued();
  if (auto *Waiting = findStatement(Id);
      Waiting && Waiting->Phase == line_phase::Queued)
    refuseIfWaitTooLong(*Waiting);
  armDeadlineTimer();
}

queue_rate &line_group::rateOf(const line_pending_statement &Statement) {
  return Statement.Destination == line_destination::AnyUpstream ? ReadRate
                                                                : PrimaryRate;
}

std::size_t
line_group::queueDepthBefore(const line_pending_statement &Statement) const {
  bool Read = Statement.Destination == line_destination::AnyUpstream;
  std::size_t Depth = 0;
  for (const auto &[Rank, Id] : Queue) {
    if (Id == Statement.Id)
      break;
    const auto &Other = *PendingStatements.at(Id);
    Depth += (Other.Destination == line_destination::AnyUpstream) == Read;
  }
  return Depth;
}

/// Describes the state of all upstreams, for the reason of a refusal.
std::string line_group::describeUpstreams() const {
  std::string Text;
  for (const auto &[Id, Upstream] : Upstreams) {
    Text += Text.empty() ? "" : " ";
    Text += Id.Value + (Upstream.IsPrimary ? " leads" : "") + " at " +
            toString(Upstream.Applied) + " last message " +
            std::to_string(toMilliseconds(now() - Upstream.LastReceivedAt)) +
            " ms ago running " + std::to_string(Upstream.InFlight) + " idle " +
            std::to_string(Upstream.IdleSessions.size()) + " in use " +
            std::to_string(Upstream.ConnectionsInUse) +
            (Upstream.UnreachableSince ? " unreachable" : "") +
            (canAccept(Upstream) ? "" : " accepts no statements") + ";";
  }
  return Text;
}

/// Refuses a queued statement that is expected to wait too long. Reports
/// whether it did.
bool line_group::refuseIfWaitTooLong(line_pending_statement &Statement) {
  auto Primary = findPrimary();
  // During a failover the rate of the queue says nothing about the wait.
  if (!Primary || isFenced(Statement))
    return false;
  wait_budget Budget;
  Budget.Target = fromMilliseconds(Statement.request().target_ms);
  Budget.Remaining = Statement.Deadline - now();
  Budget.Latency = Upstreams.at(*Primary).Latency;
  Budget.Waited = now() - Statement.ArrivedAt;
  duration Wait = expectedWait(rateOf(Statement), queueDepthBefore(Statement));
  if (canWait(Budget, Wait))
    return false;
  refuseStatement(Statement, line_error::Overloaded,
                  "the expected wait in the queue is " +
                      std::to_string(toMilliseconds(Wait)) +
                      " ms: " + Statement.Reason + "; " + describeUpstreams());
  return true;
}

void line_group::startQueued() {
  if (StartingQueued) {
    StartQueuedAgain = true;
    return;
  }
  StartingQueued = true;
  do {
    StartQueuedAgain = false;
    for (auto &[Id, Upstream] : Upstreams)
      Upstream.ConnectionDemand = 0;
    updateWaiting();
    std::vector<std::uint64_t> Waiting;
    for (const auto &[Rank, Id] : Queue)
      Waiting.push_back(Id);
    for (auto Id : Waiting)
      if (auto *Statement = findStatement(Id);
          Statement && now() >= Statement->NotBefore)
        tryStart(*Statement);
  } while (StartQueuedAgain);
  StartingQueued = false;
}

bool line_group::tryStart(line_pending_statement &Statement) {
  forgetWaiting(Statement);
  if (Statement.Destination == line_destination::AnyUpstream)
    return tryStartRead(Statement);
  auto Primary = findPrimary();
  if (!Primary) {
    Statement.Reason = "the group has no primary";
    return false;
  }
  if (isFenced(Statement)) {
    Statement.Reason = PrimaryReplacedMessage;
    return false;
  }
  return tryStartOn(Statement, *Primary, std::nullopt);
}

std::vector<read_candidate>
line_group::readCandidates(const organisation_id &Organisation) const {
  std::vector<read_candidate> Candidates;
  auto Primary = findPrimary();
  for (const auto &[Id, Upstream] : Upstreams) {
    if (!canAccept(Upstream) || Upstream.UnreachableSince)
      continue;
    read_candidate Candidate;
    Candidate.Upstream = Id;
    Candidate.Applied = Upstream.Applied;
    Candidate.IsPrimary = Primary == Id;
    Candidate.DistanceCost =
        distanceCostTo(Context.Self, Upstream.Announcement);
    Candidate.HasConnection = canGetConnection(Upstream, Organisation);
    if (!hasIdleConnection(Upstream, Organisation))
      Candidate.ConnectCost = ConnectCost;
    Candidate.Latency = Upstream.Latency;
    addLoadEvidence(Candidate, Upstream);
    Candidate.InFlight = Upstream.InFlight;
    Candidate.Slots = Upstream.Announcement.Slots;
    Candidates.push_back(Candidate);
  }
  return Candidates;
}

bool line_group::tryStartRead(line_pending_statement &Statement) {
  auto Required = requiredPosition(Statement.ReadRequirement, PositionHistory);
  if (!Required) {
    Statement.Reason = "the known position of the primary is too old";
    if (auto Primary = findPrimary())
      probe(*Primary);
    return false;
  }
  auto Candidates = readCandidates(Statement.organisation());
  if (const auto *Best = chooseUpstream(
          Candidates, *Required, Statement.TriedUpstreams, drawForRead()))
    return tryStartOn(Statement, Best->Upstream, Required);
  Statement.Reason = "no upstream with the data has a free connection";
  recordWaitingRead(Statement, *Required);
  // When every upstream has failed, all may be tried again.
  if (Statement.TriedUpstreams.size() >= Candidates.size())
    Statement.TriedUpstreams.clear();
  return false;
}

bool line_group::tryStartOn(line_pending_statement &Statement,
                            const upstream_id &Id,
                            std::optional<position> After) {
  auto &Upstream = Upstreams.at(Id);
  if (!canAccept(Upstream)) {
    Statement.Reason = "the upstream accepts no more statements";
    recordWaiting(Statement, Id);
    return false;
  }
  if (!claimConnection(Statement, Id))
    return false;
  ++Upstream.InFlight;
  if (Upstream.Load)
    Upstream.Load->countStatement();
  Statement.Upstream = Id;
  Statement.RequiredPosition = After;
  Queue.erase(Statement.QueueKey);
  QueueSeconds.observe(now() - Statement.ArrivedAt);
  bool Read = Statement.Destination == line_destination::AnyUpstream;
  bool OthersWait =
      std::any_of(Queue.begin(), Queue.end(), [&](const auto &Entry) {
        return (PendingStatements.at(Entry.second)->Destination ==
                line_destination::AnyUpstream) == Read;
      });
  recordStart(rateOf(Statement), OthersWait ? 1 : 0, now());
  prepareSession(Statement);
  return true;
}

//===----------------------------------------------------------------------===//
// Execution
//===----------------------------------------------------------------------===//

void line_group::prepareSession(line_pending_statement &Statement) {
  Statement.Phase = line_phase::Preparing;
  auto &Session = *Statement.Session;
  auto Plan = planPreparation(protocol(), Session.Values,
                              Statement.request().settings, Statement.step());
  Session.PendingChanges = std::move(Plan.Changes);
  std::string Bytes = std::move(Plan.Bytes);
  std::vector<answer_kind> Kinds(Session.PendingChanges.size(),
                                 answer_kind::Session);
  // The statement is not sent together with BEGIN: if BEGIN failed, it would be
  // executed outside of a transaction.
  if (Statement.opensTransaction() ||
      Statement.Destination == line_destination::PrimaryRead) {
    bool ReadOnly = Statement.opensTransaction() &&
                    Statement.Destination == line_destination::AnyUpstream;
    protocol().AppendBegin(
        Bytes, ReadOnly, ReadOnly ? Statement.RequiredPosition : std::nullopt);
    Kinds.push_back(answer_kind::Begin);
  }
  Statement.SentAt = now();
  if (Kinds.empty())
    return execute(Statement);
  Session.Connection->executeBatch(
      std::move(Bytes), std::move(Kinds),
      [Weak = weak_from_this(),
       Key = Statement.key()](const line_batch_result &Result) {
        if (auto Self = Weak.lock())
          Self->onSessionPrepared(Key, Result);
      });
}

/// Returns the session that executes the attempt, or null.
line_session *line_group::findSession(line_attempt_key Key) {
  auto Detached = DetachedAttempts.find(Key);
  if (Detached != DetachedAttempts.end())
    return Detached->second.Session.get();
  auto *Statement = findStatement(Key.Statement);
  return Statement && Statement->key() == Key ? Statement->Session.get()
                                              : nullptr;
}

void line_group::onSessionPrepared(line_attempt_key Key,
                                   const line_batch_result &Result) {
  if (auto *Session = findSession(Key))
    confirmChanges(Session->Values, std::exchange(Session->PendingChanges, {}),
                   Result.Answers);
  auto *Statement = findStatement(Key.Statement);
  // The caller's own statement has not been sent yet, so there is no answer to
  // forward.
  if (handleDetachedAnswer(Key, Result) || !Statement)
    return;
  if (Result.ConnectionLost)
    return handleLostAttempt(*Statement, Result.Problem);
  learnPositions(Statement->Upstream, Result);
  for (const auto &Answer : Result.Answers)
    if (Answer.Failure)
      return handleFailure(*Statement, *Answer.Failure);
  const auto &Last = Result.Answers.back();
  bool OnPrimary = Statement->Destination != line_destination::AnyUpstream;
  if (auto *Upstream = findUpstream(Statement->Upstream)) {
    handleReachable(*Upstream);
    if (Last.Ready.Position)
      Upstream->Applied = *Last.Ready.Position;
  }
  if (OnPrimary && Last.Ready.State == 'T' && Last.Ready.Position &&
      (Statement->opensTransaction() ||
       Statement->Destination == line_destination::PrimaryRead))
    recordPositionSample(Statement->SentAt, *Last.Ready.Position);
  execute(*Statement);
}

/// Reports whether the statement belongs to a transaction that has written.
bool line_group::hasWrittenTransaction(
    const line_pending_statement &Statement) const {
  auto Found = Transactions.find(Statement.transactionKey());
  return Found != Transactions.end() && Found->second.HasWrites;
}

/// Reports whether the statement changes data and must not be sent because the
/// primary is being replaced.
bool line_group::isFenced(const line_pending_statement &Statement) const {
  bool Writes = Statement.isCommit() ? hasWrittenTransaction(Statement)
                                     : Statement.request().access ==
                                           wire::statement_access::write;
  bool OpensPlain = Statement.Destination == line_destination::Primary &&
                    Statement.Phase == line_phase::Queued;
  if (!Writes && !OpensPlain)
    return false;
  auto Id = Statement.Phase == line_phase::Queued
                ? findPrimary()
                : std::optional(Statement.Upstream);
  auto Upstream = Id ? Upstreams.find(*Id) : Upstreams.end();
  return !mayWrite(
      WriteFence, Upstream == Upstreams.end() ? term() : Upstream->second.Term);
}

void line_group::execute(line_pending_statement &Statement) {
  if (isFenced(Statement))
    return handleFenced(Statement);
  Statement.Phase = line_phase::Executing;
  Statement.SentAt = now();
  const auto &Step = Statement.step();
  // Within a transaction the position was required at its begin.
  std::optional<position> After;
  if (!Statement.isInTransaction() &&
      Statement.Destination == line_destination::AnyUpstream)
    After = Statement.RequiredPosition;
  std::string Bytes;
  if (Step.verb == wire::line_verb::execute)
    protocol().AppendExecute(Bytes, Step.id, preparedName(Step), Step.arguments,
                             After);
  else
    protocol().AppendStatement(Bytes, Step.id, Step.text, After);
  std::vector<answer_kind> Kinds = {answer_kind::Signed};
  if (Statement.Destination == line_destination::PrimaryRead &&
      !Statement.isInTransaction()) {
    protocol().AppendRollback(Bytes);
    Kinds.push_back(answer_kind::Rollback);
  }
  auto *Upstream = findUpstream(Statement.Upstream);
  if (Upstream && Statement.changesData() && !Upstream->WriteUnansweredSince)
    Upstream->WriteUnansweredSince = now();
  Statement.Session->Connection->executeBatch(
      std::move(Bytes), std::move(Kinds),
      [Weak = weak_from_this(),
       Key = Statement.key()](line_batch_result Result) {
        if (auto Self = Weak.lock())
          Self->onExecuted(Key, std::move(Result));
      });
}

void line_group::onExecuted(line_attempt_key Key, line_batch_result Result) {
  handleExecuted(Key, std::move(Result));
  // The upstream may have told a higher position.
  if (!HeldCommits.empty())
    handleHeldCommits();
}

void line_group::handleExecuted(line_attempt_key Key,
                                line_batch_result Result) {
  bool IsDetached = handleDetachedAnswer(Key, Result);
  auto *Statement = findStatement(Key.Statement);
  if (!Statement)
    return;
  if (IsDetached) {
    // An earlier attempt answered first; its answer is just as valid.
    bool IsUsable = Statement->isReadOutsideTransaction() &&
                    !Result.Answers.empty() && !Result.Answers.front().Failure;
    if (!IsUsable)
      return;
    if (Statement->Phase != line_phase::Queued)
      detachAttempt(*Statement);
    return replyAnswered(*Statement, Result.Answers.front());
  }
  // The answer is valid even if the connection was lost right after it.
  if (Result.Answers.empty())
    return handleLostAttempt(*Statement, Result.Problem);
  const auto &Answer = Result.Answers.front();
  Statement->Session->IsRollbackDue = !Result.ConnectionLost &&
                                      !Statement->isInTransaction() &&
                                      Result.Answers.back().Ready.State != 'I';
  recordAnswer(*Statement, Answer);
  if (Answer.Failure)
    return handleFailure(*Statement, *Answer.Failure);
  if (Statement->isCommit() ? hasWrittenTransaction(*Statement)
                            : Statement->changesData())
    return handleConfirmedCommit(*Statement, Answer);
  handleSuccess(*Statement, Answer);
}

void line_group::continueTransaction(line_pending_statement &Statement,
                                     line_transaction &Transaction) {
  Statement.Destination = line_destination::Primary;
  Statement.Upstream = Transaction.Upstream;
  Statement.Session = std::move(Transaction.Session);
  if (auto *Upstream = findUpstream(Statement.Upstream)) {
    ++Upstream->InFlight;
    if (Upstream->Load)
      Upstream->Load->countStatement();
  }
  prepareSession(Statement);
  armDeadlineTimer();
}

void line_group::recordAnswer(line_pending_statement &Statement,
                              const line_answer &Answer) {
  auto *Upstream = findUpstream(Statement.Upstream);
  if (!Upstream)
    return;
  handleReachable(*Upstream);
  if (Answer.Ready.Position && *Answer.Ready.Position > Upstream->Applied)
    Upstream->Applied = *Answer.Ready.Position;
  recordReplicaPosition(*Upstream, *Statement.Session->Connection,
                        Answer.Ready.Position);
  duration Elapsed = now() - Statement.SentAt;
  StatementSeconds.observe(Elapsed);
  bool HasFailed = Answer.Failure && Answer.Failure->Code == line_error::Failed;
  recordEvidence(Upstream->Score,
                 HasFailed ? upstream_evidence::Failed
                           : upstream_evidence::Answered,
                 now());
  if (!Answer.Failure) {
    if (Queue.empty())
      recordExecutionTime(Estimates, Statement.kind(), Elapsed);
    Upstream->LastAnswerAt = now();
    recordLatency(Upstream->LatencyTrend, Elapsed,
                  Settings.EvenLoad.AdaptLimit
                      ? baseline_rise::SlowWhileCongested
                      : baseline_rise::Uniform);
    adaptLimit(*Upstream, limit_evidence::Executed);
    Upstream->Latency += (Elapsed - Upstream->Latency) / LatencyWeightDivisor;
    if (Statement.changesData())
      Upstream->WriteUnansweredSince.reset();
  }
}

} // namespace teasellock
