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
                      const wire::fence_reply &Reply, time_point Now) {
  auto Progress = Leader.PausePromotions.find(Group.Group);
  if (!Group.Promotion || Progress == Leader.PausePromotions.end() ||
      static_cast<std::uint64_t>(Reply.term) != Group.Term.Value)
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
    Answer.ConnectedBy = Now - Probe.ConnectionAge;
    Progress->second.PausedReplicas[Name] = Answer;
  }
}

void recordAttempt(const group_state &Next, leader_state &Leader) {
  if (!Next.Promotion) {
    Leader.PausePromotions.erase(Next.Group);
    return;
  }
  if (Next.Promotion->Phase == promotion_phase::Fencing) {
    // Replies to earlier pause requests do not count for new ones.
    Leader.PausePromotions.erase(Next.Group);
    return;
  }
  auto &Progress = Leader.PausePromotions[Next.Group];
  Progress.DecidedAttempt = Next.Promotion->Attempt;
  Progress.Answer.reset();
}

void recordPlatformOrderSent(const group_state &Group, leader_state &Leader,
                             time_point Now) {
  auto &Progress = Leader.PausePromotions[Group.Group];
  Progress.SentAttempt = Group.Promotion->Attempt;
  Progress.OrderSentAt = Now;
  Progress.Answer.reset();
}

void recordPlatformAnswer(const group_state &Group, leader_state &Leader,
                          std::uint32_t Attempt, promotion_answer Answer) {
  auto Progress = Leader.PausePromotions.find(Group.Group);
  if (!Group.Promotion || Progress == Leader.PausePromotions.end() ||
      Progress->second.SentAttempt != Attempt ||
      Group.Promotion->Attempt != Attempt)
    return;
  Progress->second.Answer = Answer;
}

} // namespace teasellock
