#include "core/event_log.h"
#include "modules/line/line_group_state.h"

#include <algorithm>

namespace teasellock {

/// Records the position that a message of the upstream reports.
void line_group::learnPosition(line_upstream &Upstream,
                               const line_ready &Ready) const {
  if (Settings.EvenLoad.LearnPositions && Ready.Position)
    Upstream.Applied = std::max(Upstream.Applied, *Ready.Position);
}

void line_group::learnPositions(const upstream_id &Id,
                                const line_batch_result &Result) {
  if (auto *Upstream = findUpstream(Id))
    for (const auto &Answer : Result.Answers)
      learnPosition(*Upstream, Answer.Ready);
}

/// Adds what the choice of an upstream needs for spreading reads.
void line_group::addLoadEvidence(read_candidate &Candidate,
                                 const line_upstream &Upstream) const {
  if (!Settings.EvenLoad.SpreadReads)
    return;
  Candidate.Baseline = Upstream.LatencyTrend.Baseline;
  Candidate.LatencyAge = now() - Upstream.LastAnswerAt;
  if (Settings.EvenLoad.AvoidUnreliable)
    Candidate.CostFactor = costFactor(Upstream.Score, now());
}

std::optional<double> line_group::drawForRead() {
  if (!Settings.EvenLoad.SpreadReads)
    return std::nullopt;
  return std::uniform_real_distribution<>()(Random);
}

std::uint32_t line_group::fixedLimitOn(const line_upstream &Upstream) const {
  std::size_t Gateways =
      Upstream.IsPrimary ? PrimaryGatewayCount : View.Gateways.size();
  return maxInFlight(Upstream.LatencyTrend, Upstream.Announcement.Slots,
                     Gateways);
}

std::uint32_t line_group::maxInFlightOn(const line_upstream &Upstream) const {
  return limitInForce(Upstream.FlightLimit, fixedLimitOn(Upstream));
}

void line_group::updateLoadMetrics() {
  for (auto &[Id, Upstream] : Upstreams)
    if (Upstream.Load)
      Upstream.Load->update(Upstream.InFlight, maxInFlightOn(Upstream));
}

/// Adapts the limit in flight to what the upstream has shown.
void line_group::adaptLimit(line_upstream &Upstream, limit_evidence Evidence) {
  if (!Settings.EvenLoad.AdaptLimit)
    return;
  auto &Limit = Upstream.FlightLimit;
  std::uint32_t Fixed = fixedLimitOn(Upstream);
  switch (Evidence) {
  case limit_evidence::Busy:
    recordBusyAnswer(Limit, Upstream.LatencyTrend, Upstream.InFlight, Fixed,
                     now());
    break;
  case limit_evidence::Executed:
    recordExecuted(Limit, Upstream.LatencyTrend, Upstream.InFlight, Fixed,
                   now());
    break;
  case limit_evidence::Unanswered:
    recordUnanswered(Limit, now());
    break;
  }
  if (takeHalvingReport(Limit, Fixed, now()))
    event("upstream.limit_halved")
        .with("group", View.Group.Value)
        .with("upstream", Upstream.Announcement.Upstream.Value)
        .with("limit", std::uint64_t{limitInForce(Limit, Fixed)})
        .with("fixed_limit", std::uint64_t{Fixed})
        .with("in_flight", std::uint64_t{Upstream.InFlight});
}

} // namespace teasellock
