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

} // namespace teasellock
