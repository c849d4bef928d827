#include "modules/membership/control_selection.h"

#include <doctest/doctest.h>
#include <set>

using namespace teasellock;

namespace {

const endpoint First{"10.0.0.1", 9000};
const endpoint Second{"10.0.0.2", 9000};
const endpoint Third{"10.0.0.3", 9000};

control_selection makeSelection() {
  control_selection Selection;
  Selection.Configured = {First, Second};
  Selection.Named = {Third};
  return Selection;
}

bool isReachable(const endpoint &) { return true; }
bool isUnreachable(const endpoint &) { return false; }

} // namespace

TEST_CASE("membership: the leader is contacted first, another control VM if it "
          "can't be reached") {
  auto Selection = makeSelection();
  CHECK((chooseControl(Selection, isReachable) == First));
  Selection.Leader = Third;
  CHECK((chooseControl(Selection, isReachable) == Third));
  auto IsNotThird = [](const endpoint &Address) { return Address != Third; };
  CHECK((chooseControl(Selection, IsNotThird) == First));
}

TEST_CASE("membership: a control VM that does not reply is skipped until "
          "another one replies") {
  auto Selection = makeSelection();
  recordNoReply(Selection, First);
  CHECK((chooseControl(Selection, isReachable) == Second));
  selectNextControl(Selection);
  selectNextControl(Selection);
  CHECK((chooseControl(Selection, isReachable) == Second));
  recordReply(Selection, First);
  CHECK((Selection.Unresponsive == First));
  recordReply(Selection, Second);
  CHECK_FALSE(Selection.Unresponsive.has_value());
}

TEST_CASE("membership: the only control VM is contacted again though it did "
          "not reply") {
  control_selection Selection;
  Selection.Configured = {First};
  recordNoReply(Selection, First);
  CHECK((chooseControl(Selection, isReachable) == First));
}

TEST_CASE("membership: without a reachable control VM the unresponsive one is "
          "tried again") {
  auto Selection = makeSelection();
  recordNoReply(Selection, Second);
  CHECK_FALSE(chooseControl(Selection, isUnreachable).has_value());
  CHECK_FALSE(Selection.Unresponsive.has_value());
}

TEST_CASE(
    "membership: without leader and replies all control VMs are contacted "
    "in turn") {
  auto Selection = makeSelection();
  std::set<endpoint> Contacted;
  for (int I = 0; I < 3; ++I) {
    auto Target = chooseControl(Selection, isReachable);
    REQUIRE(Target.has_value());
    Contacted.insert(*Target);
    recordNoReply(Selection, Target);
  }
  CHECK(Contacted.size() == 3);
}
