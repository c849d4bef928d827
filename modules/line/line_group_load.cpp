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

} // namespace teasellock
