#include "modules/line/write_fence.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

group_view viewOf(std::uint64_t Revision, std::uint64_t Term, bool HasPrimary) {
  group_view View;
  View.Revision = revision(Revision);
  View.Term = term(Term);
  if (HasPrimary)
    View.Primary = upstream_id("u");
  return View;
}

} // namespace

// Guards against writes to a deposed primary after a view that is older than
// the promotion arrived late.
TEST_CASE("line: an older view does not open the write fence") {
  write_fence Fence;
  closeWriteFence(Fence, term(3), revision(20));
  applyView(Fence, viewOf(19, 3, true));
  CHECK_FALSE(mayWrite(Fence, term(3)));
  CHECK(mayWrite(Fence, term(4)));
  applyView(Fence, viewOf(21, 4, true));
  CHECK(mayWrite(Fence, term(4)));
}

TEST_CASE("line: a group that never had a primary has no write fence") {
  write_fence Fence;
  applyView(Fence, viewOf(2, 0, false));
  CHECK(mayWrite(Fence, term(1)));
  applyView(Fence, viewOf(3, 1, false));
  CHECK_FALSE(mayWrite(Fence, term(1)));
}

// Guards against answers that arrive after the promotion: the deposed primary
// confirmed a commit that the promoted upstream lacks.
TEST_CASE("line: late answers of a deposed primary are judged") {
  write_fence Fence;
  commit_coverage Coverage;
  position Before{term(3), 7};
  position Beyond{term(3), 9};
  CHECK(judgeCommit(Fence, Coverage, Beyond) == commit_verdict::Await);
  closeWriteFence(Fence, term(3), revision(20));
  CHECK(judgeCommit(Fence, Coverage, Before) == commit_verdict::Await);
  Coverage.Covered = {term(3), 8};
  recordPauses(Fence);
  CHECK(judgeCommit(Fence, Coverage, Before) == commit_verdict::Acknowledge);
  CHECK(judgeCommit(Fence, Coverage, Beyond) == commit_verdict::Unknown);
  CHECK(judgeCommit(Fence, Coverage, std::nullopt) == commit_verdict::Unknown);
  applyView(Fence, viewOf(21, 4, true));
  CHECK(judgeCommit(Fence, Coverage, Beyond) == commit_verdict::Unknown);
  CHECK(judgeCommit(Fence, Coverage, position{term(4), 9}) ==
        commit_verdict::Await);
}

TEST_CASE("line: an abandoned promotion leaves no write fence") {
  write_fence Fence;
  closeWriteFence(Fence, term(3), revision(20));
  recordPauses(Fence);
  applyView(Fence, viewOf(21, 3, true));
  CHECK(mayWrite(Fence, term(3)));
  CHECK(judgeCommit(Fence, {}, position{term(3), 9}) == commit_verdict::Await);
}

TEST_CASE("line: commits that need no replica wait for none") {
  write_fence Fence;
  commit_coverage Coverage;
  Coverage.IsRequired = false;
  CHECK(judgeCommit(Fence, Coverage, std::nullopt) ==
        commit_verdict::Acknowledge);
  closeWriteFence(Fence, term(3), revision(20));
  CHECK(judgeCommit(Fence, Coverage, position{term(3), 9}) ==
        commit_verdict::Await);
  CHECK(judgeCommit(Fence, Coverage, position{term(4), 9}) ==
        commit_verdict::Acknowledge);
}
