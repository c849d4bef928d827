#include "modules/line/in_flight_limit.h"

#include <algorithm>
#include <functional>
#include <string>

namespace teasellock {

namespace {

/// Factors of a reduction: after a rejected statement, and for a long queue,
/// which is no loss yet.
constexpr double BusyFactor = 0.7;
constexpr double LongQueueFactor = 0.9;
/// Percentages of the baseline latency. Up to the first the limit is raised:
/// about three statements a slot are then at the upstream, which keeps its
/// slots busy. From the second on it is reduced: about five are.
constexpr std::int64_t RaisePercent = 300;
constexpr std::int64_t ReducePercent = 500;
/// Up to this the upstream has no queue, and the limit is raised faster.
constexpr std::int64_t CalmPercent = 175;
/// The limit is raised by one over this many times the limit's number of
/// answers: the typical latency follows a change with a delay of 32 answers.
constexpr double RoundsPerStep = 4;
/// Minimum time between two reductions. Rejections within it are usually due to
/// statements that were sent before the first reduction.
constexpr duration MinSettleTime = std::chrono::milliseconds(100);
constexpr duration HalvingReportInterval = std::chrono::seconds(10);

bool isSettling(const in_flight_limit &Limit, const latency_trend &Trend,
                time_point Now) {
  duration Base = std::max(Trend.Typical, MinSettleTime);
  auto Settle = std::chrono::duration_cast<duration>(Base * (1 + Limit.Phase));
  return Limit.Limit > 0 && Now - Limit.ReducedAt < Settle;
}

void reduce(in_flight_limit &Limit, double From, double Factor,
            time_point Now) {
  Limit.Limit = std::max(From * Factor, 1.0);
  Limit.ReducedAt = Now;
}

} // namespace

double phaseOf(const vm_id &Gateway, const upstream_id &Upstream) {
  constexpr std::size_t Steps = 1024;
  std::size_t Hash =
      std::hash<std::string>()(Gateway.Value + "/" + Upstream.Value);
  return static_cast<double>(Hash % Steps) / static_cast<double>(Steps);
}

void recordBusyAnswer(in_flight_limit &Limit, const latency_trend &Trend,
                      std::uint32_t InFlight, std::uint32_t FixedLimit,
                      time_point Now) {
  if (isSettling(Limit, Trend, Now))
    return;
  auto Used = std::min<double>(InFlight, limitInForce(Limit, FixedLimit));
  reduce(Limit, Used, BusyFactor, Now);
}

void recordExecuted(in_flight_limit &Limit, const latency_trend &Trend,
                    std::uint32_t InFlight, std::uint32_t FixedLimit,
                    time_point Now) {
  if (Trend.Baseline == duration::zero() || isSettling(Limit, Trend, Now))
    return;
  std::int64_t Percent = latencyPercent(Trend);
  if (Percent >= ReducePercent)
    return reduce(Limit, limitInForce(Limit, FixedLimit), LongQueueFactor, Now);
  // A limit that is not used is raised as well, so that the fixed limit applies
  // again soon after the load has ended.
  bool IsUsed = InFlight >= limitInForce(Limit, FixedLimit);
  if (Limit.Limit == 0 || (IsUsed && Percent > RaisePercent))
    return;
  double Rounds = Percent <= CalmPercent ? 1 : RoundsPerStep;
  Limit.Limit += 1 / (Rounds * Limit.Limit);
  if (Limit.Limit >= FixedLimit)
    Limit.Limit = 0;
}

void recordUnanswered(in_flight_limit &Limit, time_point Now) {
  reduce(Limit, 1, 1, Now);
}

bool takeHalvingReport(in_flight_limit &Limit, std::uint32_t FixedLimit,
                       time_point Now) {
  if (Limit.Limit == 0) {
    Limit.IsHalvingReported = false;
    return false;
  }
  bool IsHalved = limitInForce(Limit, FixedLimit) * 2 <= FixedLimit;
  bool IsTooSoon = Limit.HalvingReportedAt &&
                   Now - *Limit.HalvingReportedAt < HalvingReportInterval;
  if (!IsHalved || Limit.IsHalvingReported || IsTooSoon)
    return false;
  Limit.IsHalvingReported = true;
  Limit.HalvingReportedAt = Now;
  return true;
}

std::uint32_t limitInForce(const in_flight_limit &Limit,
                           std::uint32_t FixedLimit) {
  if (Limit.Limit == 0)
    return FixedLimit;
  return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(Limit.Limit), 1,
                                   std::max<std::uint32_t>(FixedLimit, 1));
}

} // namespace teasellock
