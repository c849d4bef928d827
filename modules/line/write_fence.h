/// Decides whether a gateway may write to a primary, and whether it may
/// acknowledge a commit that the primary has confirmed.
///
/// Once control begins to replace a primary, gateways write nothing to it any
/// more: what it still commits may be missing in the promoted upstream. Nothing
/// acknowledged depends on this fence, as it may not reach every gateway: a
/// commit is acknowledged only once a replica that control knows has it (see
/// commit_coverage.h).
#pragma once

#include "modules/control/group_view.h"
#include "modules/line/commit_coverage.h"

namespace teasellock {

/// State of a gateway's write fence for one group.
struct write_fence {
  /// Whether a promotion is under way.
  bool IsClosed = false;
  /// Nothing is written to a primary of this or an earlier term while the fence
  /// is closed. Kept after that, for late answers. Zero: none.
  term Term;
  /// Revision of the group's state without a primary that closed the fence.
  revision Revision;
  /// Whether this gateway has tried to pause the replicas since the fence was
  /// closed.
  bool HasPaused = false;
};

/// What a commit's answer may be.
enum class commit_verdict {
  /// The commit is in the log of every upstream that may be promoted.
  Acknowledge,
  /// Not known before a replica has reported a higher position.
  Await,
  /// It may be missing in the promoted upstream.
  Unknown,
};

/// Closes the fence for primaries of Term and earlier ones. Revision is that of
/// the group's state without a primary.
void closeWriteFence(write_fence &Fence, term Term, revision Revision);

/// Closes the fence if the view names no primary, and opens it if a view that
/// is newer than the fence does.
void applyView(write_fence &Fence, const group_view &View);

/// Records the end of an attempt to pause the replicas.
void recordPauses(write_fence &Fence);

/// Reports whether data may be changed at a primary of this term; zero if its
/// term is not known.
bool mayWrite(const write_fence &Fence, term Term);

/// Decides on the answer to a commit. Position is where the primary's log ended
/// when it confirmed the commit, if it said so. Commits of a primary that is
/// replaced, and that no paused replica has, are not waited for.
commit_verdict judgeCommit(const write_fence &Fence,
                           const commit_coverage &Coverage,
                           const std::optional<position> &Position);

} // namespace teasellock
