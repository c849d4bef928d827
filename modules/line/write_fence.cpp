#include "modules/line/write_fence.h"

#include <algorithm>

namespace teasellock {

void closeWriteFence(write_fence &Fence, term Term, revision Revision) {
  if (!Fence.IsClosed) {
    Fence.IsClosed = true;
    Fence.HasPaused = false;
  }
  Fence.Term = std::max(Fence.Term, Term);
  Fence.Revision = std::max(Fence.Revision, Revision);
}

void applyView(write_fence &Fence, const group_view &View) {
  if (View.Revision < Fence.Revision)
    return;
  if (!View.Primary) {
    // A group of term zero has never had a primary that could be replaced.
    if (View.Term != term())
      closeWriteFence(Fence, View.Term, View.Revision);
    return;
  }
  if (!Fence.IsClosed)
    return;
  Fence.IsClosed = false;
  // The promotion was abandoned: the primary keeps its term and its log.
  if (View.Term <= Fence.Term)
    Fence = {};
}

void recordPauses(write_fence &Fence) { Fence.HasPaused = true; }

bool mayWrite(const write_fence &Fence, term Term) {
  return !Fence.IsClosed || Term > Fence.Term;
}

commit_verdict judgeCommit(const write_fence &Fence,
                           const commit_coverage &Coverage,
                           const std::optional<position> &Position) {
  bool IsReplaced =
      Fence.Term != term() && (!Position || Position->Term <= Fence.Term);
  if (!IsReplaced && !Coverage.IsRequired)
    return commit_verdict::Acknowledge;
  if (!Position)
    return commit_verdict::Unknown;
  if (covers(Coverage, *Position))
    return commit_verdict::Acknowledge;
  if (!IsReplaced || (Fence.IsClosed && !Fence.HasPaused))
    return commit_verdict::Await;
  return commit_verdict::Unknown;
}

} // namespace teasellock
