#include "core/event_log.h"
#include "modules/line/line_group_state.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Interval of status requests, which return the term and whether a replica is
/// still paused. Each takes a slot of the upstream.
constexpr duration StatusInterval = std::chrono::milliseconds(2000);
/// Interval of probes to every upstream while no primary is known.
constexpr duration PrimarySearchInterval = std::chrono::milliseconds(100);
/// Samples are discarded after this; no route tolerates older data.
constexpr duration SampleRetention = std::chrono::seconds(10);
/// Minimum spacing of samples. More samples would not allow replicas to lag
/// noticeably further.
constexpr duration SampleSpacing = std::chrono::milliseconds(100);
constexpr duration ProbeConnectDelay = std::chrono::milliseconds(100);
/// A primary that has answered no write for this long counts as unable to
/// commit: about twice as long as callers wait for a statement.
constexpr duration WriteStallTimeout = std::chrono::milliseconds(1500);

} // namespace

//===----------------------------------------------------------------------===//
// Primary and reachability
//===----------------------------------------------------------------------===//

std::optional<upstream_id> line_group::findPrimary() const {
  const line_upstream *Best = nullptr;
  std::optional<upstream_id> Result;
  // A primary that crashed is known under its former id as well for a while.
  auto Rank = [](const line_upstream &Upstream) {
    return std::pair(Upstream.Term, !Upstream.UnreachableSince);
  };
  for (const auto &[Id, Upstream] : Upstreams)
    if (Upstream.IsPrimary && (!Best || Rank(Upstream) > Rank(*Best))) {
      Best = &Upstream;
      Result = Id;
    }
  return Result;
}

void line_group::handleLeadership(const upstream_id &Id, bool IsPrimary,
                                  term Term) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream)
    return;
  if (IsPrimary && Term != teasellock::term())
    Upstream->Term = Upstream->LedTerm = Term;
  if (Upstream->IsPrimary == IsPrimary)
    return;
  // Its log may end in commits of its term that no replica has.
  if (Upstream->IsPrimary)
    Upstream->LedTerm =
        std::max({Upstream->LedTerm, Upstream->Applied.Term, Upstream->Term});
  Upstream->IsPrimary = IsPrimary;
  event("gateway.leads")
      .with("group", View.Group.Value)
      .with("upstream", Id.Value)
      .with("leads", IsPrimary)
      .with("term", Upstream->Term.Value)
      .with("position", toString(Upstream->Applied));
  Upstream->WriteUnansweredSince.reset();
  if (IsPrimary)
    requestStatus(Id);
  Member.RenewEarly();
}

void line_group::handleReachable(line_upstream &Upstream) {
  Upstream.LastReceivedAt = now();
  Upstream.HasReceived = true;
  if (!Upstream.UnreachableSince)
    return;
  event("upstream.reachable")
      .with("group", View.Group.Value)
      .with("upstream", Upstream.Announcement.Upstream.Value)
      .with("after_ms", toMilliseconds(now() - *Upstream.UnreachableSince));
  Upstream.UnreachableSince.reset();
  Upstream.ConnectionRefused = false;
  Upstream.Problem.clear();
  Member.RenewEarly();
}

void line_group::handleUnreachable(const upstream_id &Id,
                                   const std::string &Problem, bool Refused) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream)
    return;
  Upstream->ConnectionRefused = Refused;
  Upstream->Problem = Problem;
  if (Upstream->UnreachableSince)
    return;
  // The outage began at the last message received, not when it was noticed.
  Upstream->UnreachableSince =
      Upstream->HasReceived
          ? std::max(Upstream->LastReceivedAt, now() - WriteStallTimeout)
          : now();
  recordEvidence(Upstream->Score, upstream_evidence::ConnectionLost, now());
  adaptLimit(*Upstream, limit_evidence::Unanswered);
  event("upstream.unreachable", severity::Warning)
      .with("group", View.Group.Value)
      .with("upstream", Id.Value)
      .with("refused", Refused)
      .with("reason", Problem);
  Member.RenewEarly();
  // Reads can be executed elsewhere; statements that change data may still be
  // answered.
  std::vector<std::uint64_t> Retryable;
  for (const auto &[StatementId, Statement] : PendingStatements)
    if (Statement->Phase != line_phase::Queued && Statement->Upstream == Id &&
        !Statement->isInTransaction() && !Statement->changesData())
      Retryable.push_back(StatementId);
  for (auto StatementId : Retryable)
    if (auto *Statement = findStatement(StatementId))
      handleLostAttempt(*Statement, "the upstream is unreachable: " + Problem);
  if (Upstream = findUpstream(Id); Upstream)
    Upstream->IdleSessions.clear();
}

//===----------------------------------------------------------------------===//
// Probe connections
//===----------------------------------------------------------------------===//

void line_group::enqueueProbeRequest(const upstream_id &Id,
                                     line_probe_request Request) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream)
    return;
  Upstream->ProbeQueue.push_back(std::move(Request));
  sendNextProbeRequest(Id);
}

void line_group::openProbeConnection(const upstream_id &Id) {
  auto &Upstream = Upstreams.at(Id);
  if (Upstream.ProbeConnectionOpening || now() < Upstream.ProbeNotBefore)
    return;
  Upstream.ProbeConnectionOpening = true;
  line_target Target{Upstream.Announcement.Address, View.Group.Value,
                     Settings.User, Id, Settings.ProbeTimeout};
  auto KeepAlive =
      std::shared_ptr<line_connection>(std::move(Upstream.ProbeConnection));
  Context.Loop.post([KeepAlive] {});
  Upstream.ProbeConnection = std::make_unique<line_connection>(
      Context, protocol(), std::move(Target),
      [Weak = weak_from_this(), Id](const line_connect_result &Opening) {
        auto Self = Weak.lock();
        auto *Upstream = Self ? Self->findUpstream(Id) : nullptr;
        if (!Upstream)
          return;
        Upstream->ProbeConnectionOpening = false;
        if (!Opening.Problem) {
          Self->handleReachable(*Upstream);
          Self->learnPosition(*Upstream, Opening.Ready);
          return Self->sendNextProbeRequest(Id);
        }
        Upstream->ProbeNotBefore = Self->now() + ProbeConnectDelay;
        Upstream->ProbeQueue.clear();
        // An upstream that rejects the session, for want of a free connection
        // say, is reachable.
        if (!Opening.Code)
          Self->handleUnreachable(Id, Opening.Problem->reason(),
                                  Opening.Refused);
      });
}

void line_group::sendNextProbeRequest(const upstream_id &Id) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream || Upstream->ProbeInFlight || Upstream->ProbeQueue.empty())
    return;
  if (!Upstream->ProbeConnection || !Upstream->ProbeConnection->isOpen())
    return openProbeConnection(Id);
  Upstream->ProbeInFlight = std::move(Upstream->ProbeQueue.front());
  Upstream->ProbeQueue.pop_front();
  Upstream->ProbeSentAt = now();
  Upstream->ProbeConnection->executeBatch(
      Upstream->ProbeInFlight->Bytes, Upstream->ProbeInFlight->Kinds,
      [Weak = weak_from_this(), Id](const line_batch_result &Result) {
        if (auto Self = Weak.lock())
          Self->onProbeResult(Id, Result);
      });
}

void line_group::onProbeResult(const upstream_id &Id,
                               const line_batch_result &Result) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream || !Upstream->ProbeInFlight)
    return;
  auto Request = std::move(*Upstream->ProbeInFlight);
  Upstream->ProbeInFlight.reset();
  position Before = Upstream->Applied;
  bool HasAdvanced = false;
  if (!Result.ConnectionLost) {
    handleReachable(*Upstream);
    if (Result.Answers.back().Ready.Position)
      Upstream->Applied = *Result.Answers.back().Ready.Position;
    HasAdvanced = Upstream->Applied > Before;
    recordReplicaPosition(*Upstream, *Upstream->ProbeConnection,
                          Result.Answers.back().Ready.Position);
  }
  Request.OnResult(Result);
  if (!HeldCommits.empty())
    handleHeldCommits();
  sendNextProbeRequest(Id);
  // Reads may wait for this position.
  if (Settings.EvenLoad.LearnPositions && HasAdvanced && !Queue.empty())
    startQueued();
}

//===----------------------------------------------------------------------===//
// Probes
//===----------------------------------------------------------------------===//

void line_group::recordPositionSample(time_point RequestedAt,
                                      const position &Position) {
  addPositionSample(PositionHistory, {RequestedAt, Position}, SampleSpacing,
                    SampleRetention);
}

/// Opens a read-write transaction and rolls it back, which only the primary
/// accepts. The answer also returns the upstream's position.
void line_group::probe(const upstream_id &Id) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream || Upstream->ProbeInFlight || !Upstream->ProbeQueue.empty())
    return;
  line_probe_request Request;
  protocol().AppendBegin(Request.Bytes, false, std::nullopt);
  protocol().AppendRollback(Request.Bytes);
  Request.Kinds = {answer_kind::Begin, answer_kind::Rollback};
  Upstream->PositionRequestedAt = now();
  Request.OnResult = [Weak = weak_from_this(),
                      Id](const line_batch_result &Result) {
    auto Self = Weak.lock();
    auto *Upstream = Self ? Self->findUpstream(Id) : nullptr;
    if (!Upstream || Result.Answers.empty())
      return;
    const auto &Begin = Result.Answers.front();
    if (Begin.Failure && Begin.Failure->Code == line_error::ReadOnly)
      return Self->handleLeadership(Id, false, term());
    if (Begin.Failure || Begin.Ready.State != 'T')
      return;
    if (Begin.Ready.Position)
      Self->recordPositionSample(Upstream->ProbeSentAt, *Begin.Ready.Position);
    Self->handleLeadership(Id, true, term());
    Self->startQueued();
  };
  enqueueProbeRequest(Id, std::move(Request));
}

void line_group::requestStatus(const upstream_id &Id) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream)
    return;
  Upstream->StatusRequestedAt = now();
  std::string Bytes;
  protocol().AppendStatus(Bytes);
  enqueueStatusRequest(Id, std::move(Bytes));
}

/// Sends a statement that is answered with the upstream's status.
void line_group::enqueueStatusRequest(const upstream_id &Id,
                                      std::string Bytes) {
  line_probe_request Request;
  Request.Bytes = std::move(Bytes);
  Request.OnResult = [Weak = weak_from_this(),
                      Id](const line_batch_result &Result) {
    if (auto Self = Weak.lock())
      Self->applyStatus(Id, Result);
  };
  enqueueProbeRequest(Id, std::move(Request));
}

void line_group::applyStatus(const upstream_id &Id,
                             const line_batch_result &Result) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream || Result.Answers.empty())
    return;
  const auto &Failure = Result.Answers.front().Failure;
  Upstream->RejectedStatus = Failure && Failure->Code == line_error::Busy;
  if (Result.Answers.front().Rows.empty())
    return;
  auto Status = protocol().ParseStatus(Result.Answers.front().Rows.front());
  if (!Status)
    return;
  Upstream->Received = Status->Received;
  Upstream->Paused = !Status->IsPrimary && Status->PauseTerm > Status->Term;
  bool Changed = Upstream->IsPrimary != Status->IsPrimary ||
                 (Status->IsPrimary && Upstream->Term != Status->Term);
  handleLeadership(Id, Status->IsPrimary, Status->Term);
  Upstream->Term = Status->Term;
  if (!Status->IsPrimary)
    recordReplicaPosition(*Upstream, *Upstream->ProbeConnection,
                          Status->Received);
  if (!Changed)
    return;
  Member.RenewEarly();
  // Statements may wait for a primary of a later term.
  startQueued();
}

void line_group::probeUpstreams() {
  auto Primary = findPrimary();
  // While reads wait, replicas are probed more often: they may have caught up.
  bool ReadsWait =
      std::any_of(Queue.begin(), Queue.end(), [&](const auto &Entry) {
        return PendingStatements.at(Entry.second)->Destination ==
               line_destination::AnyUpstream;
      });
  duration PositionPeriod =
      ReadsWait ? PrimarySearchInterval : Settings.PositionInterval;
  std::vector<upstream_id> Ids;
  for (const auto &[Id, Upstream] : Upstreams)
    Ids.push_back(Id);
  for (const auto &Id : Ids) {
    auto &Upstream = Upstreams.at(Id);
    if (Upstream.ProbeInFlight &&
        now() - Upstream.ProbeSentAt > Settings.ProbeTimeout) {
      Upstream.ProbeInFlight.reset();
      Upstream.ProbeQueue.clear();
      Upstream.ProbeConnection->close();
      handleUnreachable(Id, "no answer to a probe", false);
    }
    auto *Known = findUpstream(Id);
    if (!Known)
      continue;
    // Sends a request that was queued while no connection could be opened.
    sendNextProbeRequest(Id);
    if (!Primary && now() - Known->PositionRequestedAt >= PrimarySearchInterval)
      probe(Id);
    else if (Primary == Id &&
             now() - Known->PositionRequestedAt >= Settings.SampleInterval)
      probe(Id);
    else if (Primary != Id &&
             (now() - Known->LastReceivedAt >= PositionPeriod ||
              Known->UnreachableSince) &&
             now() - Known->PositionRequestedAt >= PrimarySearchInterval)
      probe(Id);
    else if (now() - Known->StatusRequestedAt >= StatusInterval &&
             !Known->UnreachableSince)
      requestStatus(Id);
  }
}

//===----------------------------------------------------------------------===//
// Reports and orders of control
//===----------------------------------------------------------------------===//

wire::upstream_report
line_group::reportOf(const upstream_id &Id,
                     const line_upstream &Upstream) const {
  wire::upstream_report Report;
  Report.upstream = Id.Value;
  Report.replica = !Upstream.IsPrimary;
  position Applied = Upstream.Applied;
  // The log of a new primary ends in the previous term until its first commit.
  if (Upstream.IsPrimary)
    Applied.Term = std::max(Applied.Term, Upstream.Term);
  Report.replayed = toWire(Applied);
  Report.received = toWire(Upstream.IsPrimary
                               ? Upstream.Applied
                               : std::max(Upstream.Received, Upstream.Applied));
  Report.paused = Upstream.Paused;
  Report.age_ms = toMilliseconds(now() - Upstream.LastReceivedAt);
  if (Upstream.ProbeConnection && Upstream.ProbeConnection->isOpen())
    Report.connection_age_ms =
        toMilliseconds(now() - Upstream.ProbeConnection->openedAt());
  std::optional<time_point> Since = Upstream.UnreachableSince;
  std::string Problem = Upstream.Problem;
  if (!Since && Upstream.IsPrimary && Upstream.WriteUnansweredSince &&
      now() - *Upstream.WriteUnansweredSince > WriteStallTimeout) {
    Since = Upstream.WriteUnansweredSince;
    Problem = "writes are not confirmed";
  }
  Report.reachable = Upstream.HasReceived && !Since;
  if (Since)
    Report.unreachable_ms =
        std::max<std::int64_t>(toMilliseconds(now() - *Since), 1);
  Report.refused = Upstream.ConnectionRefused;
  Report.problem = Problem;
  return Report;
}

wire::group_report line_group::report() const {
  wire::group_report Report;
  Report.group = View.Group.Value;
  Report.term = static_cast<std::int64_t>(View.Term.Value);
  Report.acknowledged = toWire(Acknowledged);
  bool WithinLimit =
      std::all_of(Upstreams.begin(), Upstreams.end(), [&](const auto &Entry) {
        const auto &Upstream = Entry.second;
        return Upstream.ConnectionsInUse + Upstream.ConnectionsOpening +
                   Upstream.IdleSessions.size() <=
               connectionLimit();
      });
  Report.budget_epoch =
      WithinLimit ? static_cast<std::int64_t>(Share.BudgetEpoch) : 0;
  for (const auto &[Id, Upstream] : Upstreams)
    if (Upstream.HasReceived || Upstream.UnreachableSince)
      Report.upstreams.push_back(reportOf(Id, Upstream));
  return Report;
}

} // namespace teasellock
