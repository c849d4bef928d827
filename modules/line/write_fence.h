/// Decides whether a gateway may write to a primary, and whether it may
/// acknowledge a commit, while control replaces the primary.
///
/// A primary confirms a commit once any replica has received it, also one that
/// control does not know yet and therefore has not paused. Once control pauses
/// the replicas to choose one of them, a commit that only such a replica
/// confirms would be missing in the promoted one. So no gateway writes to the
/// primary from then on, and a commit that was sent before is acknowledged only
/// if a paused replica has received it.
#pragma once

#include "modules/control/group_view.h"

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
  /// Highest position in the logs of the replicas that this gateway's first
  /// attempt has paused, and of the primary if it was demoted.
  position Covered;
};

/// What a commit's answer may be.
enum class commit_verdict {
  /// The commit is in the log of every upstream that may be promoted.
  Acknowledge,
  /// Not known before the replicas have been paused.
  AwaitPauses,
  /// It may be missing in the promoted upstream.
  Unknown,
};

/// Closes the fence for primaries of Term and earlier ones. Revision is that of
/// the group's state without a primary.
void closeWriteFence(write_fence &Fence, term Term, revision Revision);

/// Closes the fence if the view names no primary, and opens it if a view that
/// is newer than the fence does.
void applyView(write_fence &Fence, const group_view &View);

/// Records the end of an attempt to pause the replicas, and the highest
/// position that one of them had after that. Only the first attempt since the
/// fence was closed raises what may be acknowledged: control has its answer
/// when it chooses an upstream.
void recordPauses(write_fence &Fence, const position &Covered);

/// Reports whether data may be changed at a primary of this term; zero if its
/// term is not known.
bool mayWrite(const write_fence &Fence, term Term);

/// Decides on the answer to a commit. Position is where the primary's log ended
/// when it confirmed the commit, if it said so.
commit_verdict judgeCommit(const write_fence &Fence,
                           const std::optional<position> &Position);

} // namespace teasellock
