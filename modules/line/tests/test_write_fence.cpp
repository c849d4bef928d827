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
  position Before{term(3), 7};
  position Beyond{term(3), 9};
  CHECK(judgeCommit(Fence, Beyond) == commit_verdict::Acknowledge);
  closeWriteFence(Fence, term(3), revision(20));
  CHECK(judgeCommit(Fence, Before) == commit_verdict::AwaitPauses);
  recordPauses(Fence, {term(3), 8});
  CHECK(judgeCommit(Fence, Before) == commit_verdict::Acknowledge);
  CHECK(judgeCommit(Fence, Beyond) == commit_verdict::Unknown);
  CHECK(judgeCommit(Fence, std::nullopt) == commit_verdict::Unknown);
  applyView(Fence, viewOf(21, 4, true));
  CHECK(judgeCommit(Fence, Beyond) == commit_verdict::Unknown);
  CHECK(judgeCommit(Fence, position{term(4), 9}) ==
        commit_verdict::Acknowledge);
}

TEST_CASE("line: an abandoned promotion leaves no write fence") {
  write_fence Fence;
  closeWriteFence(Fence, term(3), revision(20));
  recordPauses(Fence, {term(3), 8});
  applyView(Fence, viewOf(21, 3, true));
  CHECK(mayWrite(Fence, term(3)));
  CHECK(judgeCommit(Fence, position{term(3), 9}) ==
        commit_verdict::Acknowledge);
}

// Guards against a commit that is acknowledged because a replica has it which
// was paused after control had chosen another one.
TEST_CASE("line: later pauses do not raise what may be acknowledged") {
  write_fence Fence;
  closeWriteFence(Fence, term(3), revision(20));
  recordPauses(Fence, {term(3), 8});
  recordPauses(Fence, {term(3), 10});
  CHECK(judgeCommit(Fence, position{term(3), 9}) == commit_verdict::Unknown);
  applyView(Fence, viewOf(21, 3, true));
  closeWriteFence(Fence, term(3), revision(22));
  recordPauses(Fence, {term(3), 10});
  CHECK(judgeCommit(Fence, position{term(3), 9}) ==
        commit_verdict::Acknowledge);
}
