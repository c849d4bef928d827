/// The search for the upstream that becomes primary.
#pragma once

#include "modules/control/leader_state.h"

#include <string>

namespace teasellock {

/// What a candidate must fulfil, and who was heard.
struct candidate_search {
  const group_state &Group;
  const promotion_rules &Rules;
  std::map<upstream_id, upstream_observation> Heard;
  position Watermark;
  bool NeedsQuorum = false;

  bool reaches(const position &Candidate, const position &Least) const {
    if (!Rules.TermOrder)
      return Candidate.Offset >= Least.Offset;
    return Candidate >= Least;
  }

  bool below(const upstream_observation &Left,
             const upstream_observation &Right) const {
    if (!Rules.TermOrder)
      return Left.Replayed.Offset < Right.Replayed.Offset;
    return Left.Replayed < Right.Replayed;
  }
};

/// Replicas that must be heard so that every acknowledged write is on one.
std::size_t neededReplicas(const group_state &Group);

/// The candidate that holds every write that may have been acknowledged. Null
/// when there is none yet; Why then says what is missing.
const upstream_observation *chooseCandidate(const candidate_search &Search,
                                            const group_orders &Orders,
                                            const decision_settings &Settings,
                                            time_point Now, std::string &Why);

} // namespace teasellock
