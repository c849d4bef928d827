#include "modules/line/read_choice.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Factor on the primary's expected latency, so that reads prefer replicas: the
/// primary's slots are the only ones for writes.
constexpr int PrimaryPenalty = 3;

duration expectedLatency(const read_candidate &Candidate) {
  auto Slots = std::max<std::uint32_t>(Candidate.Slots, 1);
  auto Ahead = static_cast<std::int64_t>(Candidate.InFlight) /
               static_cast<std::int64_t>(Slots);
  duration Expected = Candidate.DistanceCost + Candidate.Latency * (1 + Ahead);
  return Candidate.IsPrimary ? Expected * PrimaryPenalty : Expected;
}

} // namespace

void addPositionSample(position_history &History, const position_sample &Sample,
                       duration Spacing, duration Retention) {
  if (!History.empty() && Sample.RequestedAt <= History.back().RequestedAt)
    return;
  // The latest sample is always kept: reads that tolerate no staleness wait for
  // it.
  bool IsTooClose =
      History.size() > 1 &&
      Sample.RequestedAt - History[History.size() - 2].RequestedAt < Spacing;
  if (IsTooClose)
    History.back() = Sample;
  else
    History.push_back(Sample);
  while (History.front().RequestedAt + Retention < Sample.RequestedAt)
    History.pop_front();
}

std::optional<position> requiredPosition(const read_requirement &Requirement,
                                         const position_history &History) {
  if (History.empty())
    return std::nullopt;
  const auto &Latest = History.back();
  bool IsFresh = Latest.RequestedAt >= Requirement.ArrivedAt;
  if (Requirement.IgnoreFloor)
    return IsFresh ? std::optional(Latest.Position) : std::nullopt;
  auto Oldest = std::find_if(
      History.begin(), History.end(), [&](const position_sample &Sample) {
        return Sample.RequestedAt + Requirement.MaxStaleness >=
               Requirement.ArrivedAt;
      });
  if (Oldest == History.end())
    return std::nullopt;
  if (!Requirement.Floor)
    return Oldest->Position;
  return std::max(*Requirement.Floor, Oldest->Position);
}

std::optional<duration>
expectedCatchUp(const position_history &History, const position &Applied,
                time_point KnownAt, const position &Required, time_point Now) {
  if (Applied >= Required)
    return duration::zero();
  auto AtRequired = std::find_if(History.begin(), History.end(),
                                 [&](const position_sample &Sample) {
                                   return Sample.Position >= Required;
                                 });
  auto BeyondApplied = std::find_if(
      History.begin(), History.end(),
      [&](const position_sample &Sample) { return Sample.Position > Applied; });
  if (AtRequired == History.end() || BeyondApplied == History.begin())
    return std::nullopt;
  duration Lag = KnownAt - std::prev(BeyondApplied)->RequestedAt;
  return std::max(duration::zero(), AtRequired->RequestedAt + Lag - Now);
}

const read_candidate *
chooseUpstream(const std::vector<read_candidate> &Candidates,
               const position &Required, const std::set<upstream_id> &Tried) {
  const read_candidate *Best = nullptr;
  for (const auto &Candidate : Candidates) {
    bool HasData = Candidate.IsPrimary || Candidate.Applied >= Required;
    if (!Candidate.HasConnection || !HasData ||
        Tried.contains(Candidate.Upstream))
      continue;
    if (!Best || expectedLatency(Candidate) < expectedLatency(*Best))
      Best = &Candidate;
  }
  return Best;
}

} // namespace teasellock
