#include "modules/line/queue_order.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Window of the moving mean: execution times of a kind change over minutes.
constexpr std::uint32_t MostSamples = 128;
/// With fewer samples a mean is not used: single statements vary by several
/// times.
constexpr std::uint32_t LeastSamples = 16;
/// A kind counts as faster if its mean is below this percentage of the other's.
constexpr std::int64_t QuickerPercent = 85;

bool isKnown(const work_estimate &Estimate) {
  return Estimate.Samples >= LeastSamples;
}

} // namespace

void noteWork(work_estimates &Estimates, const work_kind &Kind, duration Took) {
  auto &Estimate = Estimates[Kind];
  Estimate.Samples = std::min(Estimate.Samples + 1, MostSamples);
  Estimate.Mean += (Took - Estimate.Mean) / Estimate.Samples;
}

std::uint32_t workRank(const work_estimates &Estimates, const work_kind &Kind) {
  auto Own = Estimates.find(Kind);
  if (Own == Estimates.end() || !isKnown(Own->second))
    return 0;
  duration Limit = Own->second.Mean * QuickerPercent / 100;
  return static_cast<std::uint32_t>(
      std::count_if(Estimates.begin(), Estimates.end(), [&](const auto &Entry) {
        return isKnown(Entry.second) && Entry.second.Mean < Limit;
      }));
}

} // namespace teasellock
