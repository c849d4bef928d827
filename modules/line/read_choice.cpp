#include "modules/line/read_choice.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace teasellock {

namespace {

/// Factor on the primary's expected latency, so that reads prefer replicas: the
/// primary's slots are the only ones for writes.
constexpr int PrimaryPenalty = 3;

/// An upstream's latency above its baseline counts half as much for each such
/// time without an answer. Otherwise an upstream that was slow once would not
/// be tried again.
constexpr double AgeHalfLifeSeconds = 2;
/// Latencies up to this percentage of the lower one are close: they differ by
/// less than the latency of a statement varies.
constexpr std::int64_t ClosePercent = 150;
/// An upstream is congested if its latency is above this percentage of its
/// baseline.
constexpr std::int64_t CongestedPercent = 175;

bool isAboveBaseline(const read_candidate &Candidate) {
  return Candidate.Latency * 100 > Candidate.Baseline * CongestedPercent;
}

/// Below the limit for congestion, the baseline is used: the average over few
/// answers varies by more than the distance between two zones costs, and sent
/// a quarter of the reads to the other zone without need.
duration presentLatency(const read_candidate &Candidate) {
  if (Candidate.Baseline == duration::zero())
    return Candidate.Latency;
  if (!isAboveBaseline(Candidate))
    return Candidate.Baseline;
  double Halvings =
      std::chrono::duration<double>(Candidate.LatencyAge).count() /
      AgeHalfLifeSeconds;
  duration Excess = Candidate.Latency - Candidate.Baseline;
  return Candidate.Baseline +
         std::chrono::duration_cast<duration>(Excess * std::exp2(-Halvings));
}

bool isCongested(const read_candidate &Candidate) {
  return Candidate.InFlight >= Candidate.Slots || Candidate.CostFactor > 1 ||
         (Candidate.Baseline != duration::zero() && isAboveBaseline(Candidate));
}

duration expectedLatency(const read_candidate &Candidate) {
  auto Slots = std::max<std::uint32_t>(Candidate.Slots, 1);
  auto Ahead = static_cast<std::int64_t>(Candidate.InFlight) /
               static_cast<std::int64_t>(Slots);
  duration Expected =
      Candidate.DistanceCost + presentLatency(Candidate) * (1 + Ahead);
  Expected =
      std::chrono::duration_cast<duration>(Expected * Candidate.CostFactor);
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
               const position &Required, const std::set<upstream_id> &Tried,
               double Draw) {
  const read_candidate *Best = nullptr;
  const read_candidate *Second = nullptr;
  for (const auto &Candidate : Candidates) {
    bool HasData = Candidate.IsPrimary || Candidate.Applied >= Required;
    if (!Candidate.HasConnection || !HasData ||
        Tried.contains(Candidate.Upstream))
      continue;
    if (!Best || expectedLatency(Candidate) < expectedLatency(*Best))
      Second = std::exchange(Best, &Candidate);
    else if (!Second || expectedLatency(Candidate) < expectedLatency(*Second))
      Second = &Candidate;
  }
  if (!Second)
    return Best;
  duration First = expectedLatency(*Best);
  duration Other = expectedLatency(*Second);
  bool IsAsNear =
      Second->DistanceCost <= Best->DistanceCost && !Second->IsPrimary;
  bool MayMove = IsAsNear || (isCongested(*Best) && !isCongested(*Second));
  if (!MayMove || Other * 100 > First * ClosePercent)
    return Best;
  // Chosen with probabilities that are inverse to the latencies.
  auto Total = static_cast<double>((First + Other).count());
  return Draw * Total < static_cast<double>(Other.count()) ? Best : Second;
}

} // namespace teasellock
