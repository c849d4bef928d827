#include "core/distance.h"
#include "modules/line/line_group_state.h"

#include <algorithm>
#include <utility>

namespace teasellock {

namespace {

/// While commits wait, replicas are asked for their positions this often. Most
/// commits are covered before by what replicas tell with their answers to
/// reads; each question takes a slot of the replica.
constexpr duration ReplicaQueryInterval = std::chrono::milliseconds(30);

} // namespace

//===----------------------------------------------------------------------===//
// Commits
//===----------------------------------------------------------------------===//

/// Answers a commit that the primary has confirmed once a replica that control
/// knows has it, unless it may be missing in the upstream that replaces the
/// primary.
void line_group::handleConfirmedCommit(line_pending_statement &Statement,
                                       const line_answer &Answer) {
  const auto &Position = Answer.Ready.Position;
  if (auto *Upstream = findUpstream(Statement.Upstream); Upstream && Position)
    Upstream->LedTerm = std::max(Upstream->LedTerm, Position->Term);
  refreshCoverage();
  auto Verdict = judgeCommit(WriteFence, Coverage, Position);
  if (Verdict == commit_verdict::Await)
    holdCommit(Statement, Answer);
  else
    answerCommit(Statement, Answer, Verdict);
}

/// Acknowledges the commit, or reports it as in doubt.
void line_group::answerCommit(line_pending_statement &Statement,
                              const line_answer &Answer,
                              commit_verdict Verdict) {
  if (Verdict == commit_verdict::Acknowledge) {
    if (Answer.Ready.Position)
      Acknowledged = std::max(Acknowledged, *Answer.Ready.Position);
    return handleSuccess(Statement, Answer);
  }
  auto Session = std::move(Statement.Session);
  auto Id = Statement.Upstream;
  if (auto *Upstream = findUpstream(Id))
    --Upstream->InFlight;
  Transactions.erase(Statement.transactionKey());
  replyUnknown(Statement, line_error::InDoubt,
               "confirmed while the primary was replaced, by none of the "
               "replicas that may take over");
  releaseSession(Id, std::move(Session));
}

void line_group::holdCommit(line_pending_statement &Statement,
                            const line_answer &Answer) {
  HeldCommits.push_back({Statement.key(), Answer, now()});
  if (HeldCommits.size() > 1)
    return;
  AsksNearest = true;
  // Connections that are newer than the last renewal count after the next one.
  if (!findNearestReplica())
    Member.RenewEarly();
  ReplicaQueryTimer =
      Context.Timers.every(ReplicaQueryInterval, [Weak = weak_from_this()] {
        if (auto Self = Weak.lock())
          Self->queryReplicas();
      });
}

/// Judges the held commits again.
void line_group::handleHeldCommits() {
  refreshCoverage();
  for (const auto &Held : std::exchange(HeldCommits, {})) {
    auto *Statement = findStatement(Held.Attempt.Statement);
    if (!Statement || Statement->key() != Held.Attempt || !Statement->Session)
      continue;
    auto Verdict =
        judgeCommit(WriteFence, Coverage, Held.Answer.Ready.Position);
    if (Verdict == commit_verdict::Await) {
      HeldCommits.push_back(Held);
      continue;
    }
    HeldCommitSeconds.observe(now() - Held.HeldAt);
    answerCommit(*Statement, Held.Answer, Verdict);
  }
  if (HeldCommits.empty())
    ReplicaQueryTimer.cancel();
}

//===----------------------------------------------------------------------===//
// Replicas' positions
//===----------------------------------------------------------------------===//

/// Records a position that a replica has reported over a connection. The log of
/// a former primary counts for later terms only: it contains commits of its own
/// that no replica may have.
void line_group::recordReplicaPosition(
    line_upstream &Upstream, const line_connection &Connection,
    const std::optional<position> &Position) {
  refreshCoverage();
  if (Upstream.IsPrimary || !Position || *Position == position() ||
      Position->Term <= Upstream.LedTerm)
    return;
  replica_sighting Sighting{Connection.openedAt(), *Position};
  recordSighting(Coverage, Sighting);
  // That of a probe connection is kept until control's next confirmation.
  if (&Connection != Upstream.ProbeConnection.get())
    return;
  if (Upstream.Sighting &&
      Upstream.Sighting->ConnectedAt == Sighting.ConnectedAt)
    Sighting.Received = std::max(*Position, Upstream.Sighting->Received);
  Upstream.Sighting = Sighting;
}

/// Takes into account what control has confirmed and replicas have reported.
void line_group::refreshCoverage() {
  if (View.Primary && !WriteFence.IsClosed)
    confirmLeadership(Coverage, Member.ConfirmedAt(), View.Term);
  for (const auto &[Id, Upstream] : Upstreams)
    if (countsAsReplica(Upstream))
      recordSighting(Coverage, *Upstream.Sighting);
}

/// Reports whether the upstream's position has been seen. The log of a former
/// primary contains commits of its term that no replica may have.
bool line_group::countsAsReplica(const line_upstream &Upstream) const {
  return Upstream.Sighting &&
         Upstream.Sighting->Received.Term > Upstream.LedTerm;
}

/// Returns the nearest replica whose position counts, or null.
const upstream_id *line_group::findNearestReplica() const {
  const upstream_id *Nearest = nullptr;
  std::optional<std::pair<distance, duration>> LowestCost;
  for (const auto &[Id, Upstream] : Upstreams) {
    if (Upstream.IsPrimary || Upstream.UnreachableSince ||
        !countsAsReplica(Upstream) ||
        !isConfirmed(Coverage, *Upstream.Sighting))
      continue;
    const auto &Known = Upstream.Announcement;
    std::pair Cost(
        distanceTo(Context.Self, Known.AvailabilityZone, Known.Region),
        Upstream.Latency);
    if (!LowestCost || Cost < *LowestCost) {
      LowestCost = Cost;
      Nearest = &Id;
    }
  }
  return Nearest;
}

/// Asks the nearest replica how far its log is, then all of them.
void line_group::queryReplicas() {
  if (HeldCommits.empty())
    return ReplicaQueryTimer.cancel();
  if (const auto *Nearest = findNearestReplica();
      Nearest && std::exchange(AsksNearest, false))
    return queryReplica(upstream_id(*Nearest));
  std::vector<upstream_id> Replicas;
  for (const auto &[Id, Upstream] : Upstreams)
    if (!Upstream.IsPrimary && !Upstream.UnreachableSince)
      Replicas.push_back(Id);
  for (const auto &Id : Replicas)
    queryReplica(Id);
}

/// Asks a replica for the end of its log, unless it has been asked already. If
/// it was too busy to tell, asks for the position that it has applied.
void line_group::queryReplica(const upstream_id &Id) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream || Upstream->ProbeInFlight || !Upstream->ProbeQueue.empty())
    return;
  if (std::exchange(Upstream->RejectedStatus, false))
    probe(Id);
  else
    requestStatus(Id);
}

} // namespace teasellock
