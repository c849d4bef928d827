#include "modules/control/pause_progress.h"

#include "modules/control/leases.h"

namespace teasellock {

const pause_progress *progressOf(const group_state &Group,
                                 const leader_state &Leader) {
  auto Found = Leader.PausePromotions.find(Group.Group);
  return Found == Leader.PausePromotions.end() ? nullptr : &Found->second;
}

void recordPausesSent(const group_state &Group, leader_state &Leader,
                      const std::vector<gateway_incarnation> &Gateways,
                      time_point Now) {
  auto Known = Leader.PausePromotions.find(Group.Group);
  if (Known == Leader.PausePromotions.end()) {
    Known = Leader.PausePromotions.emplace(Group.Group, pause_progress()).first;
    Known->second.StartedAt = Now;
  }
  for (const auto &Gateway : Gateways)
    Known->second.FenceSentAt[Gateway] = Now;
}

void recordPauseReply(const group_state &Group, leader_state &Leader,
                      const wire::fence_reply &Reply, time_point FenceSentAt,
                      time_point Now) {
  auto Progress = Leader.PausePromotions.find(Group.Group);
  if (!Group.Promotion || Progress == Leader.PausePromotions.end() ||
      static_cast<std::uint64_t>(Reply.term) != Group.Term.Value ||
      FenceSentAt < Progress->second.StartedAt)
    return;
  Progress->second.Acknowledged =
      std::max(Progress->second.Acknowledged, fromWire(Reply.acknowledged));
  for (const auto &[Name, Probe] : parseReports(Reply.upstreams)) {
    auto Known = Group.Upstreams.find(Name);
    if (!Probe.Reachable || !Probe.Paused || Known == Group.Upstreams.end())
      continue;
    paused_replica Answer;
    Answer.Incarnation = Known->second.Incarnation;
    Answer.Received = Probe.Received;
    Answer.AskedAt = FenceSentAt;
    Answer.ConnectedBy = Now - Probe.ConnectionAge;
    Progress->second.PausedReplicas[Name] = Answer;
  }
}

void recordPausingBegins(const group_decision &Decision, leader_state &Leader) {
  // Replies to earlier pause requests do not count for new ones. They are kept
  // when a promotion ends: the commit may be overtaken by another change.
  const auto &Next = Decision.Next;
  if (Next && !Decision.KeepsAnswers && Next->Promotion &&
      Next->Promotion->Phase == promotion_phase::Fencing)
    Leader.PausePromotions.erase(Next->Group);
}

} // namespace teasellock
