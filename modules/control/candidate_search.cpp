#include "modules/control/candidate_search.h"

namespace teasellock {

namespace {

/// Returns the reachable replica with the highest position, or null. Replicas
/// that are leaving count only if Leaving is set.
const upstream_observation *highest(const candidate_search &Search,
                                    bool Leaving) {
  const upstream_observation *Best = nullptr;
  for (const auto &[Name, Probe] : Search.Heard) {
    if (Name == Search.Group.Promotion->Deposed)
      continue;
    if (!Leaving && Search.Group.Upstreams.at(Name).Leaving)
      continue;
    if (!Best || Search.below(*Best, Probe))
      Best = &Probe;
  }
  return Best;
}

std::size_t heardReplicas(const candidate_search &Search) {
  const auto &Deposed = Search.Group.Promotion->Deposed;
  std::size_t Count = Search.Heard.size();
  return Deposed && Search.Heard.contains(*Deposed) ? Count - 1 : Count;
}

const upstream_observation *findReplica(const candidate_search &Search,
                                        std::string &Why) {
  const auto *Best = highest(Search, true);
  if (!Best) {
    Why = "no replica is reachable";
    return nullptr;
  }
  if (Search.NeedsQuorum &&
      heardReplicas(Search) < neededReplicas(Search.Group)) {
    Why = "acknowledgements may be unreported, so " +
          std::to_string(neededReplicas(Search.Group)) +
          " replicas must be reachable; " +
          std::to_string(heardReplicas(Search)) + " are";
    return nullptr;
  }
  position Least = Search.Watermark;
  if (Search.NeedsQuorum)
    Least = std::max(Least, Best->Replayed);
  const auto *Staying = highest(Search, false);
  if (Staying && Search.reaches(Staying->Replayed, Least))
    return Staying;
  if (!Search.Rules.Watermark || Search.reaches(Best->Replayed, Least))
    return Best;
  Why = "the highest reachable replica, " + Best->Upstream.Value + " at " +
        toString(Best->Replayed) + ", is below the acknowledged position " +
        toString(Search.Watermark);
  return nullptr;
}

/// Returns the former primary if it is reachable, still primary of the fenced
/// term and not below the watermark; null otherwise.
const upstream_observation *findFormer(const candidate_search &Search) {
  const auto &Promotion = *Search.Group.Promotion;
  if (!Promotion.Deposed || !Search.Heard.contains(*Promotion.Deposed))
    return nullptr;
  const auto &Former = Search.Heard.at(*Promotion.Deposed);
  bool Whole = !Former.Replica &&
               Former.Replayed.Term == Promotion.FencedTerm &&
               Former.Replayed >= Search.Watermark;
  return Whole ? &Former : nullptr;
}

const upstream_observation *findWanted(const candidate_search &Search,
                                       std::string &Why) {
  const auto &Promotion = *Search.Group.Promotion;
  auto Found = Search.Heard.find(*Promotion.Wanted);
  if (Found == Search.Heard.end()) {
    Why = "the requested upstream " + Promotion.Wanted->Value +
          " is not reachable";
    return nullptr;
  }
  if (Promotion.Forced)
    return &Found->second;
  const auto *Former = findFormer(Search);
  if (Former == &Found->second)
    return Former;
  const auto *Replica = findReplica(Search, Why);
  if (!Replica)
    return nullptr;
  position Least = Search.Watermark;
  if (Search.NeedsQuorum)
    Least = std::max(Least, highest(Search, true)->Replayed);
  if (Search.reaches(Found->second.Replayed, Least))
    return &Found->second;
  Why = "the requested upstream " + Promotion.Wanted->Value + " at " +
        toString(Found->second.Replayed) + " is below " + toString(Least);
  return nullptr;
}

} // namespace

std::size_t neededReplicas(const group_state &Group) {
  const auto &Deposed = Group.Promotion->Deposed;
  std::size_t Replicas = Group.Upstreams.size();
  if (Deposed && Group.Upstreams.contains(*Deposed))
    --Replicas;
  if (Group.LeastAckReplicas > Replicas)
    return 1;
  return Replicas - Group.LeastAckReplicas + 1;
}

const upstream_observation *chooseCandidate(const candidate_search &Search,
                                            const group_orders &Orders,
                                            const decision_settings &Settings,
                                            time_point Now, std::string &Why) {
  if (Search.Group.Promotion->Wanted)
    return findWanted(Search, Why);
  const auto *Replica = findReplica(Search, Why);
  if (Replica)
    return Replica;
  bool Alone =
      neededReplicas(Search.Group) == 1 && Search.Group.Upstreams.size() == 1;
  if (Alone || Now - Orders.FencingSince >= Settings.FormerPrimaryDelay)
    return findFormer(Search);
  return nullptr;
}

} // namespace teasellock
