#include "modules/line/read_choice.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

time_point timeAt(std::int64_t Milliseconds) {
  return time_point(fromMilliseconds(Milliseconds));
}

position positionAt(std::uint64_t Term, std::uint64_t Offset) {
  return {term(Term), Offset};
}

/// The writes that a primary acknowledged, and samples of its log position.
struct primary_log {
  struct acknowledged_write {
    time_point At;
    position Position;
  };
  std::vector<acknowledged_write> AcknowledgedWrites;
  position_history History;
};

} // namespace

TEST_CASE("line: a read needs every write acknowledged before its staleness "
          "bound") {
  rc::check("the needed position covers all writes that must be seen", [] {
    primary_log Log;
    auto Steps = *rc::gen::inRange(1, 60);
    std::int64_t Now = 1000;
    std::uint64_t Offset = 0;
    for (int Step = 0; Step < Steps; ++Step) {
      Now += *rc::gen::inRange(1, 400);
      if (*rc::gen::arbitrary<bool>())
        Log.AcknowledgedWrites.push_back(
            {timeAt(Now), positionAt(1, ++Offset)});
      else
        addPositionSample(Log.History, {timeAt(Now), positionAt(1, Offset)},
                          fromMilliseconds(100), fromMilliseconds(10000));
    }
    read_requirement Requirement;
    Requirement.ArrivedAt = timeAt(Now + *rc::gen::inRange(0, 100));
    Requirement.MaxStaleness = fromMilliseconds(*rc::gen::inRange(0, 3000));
    if (*rc::gen::arbitrary<bool>())
      Requirement.Floor =
          positionAt(1, *rc::gen::inRange<std::uint64_t>(0, 40));
    auto Required = requiredPosition(Requirement, Log.History);
    if (!Required)
      return;
    // It covers all writes acknowledged before the bound, and the floor.
    for (const auto &Write : Log.AcknowledgedWrites)
      if (Write.At < Requirement.ArrivedAt - Requirement.MaxStaleness)
        RC_ASSERT(Write.Position <= *Required);
    if (Requirement.Floor &&
        Log.History.back().RequestedAt < Requirement.ArrivedAt)
      RC_ASSERT(*Requirement.Floor <= *Required);
  });
}

TEST_CASE("line: replicas may lag as far as the read tolerates") {
  position_history History;
  for (int Step = 0; Step < 20; ++Step)
    addPositionSample(History,
                      {timeAt(1000 + Step * 100), positionAt(1, 100 + Step)},
                      fromMilliseconds(100), fromMilliseconds(10000));
  read_requirement Requirement;
  Requirement.ArrivedAt = timeAt(3000);
  Requirement.MaxStaleness = fromMilliseconds(1500);
  // The sample taken at 1500 ms is recent enough; later ones are not needed.
  CHECK((requiredPosition(Requirement, History) == positionAt(1, 105)));
  Requirement.MaxStaleness = fromMilliseconds(50);
  CHECK_FALSE(requiredPosition(Requirement, History));
}

TEST_CASE("line: a floor that no log has any more is replaced by a new "
          "sample") {
  position_history History;
  addPositionSample(History, {timeAt(1000), positionAt(1, 10)},
                    fromMilliseconds(100), fromMilliseconds(10000));
  read_requirement Requirement;
  Requirement.ArrivedAt = timeAt(1100);
  Requirement.MaxStaleness = fromMilliseconds(500);
  Requirement.Floor = positionAt(1, 12);
  CHECK((requiredPosition(Requirement, History) == positionAt(1, 12)));
  Requirement.IgnoreFloor = true;
  CHECK_FALSE(requiredPosition(Requirement, History));
  addPositionSample(History, {timeAt(1200), positionAt(1, 11)},
                    fromMilliseconds(100), fromMilliseconds(10000));
  CHECK((requiredPosition(Requirement, History) == positionAt(1, 11)));
}

TEST_CASE("line: the history stays small and keeps old samples and the "
          "latest") {
  position_history History;
  for (int Step = 0; Step <= 1000; ++Step)
    addPositionSample(
        History,
        {timeAt(Step), positionAt(1, static_cast<std::uint64_t>(Step))},
        fromMilliseconds(100), fromMilliseconds(500));
  CHECK(History.size() <= 8);
  CHECK((History.front().RequestedAt >= timeAt(500)));
  CHECK((History.back().RequestedAt == timeAt(1000)));
}

TEST_CASE("line: of the upstreams with the data, the fastest is chosen") {
  read_candidate Near{upstream_id("near"), positionAt(1, 5)};
  Near.HasConnection = true;
  Near.Latency = fromMilliseconds(20);
  read_candidate Far = Near;
  Far.Upstream = upstream_id("far");
  Far.DistanceCost = fromMilliseconds(25);
  std::vector<read_candidate> Candidates = {Far, Near};
  CHECK(chooseUpstream(Candidates, positionAt(1, 5), {})->Upstream.Value ==
        "near");
  // The nearer upstream lags.
  CHECK(chooseUpstream({Far, {upstream_id("near"), positionAt(1, 4)}},
                       positionAt(1, 5), {})
            ->Upstream.Value == "far");
  Candidates[1].InFlight = 6;
  CHECK(chooseUpstream(Candidates, positionAt(1, 5), {})->Upstream.Value ==
        "far");
  CHECK(chooseUpstream(Candidates, positionAt(1, 6), {}) == nullptr);
  CHECK(chooseUpstream(Candidates, positionAt(1, 5),
                       {upstream_id("near"), upstream_id("far")}) == nullptr);
}

TEST_CASE("line: the primary serves reads when no replica has the data") {
  read_candidate Primary{upstream_id("p"), positionAt(1, 5)};
  Primary.IsPrimary = true;
  Primary.HasConnection = true;
  Primary.Latency = fromMilliseconds(10);
  read_candidate Replica{upstream_id("r"), positionAt(1, 3)};
  Replica.HasConnection = true;
  Replica.Latency = fromMilliseconds(20);
  CHECK(chooseUpstream({Primary, Replica}, positionAt(1, 3), {})
            ->Upstream.Value == "r");
  CHECK(chooseUpstream({Primary, Replica}, positionAt(1, 4), {})
            ->Upstream.Value == "p");
}

// Guards against reads that go to a near upstream that fails part of them.
TEST_CASE("line: an unreliable upstream is left for one that is farther") {
  read_candidate Near{upstream_id("near"), positionAt(1, 5)};
  Near.HasConnection = true;
  Near.Latency = Near.Baseline = fromMilliseconds(25);
  read_candidate Far = Near;
  Far.Upstream = upstream_id("far");
  Far.DistanceCost = fromMilliseconds(8);
  CHECK(
      chooseUpstream({Near, Far}, positionAt(1, 5), {}, 0.9)->Upstream.Value ==
      "near");
  Near.CostFactor = 4;
  for (double Draw : {0.0, 0.5, 0.9})
    CHECK(chooseUpstream({Near, Far}, positionAt(1, 5), {}, Draw)
              ->Upstream.Value == "far");
  // It is still used where no other has the data.
  CHECK(chooseUpstream({Near}, positionAt(1, 5), {}, 0)->Upstream.Value ==
        "near");
}
