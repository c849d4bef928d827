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
    log_world World;
    auto Steps = *rc::gen::inRange(1, 60);
    std::int64_t Now = 1000;
    std::uint64_t Number = 0;
    for (int Step = 0; Step < Steps; ++Step) {
      Now += *rc::gen::inRange(1, 400);
      if (*rc::gen::arbitrary<bool>())
        World.Acknowledged.push_back({at(Now), place(1, ++Number)});
      else
        addSample(World.History, {at(Now), place(1, Number)},
                  fromMilliseconds(100), fromMilliseconds(10000));
    }
    read_demand Demand;
    Demand.ArrivedAt = at(Now + *rc::gen::inRange(0, 100));
    Demand.MaxStaleness = fromMilliseconds(*rc::gen::inRange(0, 3000));
    if (*rc::gen::arbitrary<bool>())
      Demand.Floor = place(1, *rc::gen::inRange<std::uint64_t>(0, 40));
    auto Needed = neededPosition(Demand, World.History);
    if (!Needed)
      return;
    // It covers all writes acknowledged before the bound, and the floor.
    for (const auto &Write : World.Acknowledged)
      if (Write.At < Demand.ArrivedAt - Demand.MaxStaleness)
        RC_ASSERT(Write.Position <= *Needed);
    if (Demand.Floor && World.History.back().AskedAt < Demand.ArrivedAt)
      RC_ASSERT(*Demand.Floor <= *Needed);
  });
}

TEST_CASE("line: replicas may lag as far as the read tolerates") {
  sample_history History;
  for (int Step = 0; Step < 20; ++Step)
    addSample(History, {at(1000 + Step * 100), place(1, 100 + Step)},
              fromMilliseconds(100), fromMilliseconds(10000));
  read_demand Demand;
  Demand.ArrivedAt = at(3000);
  Demand.MaxStaleness = fromMilliseconds(1500);
  // The sample taken at 1500 ms is recent enough; later ones are not needed.
  CHECK((neededPosition(Demand, History) == place(1, 105)));
  Demand.MaxStaleness = fromMilliseconds(50);
  CHECK_FALSE(neededPosition(Demand, History));
}

TEST_CASE("line: a floor that no log has any more is replaced by a new "
          "sample") {
  sample_history History;
  addSample(History, {at(1000), place(1, 10)}, fromMilliseconds(100),
            fromMilliseconds(10000));
  read_demand Demand;
  Demand.ArrivedAt = at(1100);
  Demand.MaxStaleness = fromMilliseconds(500);
  Demand.Floor = place(1, 12);
  CHECK((neededPosition(Demand, History) == place(1, 12)));
  Demand.FloorDoubted = true;
  CHECK_FALSE(neededPosition(Demand, History));
  addSample(History, {at(1200), place(1, 11)}, fromMilliseconds(100),
            fromMilliseconds(10000));
  CHECK((neededPosition(Demand, History) == place(1, 11)));
}

TEST_CASE("line: the history stays small and keeps old samples and the "
          "latest") {
  sample_history History;
  for (int Step = 0; Step <= 1000; ++Step)
    addSample(History, {at(Step), place(1, static_cast<std::uint64_t>(Step))},
              fromMilliseconds(100), fromMilliseconds(500));
  CHECK(History.size() <= 8);
  CHECK((History.front().AskedAt >= at(500)));
  CHECK((History.back().AskedAt == at(1000)));
}

TEST_CASE("line: of the upstreams with the data, the fastest is chosen") {
  read_option Near{upstream_id("near"), place(1, 5)};
  Near.Free = true;
  Near.Latency = fromMilliseconds(20);
  read_option Far = Near;
  Far.Upstream = upstream_id("far");
  Far.DistanceCost = fromMilliseconds(25);
  std::vector<read_option> Options = {Far, Near};
  CHECK(chooseUpstream(Options, place(1, 5), {})->Upstream.Value == "near");
  // The nearer upstream lags.
  CHECK(
      chooseUpstream({Far, {upstream_id("near"), place(1, 4)}}, place(1, 5), {})
          ->Upstream.Value == "far");
  Options[1].Running = 6;
  CHECK(chooseUpstream(Options, place(1, 5), {})->Upstream.Value == "far");
  CHECK(chooseUpstream(Options, place(1, 6), {}) == nullptr);
  CHECK(chooseUpstream(Options, place(1, 5),
                       {upstream_id("near"), upstream_id("far")}) == nullptr);
}

TEST_CASE("line: the primary serves reads when no replica has the data") {
  read_option Primary{upstream_id("p"), place(1, 5)};
  Primary.Primary = true;
  Primary.Free = true;
  Primary.Latency = fromMilliseconds(10);
  read_option Replica{upstream_id("r"), place(1, 3)};
  Replica.Free = true;
  Replica.Latency = fromMilliseconds(20);
  CHECK(chooseUpstream({Primary, Replica}, place(1, 3), {})->Upstream.Value ==
        "r");
  CHECK(chooseUpstream({Primary, Replica}, place(1, 4), {})->Upstream.Value ==
        "p");
}
