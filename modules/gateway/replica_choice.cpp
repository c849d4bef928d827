#include "modules/gateway/replica_choice.h"

#include <tuple>

namespace teasellock {

namespace {

/// Returns a sort key; the lowest is the best.
auto rankOf(const replica_candidate &Candidate,
            const read_requirements &Requirements) {
  double Load = (Candidate.InFlight + 1) / Candidate.Weight;
  return std::make_tuple(
      Candidate.Region != Requirements.Region,
      Candidate.InFlight >= Candidate.Slots,
      Candidate.AvailabilityZone != Requirements.AvailabilityZone, Load);
}

} // namespace

std::optional<duration> maxReadAge(const table_row &Row,
                                   const read_kind &Kind) {
  auto Found = Row.MaxReadAges.find(Kind);
  if (Found == Row.MaxReadAges.end())
    return std::nullopt;
  return Found->second;
}

double weightOf(const table_row &Row, const upstream_id &Upstream,
                const availability_zone_id &Zone) {
  auto Found = Row.ReadWeights.find(Upstream.Value);
  if (Found == Row.ReadWeights.end())
    Found = Row.ReadWeights.find(Zone.Value);
  return Found == Row.ReadWeights.end() ? 1 : Found->second;
}

bool isEligible(const replica_candidate &Candidate,
                const read_requirements &Requirements) {
  if (Candidate.Weight <= 0 || Candidate.Replayed < Requirements.Floor)
    return false;
  if (!Requirements.MaxAge)
    return true;
  return Candidate.Age && *Candidate.Age <= *Requirements.MaxAge;
}

std::optional<std::size_t>
chooseReplica(const std::vector<replica_candidate> &Candidates,
              const read_requirements &Requirements) {
  std::optional<std::size_t> Best;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    if (!isEligible(Candidates[Index], Requirements))
      continue;
    if (!Best || rankOf(Candidates[Index], Requirements) <
                     rankOf(Candidates[*Best], Requirements))
      Best = Index;
  }
  return Best;
}

} // namespace teasellock
