#include "modules/control/tests/simulated_gateway.h"

#include <algorithm>

namespace teasellock {

std::size_t commonPrefixLength(const std::vector<log_entry> &Left,
                               const std::vector<log_entry> &Right) {
  std::size_t Same = 0;
  while (Same < Left.size() && Same < Right.size() && Left[Same] == Right[Same])
    ++Same;
  return Same;
}

position endOf(const std::vector<log_entry> &Log) {
  if (Log.empty())
    return {};
  return {term(Log.back().first), Log.back().second};
}

void simulated_gateway::applyView(const group_view &NewView,
                                  std::optional<time_point> SentAt) {
  if (NewView.Revision < View.Revision)
    return;
  std::map<upstream_id, incarnation> Present;
  for (const auto &Upstream : NewView.Upstreams)
    Present[Upstream.Upstream] = Upstream.Incarnation;
  for (const auto &Upstream : View.Upstreams) {
    auto Found = Present.find(Upstream.Upstream);
    if (Found == Present.end() || Found->second != Upstream.Incarnation)
      Connections.erase(Upstream.Upstream);
  }
  View = NewView;
  teasellock::applyView(Fence, View);
  Coverage.IsRequired = Rules.AwaitReplica && View.Row.AckReplicas > 0;
  if (SentAt)
    ConfirmedAt = std::max(ConfirmedAt, *SentAt);
  refreshCoverage();
}

void simulated_gateway::closeFence(term Term, revision Revision) {
  // A fence that arrives after the end of its promotion closes nothing.
  if (!View.Primary || Revision >= View.Revision)
    closeWriteFence(Fence, Term, Revision);
}

void simulated_gateway::endPauses() { recordPauses(Fence); }

bool simulated_gateway::knows(const upstream_id &Name) const {
  return std::any_of(
      View.Upstreams.begin(), View.Upstreams.end(),
      [&](const auto &Upstream) { return Upstream.Upstream == Name; });
}

time_point simulated_gateway::recordAnswer(const upstream_answer &Answer,
                                           time_point Now) {
  auto &Connection = Connections[Answer.Name];
  if (Connection.Process != Answer.Process) {
    Connection.Process = Answer.Process;
    Connection.OpenedAt = Now;
    Connection.Sighting.reset();
  }
  if (Answer.IsReplica)
    Connection.Sighting =
        replica_sighting{Connection.OpenedAt, Answer.Received};
  refreshCoverage();
  return Connection.OpenedAt;
}

void simulated_gateway::refreshCoverage() {
  if (View.Primary && !Fence.IsClosed)
    confirmLeadership(Coverage, ConfirmedAt, View.Term);
  if (!Rules.RequireConfirmedTerm)
    Coverage.ConfirmedTerm = {};
  for (const auto &[Name, Connection] : Connections) {
    auto Sighting = Connection.Sighting;
    if (!Sighting || (Rules.ExcludeFormerPrimary &&
                      Sighting->Received.Term <= Connection.LedTerm))
      continue;
    if (!Rules.RequireOldConnection)
      Sighting->ConnectedAt = {};
    recordSighting(Coverage, *Sighting);
  }
}

void simulated_gateway::confirm(const std::vector<log_entry> &Log,
                                const log_entry &Last,
                                const upstream_id &Primary, bool Arrives) {
  for (const auto &Commit : Sent) {
    if (Commit > Last || Log.size() < Commit.second ||
        Log[Commit.second - 1] != Commit)
      continue;
    auto End = Log.begin() + static_cast<std::ptrdiff_t>(Commit.second);
    Held.push_back({{Log.begin(), End}, endOf(Log), Arrives});
  }
  std::erase_if(Sent, [&](const auto &Commit) { return Commit <= Last; });
  auto &LedTerm = Connections[Primary].LedTerm;
  LedTerm = std::max(LedTerm, term(Last.first));
}

void simulated_gateway::receiveConfirmations() {
  for (auto &Commit : Held)
    Commit.HasArrived = true;
}

std::vector<std::vector<log_entry>> simulated_gateway::answerCommits() {
  refreshCoverage();
  std::vector<std::vector<log_entry>> Answered;
  for (auto &Commit : std::exchange(Held, {})) {
    auto Verdict = Commit.HasArrived
                       ? judgeCommit(Fence, Coverage, Commit.Position)
                       : commit_verdict::Await;
    if (Verdict == commit_verdict::Await) {
      Held.push_back(std::move(Commit));
    } else if (Verdict == commit_verdict::Acknowledge) {
      Acknowledged = std::max(Acknowledged, Commit.Position);
      Answered.push_back(std::move(Commit.Log));
    }
  }
  return Answered;
}

void simulated_gateway::restart() {
  simulated_gateway Next(Vm, Rules);
  Next.CutOffUntil = CutOffUntil;
  *this = std::move(Next);
}

} // namespace teasellock
