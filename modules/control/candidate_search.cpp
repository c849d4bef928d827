#include "modules/control/candidate_search.h"

namespace teasellock {

namespace {

/// Returns the reachable replica with the highest position, or null. Replicas
/// that are leaving count only if Leaving is set.
const upstream_observation *highestReplica(const candidate_search &Search,
                                           bool Leaving) {
  const upstream_observation *Best = nullptr;
  for (const auto &[Name, Probe] : Search.Probes) {
    if (Name == Search.Group.Promotion->Deposed)
      continue;
    if (!Leaving && Search.Group.Upstreams.at(Name).Leaving)
      continue;
    if (!Best || Search.isBelow(*Best, Probe))
      Best = &Probe;
  }
  return Best;
}

std::size_t countReachableReplicas(const candidate_search &Search) {
  const auto &Deposed = Search.Group.Promotion->Deposed;
  std::size_t Count = Search.Probes.size();
  return Deposed && Search.Probes.contains(*Deposed) ? Count - 1 : Count;
}

const upstream_observation *findReplica(const candidate_search &Search,
                                        std::string &Problem) {
  const auto *Best = highestReplica(Search, true);
  if (!Best) {
    Problem = "no replica is reachable";
    return nullptr;
  }
  if (Search.NeedsQuorum &&
      countReachableReplicas(Search) < requiredReplicas(Search.Group)) {
    Problem = "acknowledgements may be unreported, so " +
              std::to_string(requiredReplicas(Search.Group)) +
              " replicas must be reachable; " +
              std::to_string(countReachableReplicas(Search)) + " are";
    return nullptr;
  }
  position Minimum = Search.Watermark;
  if (Search.NeedsQuorum)
    Minimum = std::max(Minimum, Best->Replayed);
  const auto *Staying = highestReplica(Search, false);
  if (Staying && Search.isAtLeast(Staying->Replayed, Minimum))
    return Staying;
  if (!Search.Rules.CheckWatermark || Search.isAtLeast(Best->Replayed, Minimum))
    return Best;
  Problem = "the highest reachable replica, " + Best->Upstream.Value + " at " +
            toString(Best->Replayed) + ", is below the acknowledged position " +
            toString(Search.Watermark);
  return nullptr;
}

/// Returns the former primary if it is reachable, still primary of the fenced
/// term and not below the watermark; null otherwise.
const upstream_observation *findFormerPrimary(const candidate_search &Search) {
  const auto &Promotion = *Search.Group.Promotion;
  if (!Promotion.Deposed || !Search.Probes.contains(*Promotion.Deposed))
    return nullptr;
  const auto &Former = Search.Probes.at(*Promotion.Deposed);
  bool IsComplete = !Former.IsReplica &&
                    Former.Replayed.Term == Promotion.FencedTerm &&
                    Former.Replayed >= Search.Watermark;
  return IsComplete ? &Former : nullptr;
}

const upstream_observation *findRequested(const candidate_search &Search,
                                          std::string &Problem) {
  const auto &Promotion = *Search.Group.Promotion;
  auto Found = Search.Probes.find(*Promotion.Requested);
  if (Found == Search.Probes.end()) {
    Problem = "the requested upstream " + Promotion.Requested->Value +
              " is not reachable";
    return nullptr;
  }
  if (Promotion.Forced)
    return &Found->second;
  const auto *Former = findFormerPrimary(Search);
  if (Former == &Found->second)
    return Former;
  const auto *Replica = findReplica(Search, Problem);
  if (!Replica)
    return nullptr;
  position Minimum = Search.Watermark;
  if (Search.NeedsQuorum)
    Minimum = std::max(Minimum, highestReplica(Search, true)->Replayed);
  if (Search.isAtLeast(Found->second.Replayed, Minimum))
    return &Found->second;
  Problem = "the requested upstream " + Promotion.Requested->Value + " at " +
            toString(Found->second.Replayed) + " is below " + toString(Minimum);
  return nullptr;
}

} // namespace

std::size_t requiredReplicas(const group_state &Group) {
  const auto &Deposed = Group.Promotion->Deposed;
  std::size_t Replicas = Group.Upstreams.size();
  if (Deposed && Group.Upstreams.contains(*Deposed))
    --Replicas;
  if (Group.MinAckReplicas > Replicas)
    return 1;
  return Replicas - Group.MinAckReplicas + 1;
}

const upstream_observation *chooseCandidate(const candidate_search &Search,
                                            const group_orders &Orders,
                                            const decision_settings &Settings,
                                            time_point Now,
                                            std::string &Problem) {
  if (Search.Group.Promotion->Requested)
    return findRequested(Search, Problem);
  const auto *Replica = findReplica(Search, Problem);
  if (Replica)
    return Replica;
  bool Alone =
      requiredReplicas(Search.Group) == 1 && Search.Group.Upstreams.size() == 1;
  if (Alone || Now - Orders.FencingSince >= Settings.FormerPrimaryDelay)
    return findFormerPrimary(Search);
  return nullptr;
}

} // namespace teasellock
