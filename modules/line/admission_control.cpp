#include "modules/line/admission_control.h"

#include <algorithm>

namespace teasellock {

namespace {

/// The latest interval's weight in the average is one divided by this.
constexpr int IntervalWeightDivisor = 8;
/// Longer intervals are pauses of the upstream and don't reflect its rate.
constexpr duration MaxStartInterval = std::chrono::milliseconds(100);
/// A new statement may wait in the queue for its target latency divided by
/// this: an operation has several statements, and each takes its own time
/// besides.
constexpr int TargetWaitDivisor = 2;

/// Statements in flight per slot of an upstream, over all gateways: enough to
/// keep the slots busy over a round trip between regions.
constexpr std::uint32_t StatementsPerSlot = 4;
/// Allows a distant gateway one statement in transit while another one is
/// executed.
constexpr std::uint32_t MinInFlight = 2;
/// Statements in flight per slot that one gateway may have on an upstream that
/// is not congested.
constexpr std::uint32_t UncongestedStatementsPerSlot = 2;
/// The latest answer's weight in the typical latency is one divided by this;
/// single statements vary by several times.
constexpr int TypicalWeightDivisor = 32;
/// The baseline follows a lasting change within some thousand answers.
constexpr int BaselineWeightDivisor = 4096;
/// While the upstream is congested the baseline follows more slowly. With the
/// divisor above, a minute of overload raised it to four times its value, and
/// the overload counted as the usual state.
constexpr int CongestedBaselineWeightDivisor = 32768;
/// Percentages of the baseline latency: up to the first an upstream counts as
/// not congested, from the second on as fully congested: its slots are then in
/// use and as many statements wait.
constexpr std::int64_t UncongestedPercent = 175;
constexpr std::int64_t CongestedPercent = 350;

} // namespace

void recordStart(queue_rate &Rate, std::size_t StillWaiting, time_point Now) {
  if (Rate.IsBacklogged) {
    duration Interval = std::min(Now - Rate.LastStartAt, MaxStartInterval);
    Rate.StartInterval +=
        (Interval - Rate.StartInterval) / IntervalWeightDivisor;
  }
  Rate.LastStartAt = Now;
  Rate.IsBacklogged = StillWaiting > 0;
}

duration expectedWait(const queue_rate &Rate, std::size_t QueueDepth) {
  return Rate.StartInterval * static_cast<std::int64_t>(QueueDepth);
}

void recordLatency(latency_trend &Trend, duration Latency, baseline_rise Rise) {
  if (Trend.Typical == duration::zero())
    Trend.Typical = Latency;
  Trend.Typical += (Latency - Trend.Typical) / TypicalWeightDivisor;
  if (Trend.Baseline == duration::zero() || Trend.Typical < Trend.Baseline)
    Trend.Baseline = Trend.Typical;
  bool IsSlow = Rise == baseline_rise::SlowWhileCongested &&
                latencyPercent(Trend) > UncongestedPercent;
  Trend.Baseline +=
      (Trend.Typical - Trend.Baseline) /
      (IsSlow ? CongestedBaselineWeightDivisor : BaselineWeightDivisor);
}

std::int64_t latencyPercent(const latency_trend &Trend) {
  return Trend.Baseline == duration::zero()
             ? 100
             : Trend.Typical * 100 / Trend.Baseline;
}

std::uint32_t maxInFlight(const latency_trend &Trend, std::uint32_t Slots,
                          std::size_t Gateways) {
  Slots = std::max<std::uint32_t>(Slots, 1);
  auto GatewayCount =
      static_cast<std::uint32_t>(std::max<std::size_t>(Gateways, 1));
  std::uint32_t GatewayLimit =
      std::max((Slots * StatementsPerSlot + GatewayCount - 1) / GatewayCount,
               MinInFlight);
  std::uint32_t Limit =
      std::max(GatewayLimit, Slots * UncongestedStatementsPerSlot);
  if (Trend.Baseline == duration::zero())
    return GatewayLimit;
  std::int64_t Congestion =
      std::clamp(latencyPercent(Trend), UncongestedPercent, CongestedPercent) -
      UncongestedPercent;
  auto Reduction = (Limit - GatewayLimit) * Congestion /
                   (CongestedPercent - UncongestedPercent);
  return Limit - static_cast<std::uint32_t>(Reduction);
}

bool canWait(const wait_budget &Budget, duration Wait) {
  if (Wait + Budget.Latency > Budget.Remaining)
    return false;
  if (Budget.Target <= duration::zero())
    return true;
  if (Budget.Waited > duration::zero())
    return Budget.Waited + Wait <= Budget.Target;
  return Wait <= Budget.Target / TargetWaitDivisor;
}

} // namespace teasellock
