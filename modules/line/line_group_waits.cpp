#include "modules/line/line_group_state.h"

#include <algorithm>

namespace teasellock {

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

/// Returns what the statement waits for: the statements before it and those in
/// flight on the upstreams that have the data it needs.
queue_load
line_group::queueLoadBefore(const line_pending_statement &Statement) const {
  bool Read = Statement.Destination == line_destination::AnyUpstream;
  auto Primary = findPrimary();
  std::optional<position> Required;
  if (Read)
    Required = requiredPosition(Statement.ReadRequirement, PositionHistory);
  queue_load Load;
  duration InFlightTime{};
  std::int64_t LatencyPercent = 100;
  bool IsPrimaryNeeded = true;
  for (const auto &[Id, Upstream] : Upstreams) {
    bool HasData = Required && Upstream.Applied >= *Required;
    if (Upstream.UnreachableSince || (Primary != Id && !HasData))
      continue;
    IsPrimaryNeeded = IsPrimaryNeeded && Primary == Id;
    Load.Limit += maxInFlightOn(Upstream);
    Load.InFlight += Upstream.InFlight;
    InFlightTime += Upstream.LatencyTrend.Typical * Upstream.InFlight;
    if (Primary == Id)
      LatencyPercent = latencyPercent(Upstream.LatencyTrend);
  }
  if (Load.InFlight > 0)
    Load.ExecutionTime = InFlightTime / Load.InFlight;
  for (const auto &[Rank, Id] : Queue) {
    if (Id == Statement.Id)
      break;
    const auto &Other = *PendingStatements.at(Id);
    bool OtherReads = Other.Destination == line_destination::AnyUpstream;
    // Where only the primary has the data, all statements wait for it.
    if (OtherReads != Read && !IsPrimaryNeeded)
      continue;
    auto Mean = knownExecutionTime(Estimates, Other.kind());
    Load.WorkBefore += Mean ? *Mean * LatencyPercent / 100 : Load.ExecutionTime;
  }
  return Load;
}

/// Returns when a replica is expected to have the data that a read needs and to
/// answer it, or the maximum if that is not known.
duration
line_group::catchUpWait(const line_pending_statement &Statement) const {
  duration Best = duration::max();
  if (Statement.Destination != line_destination::AnyUpstream)
    return Best;
  auto Required = requiredPosition(Statement.ReadRequirement, PositionHistory);
  auto Primary = findPrimary();
  for (const auto &[Id, Upstream] : Upstreams) {
    // A paused replica applies nothing more, and one that has the data was not
    // chosen for another reason.
    if (!Required || Primary == Id || Upstream.Paused ||
        Upstream.UnreachableSince || !canAccept(Upstream) ||
        Upstream.Applied >= *Required)
      continue;
    auto CatchUp = expectedCatchUp(PositionHistory, Upstream.Applied,
                                   Upstream.LastReceivedAt, *Required, now());
    if (CatchUp)
      Best = std::min(Best, *CatchUp);
  }
  return Best;
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

/// Moves a queued statement before the later ones of its priority, also those
/// of faster kinds.
void line_group::moveForward(line_pending_statement &Statement) {
  auto Entry = Queue.extract(Statement.QueueKey);
  Statement.QueueKey.ExecutionTimeRank = 0;
  if (Entry.empty())
    return;
  Entry.key() = Statement.QueueKey;
  Queue.insert(std::move(Entry));
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
  duration Wait = expectedWait(rateOf(Statement), queueDepthBefore(Statement),
                               queueLoadBefore(Statement), now());
  Wait = std::min(Wait, catchUpWait(Statement));
  if (canWait(Budget, Wait)) {
    if (isOverdue(Budget))
      moveForward(Statement);
    return false;
  }
  refuseStatement(Statement, line_error::Overloaded,
                  "the expected wait in the queue is " +
                      std::to_string(toMilliseconds(Wait)) +
                      " ms: " + Statement.Reason + "; " + describeUpstreams());
  return true;
}

/// Checks the expected waits again: statements of faster kinds that arrived
/// later may have made a wait too long.
void line_group::refuseOverlongWaits() {
  std::vector<std::uint64_t> Waiting;
  for (const auto &[Place, Id] : Queue)
    Waiting.push_back(Id);
  for (auto Id : Waiting)
    if (auto *Statement = findStatement(Id))
      refuseIfWaitTooLong(*Statement);
}

} // namespace teasellock
