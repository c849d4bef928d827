#include "modules/line/read_choice.h"

#include <algorithm>
#include <cmath>

namespace teasellock {

namespace {

/// Factor on the primary's expected latency, so that reads prefer replicas: the
/// primary's slots are the only ones for writes.
constexpr int PrimaryPenalty = 3;
/// What the latency is above the baseline counts half as much for each of these
/// periods without an answer, so that an upstream that was slow once is tried
/// again.
constexpr double AgeHalfLifeSeconds = 2;
/// Expected latencies up to this percentage of the lowest one are close: they
/// differ by less than the latency of a statement varies.
constexpr std::int64_t ClosePercent = 150;
/// An upstream is congested if its latency is above this percentage of its
/// baseline.
constexpr std::int64_t CongestedPercent = 175;

bool isAboveBaseline(const read_candidate &Candidate) {
  return Candidate.Baseline != duration::zero() &&
         Candidate.Latency * 100 > Candidate.Baseline * CongestedPercent;
}

bool isCongested(const read_candidate &Candidate) {
  return Candidate.InFlight >= Candidate.Slots || Candidate.CostFactor > 1 ||
         isAboveBaseline(Candidate);
}

/// Returns the latency that counts now. Below the limit for congestion it is
/// the baseline: the average over few answers varies by more than the distance
/// between two zones costs, and would send reads to the other zone without
/// need.
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

duration expectedLatency(const read_candidate &Candidate) {
  auto Slots = std::max<std::uint32_t>(Candidate.Slots, 1);
  auto Ahead = static_cast<std::int64_t>(Candidate.InFlight) /
               static_cast<std::int64_t>(Slots);
  duration Expected = Candidate.DistanceCost + Candidate.ConnectCost +
                      presentLatency(Candidate) * (1 + Ahead);
  Expected =
      std::chrono::duration_cast<duration>(Expected * Candidate.CostFactor);
  return Candidate.IsPrimary ? Expected * PrimaryPenalty : Expected;
}

/// Reports whether Other may get reads although Best is expected to answer
/// first.
bool maySpread(const read_candidate &Best, const read_candidate &Other) {
  bool IsAsNear = Other.DistanceCost <= Best.DistanceCost && !Other.IsPrimary;
  bool IsRelief = isCongested(Best) && !isCongested(Other);
  return (IsAsNear || IsRelief) &&
         expectedLatency(Other) * 100 <= expectedLatency(Best) * ClosePercent;
}

/// The probability of an upstream's choice, relative to that of others.
double weightOf(const read_candidate &Candidate) {
  duration Expected = std::max(expectedLatency(Candidate), duration(1));
  return 1 / static_cast<double>(Expected.count());
}

/// Chooses one of Close with probabilities by weight.
const read_candidate *
drawByWeight(const std::vector<const read_candidate *> &Close, double Draw) {
  double Total = 0;
  for (const auto *Candidate : Close)
    Total += weightOf(*Candidate);
  double Left = Draw * Total;
  for (const auto *Candidate : Close) {
    Left -= weightOf(*Candidate);
    if (Left < 0)
      return Candidate;
  }
  return Close.back();
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

const read_candidate *
chooseUpstream(const std::vector<read_candidate> &Candidates,
               const position &Required, const std::set<upstream_id> &Tried,
               std::optional<double> Draw) {
  std::vector<const read_candidate *> Usable;
  const read_candidate *Best = nullptr;
  for (const auto &Candidate : Candidates) {
    bool HasData = Candidate.IsPrimary || Candidate.Applied >= Required;
    if (!Candidate.HasConnection || !HasData ||
        Tried.contains(Candidate.Upstream))
      continue;
    Usable.push_back(&Candidate);
    if (!Best || expectedLatency(Candidate) < expectedLatency(*Best))
      Best = &Candidate;
  }
  if (!Best || !Draw)
    return Best;
  std::erase_if(Usable, [&](const read_candidate *Candidate) {
    return Candidate != Best && !maySpread(*Best, *Candidate);
  });
  return drawByWeight(Usable, *Draw);
}

} // namespace teasellock
