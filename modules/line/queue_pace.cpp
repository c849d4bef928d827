#include "modules/line/queue_pace.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Weight of the latest gap, as one part in so many.
constexpr int GapParts = 8;
/// Longer gaps are pauses of the upstream, not its pace.
constexpr duration LongestGap = std::chrono::milliseconds(100);
/// Part of the target that may be spent in the queue: an operation has several
/// statements, and each takes its own time besides.
constexpr int TargetParts = 2;

/// Statements of all gateways together for each slot of an upstream: enough to
/// keep the slots busy over a round trip between regions.
constexpr std::uint32_t StatementsPerSlot = 4;
/// A gateway far away has one on its way while another one runs.
constexpr std::uint32_t LeastInFlight = 2;

} // namespace

void noteStart(queue_pace &Pace, std::size_t StillWaiting, time_point Now) {
  if (Pace.Backlogged) {
    duration Gap = std::min(Now - Pace.LastStart, LongestGap);
    Pace.Gap += (Gap - Pace.Gap) / GapParts;
  }
  Pace.LastStart = Now;
  Pace.Backlogged = StillWaiting > 0;
}

duration expectedWait(const queue_pace &Pace, std::size_t Ahead) {
  return Pace.Gap * static_cast<std::int64_t>(Ahead);
}

std::uint32_t mostInFlight(std::uint32_t Slots, std::size_t Gateways) {
  auto Parts = static_cast<std::uint32_t>(std::max<std::size_t>(Gateways, 1));
  std::uint32_t All = std::max<std::uint32_t>(Slots, 1) * StatementsPerSlot;
  return std::max((All + Parts - 1) / Parts, LeastInFlight);
}

bool mayWait(const wait_demand &Demand, duration Wait) {
  if (Wait + Demand.Latency > Demand.Remaining)
    return false;
  return Demand.Target <= duration::zero() ||
         Wait <= Demand.Target / TargetParts;
}

} // namespace teasellock
