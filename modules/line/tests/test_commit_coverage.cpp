#include "modules/line/commit_coverage.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

time_point at(std::int64_t Milliseconds) {
  return time_point(fromMilliseconds(Milliseconds));
}

/// Control confirmed a primary of term 3 at 100 ms.
commit_coverage confirmedCoverage() {
  commit_coverage Coverage;
  confirmLeadership(Coverage, at(100), term(3));
  return Coverage;
}

} // namespace

TEST_CASE("line: a commit is covered once a replica has reported a position at "
          "or beyond it") {
  auto Coverage = confirmedCoverage();
  CHECK_FALSE(covers(Coverage, {term(3), 7}));
  recordSighting(Coverage, {at(50), {term(3), 6}});
  CHECK_FALSE(covers(Coverage, {term(3), 7}));
  recordSighting(Coverage, {at(50), {term(3), 7}});
  CHECK(covers(Coverage, {term(3), 7}));
  recordSighting(Coverage, {at(50), {term(3), 5}});
  CHECK(covers(Coverage, {term(3), 7}));
}

// Guards against a replica that has joined or restarted since control was last
// heard of: control may have paused and chosen another process by then.
TEST_CASE("line: a replica that was connected to after control last confirmed "
          "the primary covers nothing") {
  auto Coverage = confirmedCoverage();
  recordSighting(Coverage, {at(101), {term(3), 7}});
  CHECK_FALSE(covers(Coverage, {term(3), 7}));
  confirmLeadership(Coverage, at(101), term(3));
  recordSighting(Coverage, {at(101), {term(3), 7}});
  CHECK(covers(Coverage, {term(3), 7}));
}

// Guards against a replica that still holds what a former primary had sent to
// it, while another upstream leads that lacks it.
TEST_CASE("line: a replica in an earlier term than the confirmed one covers "
          "nothing") {
  auto Coverage = confirmedCoverage();
  confirmLeadership(Coverage, at(200), term(4));
  recordSighting(Coverage, {at(150), {term(3), 7}});
  CHECK_FALSE(covers(Coverage, {term(3), 7}));
}

// Guards against the log of a later primary being taken for one that contains
// all of an earlier one.
TEST_CASE("line: a position of a later term covers no commit of an earlier "
          "one") {
  auto Coverage = confirmedCoverage();
  recordSighting(Coverage, {at(50), {term(4), 9}});
  CHECK_FALSE(covers(Coverage, {term(3), 7}));
  CHECK(covers(Coverage, {term(4), 9}));
}
