#include "modules/line/queue_order.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Window of the moving mean: execution times of a kind change over minutes.
constexpr std::uint32_t MaxSamples = 128;
/// With fewer samples a mean is not used: single statements vary by several
/// times.
constexpr std::uint32_t MinSamples = 16;
/// A kind counts as faster if its mean is below this percentage of the other's.
constexpr std::int64_t FasterPercent = 85;

bool isKnown(const execution_estimate &Estimate) {
  return Estimate.Samples >= MinSamples;
}

} // namespace

void recordExecutionTime(execution_estimates &Estimates,
                         const statement_kind &Kind, duration ExecutionTime) {
  auto &Estimate = Estimates[Kind];
  Estimate.Samples = std::min(Estimate.Samples + 1, MaxSamples);
  Estimate.Mean += (ExecutionTime - Estimate.Mean) / Estimate.Samples;
}

std::optional<duration> knownExecutionTime(const execution_estimates &Estimates,
                                           const statement_kind &Kind) {
  auto Found = Estimates.find(Kind);
  if (Found == Estimates.end() || !isKnown(Found->second))
    return std::nullopt;
  return Found->second.Mean;
}

std::uint32_t executionTimeRank(const execution_estimates &Estimates,
                                const statement_kind &Kind) {
  auto Own = Estimates.find(Kind);
  if (Own == Estimates.end() || !isKnown(Own->second))
    return 0;
  duration Limit = Own->second.Mean * FasterPercent / 100;
  return static_cast<std::uint32_t>(
      std::count_if(Estimates.begin(), Estimates.end(), [&](const auto &Entry) {
        return isKnown(Entry.second) && Entry.second.Mean < Limit;
      }));
}

} // namespace teasellock
