#include "modules/control/pause_answers.h"

#include "modules/control/departed_upstreams.h"
#include "modules/control/group_reports.h"
#include "modules/control/pause_progress.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Reports whether the upstream counts as a replica while the primary is
/// replaced: all but the former primary do. That does if it was demoted, or if
/// it may have followed another one meanwhile.
bool isReplica(const group_state &Group, const pause_progress &Progress,
               const upstream_id &Upstream) {
  return Group.Promotion->Deposed != Upstream || Group.Promotion->MayHaveLed ||
         (demotionTarget(Group) && Progress.PausedReplicas.contains(Upstream));
}

/// Reports whether the paused replica is of the incarnation that control knows.
/// This holds if that incarnation announced itself after the connection was
/// opened.
bool isConfirmed(const group_state &Group, const leader_state &Leader,
                 const upstream_announcement &Upstream,
                 const paused_replica &Answer) {
  if (Answer.Incarnation != Upstream.Incarnation)
    return false;
  auto LastAnnouncement =
      Leader.LastAnnouncements.find({Group.Group, Upstream.Upstream});
  return LastAnnouncement != Leader.LastAnnouncements.end() &&
         LastAnnouncement->second.Incarnation == Upstream.Incarnation &&
         LastAnnouncement->second.ReceivedAt >= Answer.ConnectedBy;
}

/// Returns the replicas that are paused and confirmed, by upstream; adds the
/// others to Answers.
std::map<upstream_id, paused_replica>
confirmedReplicas(const group_state &Group, const leader_state &Leader,
                  const pause_progress &Progress,
                  const decision_settings &Settings, time_point Now,
                  const pause_rules &Rules, pause_answers &Answers) {
  std::map<upstream_id, paused_replica> Result;
  auto Probes = latestProbes(Group, Leader, Settings, Now);
  for (const auto &[Name, Upstream] : Group.Upstreams) {
    if (!isReplica(Group, Progress, Name))
      continue;
    auto Answer = Progress.PausedReplicas.find(Name);
    if (Answer == Progress.PausedReplicas.end() &&
        isLost(Group, Leader, Probes, Settings, Now, Name)) {
      Answers.HasLost = true;
      continue;
    }
    if (Answer == Progress.PausedReplicas.end()) {
      Answers.Missing += Name.Value + " (no answer) ";
      continue;
    }
    if (Rules.RequireSameIncarnation &&
        !isConfirmed(Group, Leader, Upstream, Answer->second)) {
      Answers.Missing += Name.Value + " (incarnation not confirmed) ";
      continue;
    }
    Result.insert(*Answer);
  }
  return Result;
}

/// Returns the answer of the process that was the primary, if it is a replica
/// now, or null. Its log has every commit of its term.
const paused_replica *deposedAnswer(const group_state &Group,
                                    const pause_answers &Answers) {
  const auto &Promotion = *Group.Promotion;
  if (!Promotion.Deposed)
    return nullptr;
  auto Answer = Answers.Confirmed.find(*Promotion.Deposed);
  bool HasLog = Answer != Answers.Confirmed.end() &&
                Answer->second.Incarnation == Promotion.DeposedIncarnation;
  return HasLog ? &Answer->second : nullptr;
}

/// Returns the replica with the highest position, or null; of equal ones, one
/// that is not leaving.
const candidate *
highestReplica(const group_state &Group,
               const std::map<upstream_id, paused_replica> &Answers) {
  const candidate *Best = nullptr;
  auto Rank = [&](const auto &Entry) {
    return std::pair(Entry.second.Received,
                     !Group.Upstreams.at(Entry.first).Leaving);
  };
  for (const auto &Entry : Answers)
    if (!Best || Rank(*Best) < Rank(Entry))
      Best = &Entry;
  return Best;
}

} // namespace

std::optional<upstream_id> demotionTarget(const group_state &Group) {
  return Group.Promotion->Planned ? Group.Promotion->Deposed : std::nullopt;
}

pause_answers collectAnswers(const group_state &Group,
                             const leader_state &Leader,
                             const decision_settings &Settings, time_point Now,
                             const pause_rules &Rules) {
  pause_answers Answers;
  Answers.Progress = progressOf(Group, Leader);
  if (Answers.Progress)
    Answers.Confirmed = confirmedReplicas(Group, Leader, *Answers.Progress,
                                          Settings, Now, Rules, Answers);
  return Answers;
}

bool hasHeardAll(const leader_state &Leader, const decision_settings &Settings,
                 time_point Now) {
  return Now - Leader.LeadingSince >= Settings.AnnouncementInterval;
}

position acknowledgedPosition(const group_state &Group,
                              const leader_state &Leader) {
  position Highest = Group.Watermark;
  // What was acknowledged in earlier terms lies before the watermark.
  auto Add = [&](const position &Acknowledged) {
    if (Acknowledged.Term >= Group.Term)
      Highest = std::max(Highest, Acknowledged);
  };
  if (const auto *Progress = progressOf(Group, Leader);
      Progress && Group.Promotion)
    Add(Progress->Acknowledged);
  for (const auto &[Name, Vm] : Leader.Vms) {
    auto Report = Vm.Groups.find(Group.Group);
    if (Report != Vm.Groups.end())
      Add(Report->second.Acknowledged);
  }
  return Highest;
}

bool mayLackWrites(const group_state &Group, const pause_answers &Answers) {
  const auto &Promotion = *Group.Promotion;
  if (!deposedAnswer(Group, Answers))
    return Group.Dirty || Promotion.HasLostChosen;
  // Of a term that began after the first order, it need not have them.
  return Group.Dirty && Promotion.FirstOrderedAt != revision() &&
         Group.DirtySince > Promotion.FirstOrderedAt;
}

bool hasAllAcknowledged(const group_state &Group, const leader_state &Leader,
                        const pause_answers &Answers,
                        const paused_replica &Replica) {
  bool IsCovered = !mayLackWrites(Group, Answers) && !Answers.HasLost;
  if (IsCovered && Replica.Received != position())
    return true;
  return Replica.Received >= acknowledgedPosition(Group, Leader);
}

const candidate *candidateOfPauses(const group_state &Group,
                                   const leader_state &Leader,
                                   const pause_answers &Answers,
                                   const decision_settings &Settings,
                                   time_point Now, const pause_rules &Rules) {
  bool MayCoverWrites = !Answers.isOlderThan(Settings.UpstreamLossTimeout, Now);
  if ((Rules.RequireAllReplicas && !Answers.Missing.empty()) ||
      (Rules.CheckDirty && mayLackWrites(Group, Answers) && MayCoverWrites))
    return nullptr;
  const auto *Best = highestReplica(Group, Answers.Confirmed);
  if (Rules.RequireAcknowledged && Best &&
      !hasAllAcknowledged(Group, Leader, Answers, Best->second))
    return nullptr;
  return Best;
}

const candidate *candidateAfterDemotion(const group_state &Group,
                                        const pause_answers &Answers,
                                        time_point Now) {
  // Only the log of the last primary has all that was acknowledged.
  if (Group.Promotion->MayHaveLed)
    return nullptr;
  const auto *Demoted = deposedAnswer(Group, Answers);
  const auto *Best = highestReplica(Group, Answers.Confirmed);
  // The log of a primary that lost it ends before what was acknowledged.
  if (!Demoted || !Best || Best->second.Received < Demoted->Received ||
      Best->second.Received < Group.Watermark)
    return nullptr;
  bool MayWait =
      !Answers.Missing.empty() && !Answers.isOlderThan(DemotionTimeout, Now);
  return Best->first == Group.Promotion->Deposed && MayWait ? nullptr : Best;
}

} // namespace teasellock
