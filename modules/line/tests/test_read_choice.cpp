#include "modules/line/read_choice.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

time_point at(std::int64_t Milliseconds) {
  return time_point(fromMilliseconds(Milliseconds));
}

position place(std::uint64_t Term, std::uint64_t Number) {
  return {term(Term), Number};
}

/// The writes that a primary acknowledged, and samples of its log position.
struct log_world {
  struct acknowledged {
    time_point At;
    position Position;
  };
  std::vector<acknowledged> Acknowledged;
  sample_history History;
};

} // namespace

TEST_CASE("line: a read needs every write acknowledged before its staleness "
          "bound") {
  rc::check("the needed position covers all writes that must be seen", [] {
    log_world Writes;
    auto Steps = *rc::gen::inRange(1, 60);
    std::int64_t Now = 1000;
    std::uint64_t Number = 0;
    for (int Step = 0; Step < Steps; ++Step) {
      Now += *rc::gen::inRange(1, 400);
      if (*rc::gen::arbitrary<bool>())
        Writes.Acknowledged.push_back({at(Now), place(1, ++Number)});
      else
        addSample(Writes.History, {at(Now), place(1, Number)},
                  fromMilliseconds(100), fromMilliseconds(10000));
    }
    read_requirement Requirement;
    Requirement.ArrivedAt = at(Now + *rc::gen::inRange(0, 100));
    Requirement.MaxStaleness = fromMilliseconds(*rc::gen::inRange(0, 3000));
    if (*rc::gen::arbitrary<bool>())
      Requirement.Floor = place(1, *rc::gen::inRange<std::uint64_t>(0, 40));
    auto Required = requiredPosition(Requirement, Writes.History);
    if (!Required)
      return;
    // It covers all writes acknowledged before the bound, and the floor.
    for (const auto &Write : Writes.Acknowledged)
      if (Write.At < Requirement.ArrivedAt - Requirement.MaxStaleness)
        RC_ASSERT(Write.Position <= *Required);
    if (Requirement.Floor &&
        Writes.History.back().RequestedAt < Requirement.ArrivedAt)
      RC_ASSERT(*Requirement.Floor <= *Required);
  });
}

TEST_CASE("line: replicas may lag as far as the read tolerates") {
  sample_history History;
  for (int Step = 0; Step < 20; ++Step)
    addSample(History, {at(1000 + Step * 100), place(1, 100 + Step)},
              fromMilliseconds(100), fromMilliseconds(10000));
  read_requirement Requirement;
  Requirement.ArrivedAt = at(3000);
  Requirement.MaxStaleness = fromMilliseconds(1500);
  // The sample taken at 1500 ms is recent enough; later ones are not needed.
  CHECK((requiredPosition(Requirement, History) == place(1, 105)));
  Requirement.MaxStaleness = fromMilliseconds(50);
  CHECK_FALSE(requiredPosition(Requirement, History));
}

TEST_CASE("line: a floor that no log has any more is replaced by a new "
          "sample") {
  sample_history History;
  addSample(History, {at(1000), place(1, 10)}, fromMilliseconds(100),
            fromMilliseconds(10000));
  read_requirement Requirement;
  Requirement.ArrivedAt = at(1100);
  Requirement.MaxStaleness = fromMilliseconds(500);
  Requirement.Floor = place(1, 12);
  CHECK((requiredPosition(Requirement, History) == place(1, 12)));
  Requirement.FloorDoubtful = true;
  CHECK_FALSE(requiredPosition(Requirement, History));
  addSample(History, {at(1200), place(1, 11)}, fromMilliseconds(100),
            fromMilliseconds(10000));
  CHECK((requiredPosition(Requirement, History) == place(1, 11)));
}

TEST_CASE("line: the history stays small and keeps old samples and the "
          "latest") {
  sample_history History;
  for (int Step = 0; Step <= 1000; ++Step)
    addSample(History, {at(Step), place(1, static_cast<std::uint64_t>(Step))},
              fromMilliseconds(100), fromMilliseconds(500));
  CHECK(History.size() <= 8);
  CHECK((History.front().RequestedAt >= at(500)));
  CHECK((History.back().RequestedAt == at(1000)));
}

TEST_CASE("line: of the upstreams with the data, the fastest is chosen") {
  read_candidate Near{upstream_id("near"), place(1, 5)};
  Near.HasConnection = true;
  Near.Latency = fromMilliseconds(20);
  read_candidate Far = Near;
  Far.Upstream = upstream_id("far");
  Far.DistanceCost = fromMilliseconds(25);
  std::vector<read_candidate> Candidates = {Far, Near};
  CHECK(chooseUpstream(Candidates, place(1, 5), {})->Upstream.Value == "near");
  // The nearer upstream lags.
  CHECK(
      chooseUpstream({Far, {upstream_id("near"), place(1, 4)}}, place(1, 5), {})
          ->Upstream.Value == "far");
  Candidates[1].InFlight = 6;
  CHECK(chooseUpstream(Candidates, place(1, 5), {})->Upstream.Value == "far");
  CHECK(chooseUpstream(Candidates, place(1, 6), {}) == nullptr);
  CHECK(chooseUpstream(Candidates, place(1, 5),
                       {upstream_id("near"), upstream_id("far")}) == nullptr);
}

TEST_CASE("line: the primary serves reads when no replica has the data") {
  read_candidate Primary{upstream_id("p"), place(1, 5)};
  Primary.IsPrimary = true;
  Primary.HasConnection = true;
  Primary.Latency = fromMilliseconds(10);
  read_candidate Replica{upstream_id("r"), place(1, 3)};
  Replica.HasConnection = true;
  Replica.Latency = fromMilliseconds(20);
  CHECK(chooseUpstream({Primary, Replica}, place(1, 3), {})->Upstream.Value ==
        "r");
  CHECK(chooseUpstream({Primary, Replica}, place(1, 4), {})->Upstream.Value ==
        "p");
}
