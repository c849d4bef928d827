/// Chooses the upstream that becomes primary, after the gateways are fenced.
#pragma once

#include "modules/control/leader_state.h"

#include <string>

namespace teasellock {

/// The upstreams that gateways reach and the requirements on a candidate.
struct candidate_search {
  const group_state &Group;
  const promotion_rules &Rules;
  /// The latest probe of each reachable upstream.
  std::map<upstream_id, upstream_observation> Probes;
  /// Highest position known to be acknowledged.
  position Watermark;
  /// Higher positions may have been acknowledged, so that the candidate must be
  /// the highest of at least requiredReplicas replicas.
  bool NeedsQuorum = false;

  bool isAtLeast(const position &Candidate, const position &Minimum) const {
    if (!Rules.CompareTerms)
      return Candidate.Offset >= Minimum.Offset;
    return Candidate >= Minimum;
  }

  bool isBelow(const upstream_observation &Left,
               const upstream_observation &Right) const {
    if (!Rules.CompareTerms)
      return Left.Replayed.Offset < Right.Replayed.Offset;
    return Left.Replayed < Right.Replayed;
  }
};

/// Returns the number of replicas that must be reachable so that every
/// acknowledged write is on at least one of them.
std::size_t requiredReplicas(const group_state &Group);

/// Returns an upstream that holds every write that may have been acknowledged,
/// or null if there is none yet; Problem then describes what is missing.
const upstream_observation *chooseCandidate(const candidate_search &Search,
                                            const group_orders &Orders,
                                            const decision_settings &Settings,
                                            time_point Now,
                                            std::string &Problem);

} // namespace teasellock
