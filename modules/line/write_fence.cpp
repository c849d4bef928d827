#include "modules/line/write_fence.h"

#include <algorithm>
#include <utility>

namespace teasellock {

void closeWriteFence(write_fence &Fence, term Term, revision Revision) {
  if (!Fence.IsClosed) {
    Fence.IsClosed = true;
    Fence.HasPaused = false;
    Fence.Covered = {};
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

void recordPauses(write_fence &Fence, const position &Covered) {
  // Control may have chosen an upstream after the first answer.
  if (!std::exchange(Fence.HasPaused, true))
    Fence.Covered = Covered;
}

bool mayWrite(const write_fence &Fence, term Term) {
  return !Fence.IsClosed || Term > Fence.Term;
}

commit_verdict judgeCommit(const write_fence &Fence,
                           const std::optional<position> &Position) {
  if (Fence.Term == term())
    return commit_verdict::Acknowledge;
  if (Position && (Position->Term > Fence.Term || *Position <= Fence.Covered))
    return commit_verdict::Acknowledge;
  return Fence.IsClosed && !Fence.HasPaused ? commit_verdict::AwaitPauses
                                            : commit_verdict::Unknown;
}

} // namespace teasellock
