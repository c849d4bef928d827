#include "modules/line/queue_pace.h"

#include <algorithm>

namespace teasellock {

namespace {

/// The latest interval's weight in the average is one divided by this.
constexpr int GapParts = 8;
/// Longer intervals are pauses of the upstream and don't reflect its rate.
constexpr duration LongestGap = std::chrono::milliseconds(100);
/// A new statement may wait in the queue for its target latency divided by
/// this: an operation has several statements, and each takes its own time
/// besides.
constexpr int TargetParts = 2;

/// Statements in flight per slot of an upstream, over all gateways: enough to
/// keep the slots busy over a round trip between regions.
constexpr std::uint32_t StatementsPerSlot = 4;
/// Allows a distant gateway one statement in transit while another one is
/// executed.
constexpr std::uint32_t LeastInFlight = 2;
/// Statements in flight per slot that one gateway may have on an upstream that
/// is not congested.
constexpr std::uint32_t CalmStatementsPerSlot = 2;
/// The latest answer's weight in the typical latency is one divided by this;
/// single statements vary by several times.
constexpr int TypicalParts = 32;
/// The baseline follows a lasting change within some thousand answers.
constexpr int CalmParts = 4096;
/// Percentages of the baseline latency: up to the first an upstream counts as
/// not congested, from the second on as fully congested: its slots are then in
/// use and as many statements wait.
constexpr std::int64_t CalmPercent = 175;
constexpr std::int64_t CrowdedPercent = 350;

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

void noteLatency(latency_level &Level, duration Took) {
  if (Level.Typical == duration::zero())
    Level.Typical = Took;
  Level.Typical += (Took - Level.Typical) / TypicalParts;
  if (Level.Calm == duration::zero() || Level.Typical < Level.Calm)
    Level.Calm = Level.Typical;
  Level.Calm += (Level.Typical - Level.Calm) / CalmParts;
}

std::uint32_t mostInFlight(const latency_level &Level, std::uint32_t Slots,
                           std::size_t Gateways) {
  Slots = std::max<std::uint32_t>(Slots, 1);
  auto Parts = static_cast<std::uint32_t>(std::max<std::size_t>(Gateways, 1));
  std::uint32_t Part =
      std::max((Slots * StatementsPerSlot + Parts - 1) / Parts, LeastInFlight);
  std::uint32_t Most = std::max(Part, Slots * CalmStatementsPerSlot);
  if (Level.Calm == duration::zero())
    return Part;
  std::int64_t Percent = Level.Typical * 100 / Level.Calm;
  std::int64_t Crowding =
      std::clamp(Percent, CalmPercent, CrowdedPercent) - CalmPercent;
  auto Less = (Most - Part) * Crowding / (CrowdedPercent - CalmPercent);
  return Most - static_cast<std::uint32_t>(Less);
}

bool mayWait(const wait_demand &Demand, duration Wait) {
  if (Wait + Demand.Latency > Demand.Remaining)
    return false;
  if (Demand.Target <= duration::zero())
    return true;
  if (Demand.Waited > duration::zero())
    return Demand.Waited + Wait <= Demand.Target;
  return Wait <= Demand.Target / TargetParts;
}

} // namespace teasellock
