#include "modules/gateway/replica_choice.h"
#include "modules/gateway/upstream_health.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

position arbitraryPosition() {
  return {term(*rc::gen::inRange<std::uint64_t>(1, 3)),
          *rc::gen::inRange<std::uint64_t>(0, 6)};
}

constexpr int RoundsPerCase = 20;

replica_candidate arbitraryCandidate(int Number) {
  replica_candidate Candidate;
  Candidate.Upstream = upstream_id(std::to_string(Number));
  Candidate.AvailabilityZone =
      availability_zone_id(*rc::gen::element<std::string>("x", "y"));
  Candidate.Region = region_id(*rc::gen::element<std::string>("r", "s"));
  Candidate.Replayed = arbitraryPosition();
  if (*rc::gen::arbitrary<bool>())
    Candidate.Age = duration(*rc::gen::inRange(0, 6));
  Candidate.Weight = *rc::gen::element(0.0, 1.0, 2.0);
  Candidate.InFlight = *rc::gen::inRange<std::uint32_t>(0, 4);
  Candidate.Slots = *rc::gen::inRange<std::uint32_t>(1, 4);
  return Candidate;
}

/// Whether Left must be taken before Right: the rules one by one.
bool better(const replica_candidate &Left, const replica_candidate &Right,
            const read_demand &Demand) {
  bool LeftNear = Left.Region == Demand.Region;
  bool RightNear = Right.Region == Demand.Region;
  if (LeftNear != RightNear)
    return LeftNear;
  bool LeftFree = Left.InFlight < Left.Slots;
  bool RightFree = Right.InFlight < Right.Slots;
  if (LeftFree != RightFree)
    return LeftFree;
  bool LeftHere = Left.AvailabilityZone == Demand.AvailabilityZone;
  bool RightHere = Right.AvailabilityZone == Demand.AvailabilityZone;
  if (LeftHere != RightHere)
    return LeftHere;
  return (Left.InFlight + 1) * Right.Weight <
         (Right.InFlight + 1) * Left.Weight;
}

bool fits(const replica_candidate &Candidate, const read_demand &Demand) {
  bool SeesOwnWrites = Candidate.Replayed.Term > Demand.Floor.Term ||
                       (Candidate.Replayed.Term == Demand.Floor.Term &&
                        Candidate.Replayed.Offset >= Demand.Floor.Offset);
  bool FreshEnough =
      !Demand.MostAge || (Candidate.Age.has_value() &&
                          Candidate.Age->count() <= Demand.MostAge->count());
  return SeesOwnWrites && FreshEnough && Candidate.Weight > 0;
}

void checkChoice() {
  std::vector<replica_candidate> Candidates;
  int Count = *rc::gen::inRange(0, 5);
  for (int Number = 0; Number < Count; ++Number)
    Candidates.push_back(arbitraryCandidate(Number));
  read_demand Demand;
  Demand.Floor = arbitraryPosition();
  if (*rc::gen::arbitrary<bool>())
    Demand.MostAge = duration(*rc::gen::inRange(0, 6));
  Demand.AvailabilityZone = availability_zone_id("x");
  Demand.Region = region_id("r");
  auto Chosen = chooseReplica(Candidates, Demand);
  bool Any = std::any_of(
      Candidates.begin(), Candidates.end(),
      [&](const replica_candidate &Each) { return fits(Each, Demand); });
  RC_ASSERT(Chosen.has_value() == Any);
  if (!Chosen)
    return;
  RC_ASSERT(fits(Candidates[*Chosen], Demand));
  for (const replica_candidate &Other : Candidates)
    RC_ASSERT_FALSE(fits(Other, Demand) &&
                    better(Other, Candidates[*Chosen], Demand));
}

} // namespace

TEST_CASE("gateway: the replica chosen is one that no eligible one beats") {
  CHECK(rc::check([] {
    for (int Round = 0; Round < RoundsPerCase; ++Round)
      checkChoice();
  }));
}
TEST_CASE("gateway: the age of a replica is never understated") {
  CHECK(rc::check([] {
    // The primary's true position at each tick; it only grows.
    std::vector<std::uint64_t> Truth(1, 0);
    for (int Tick = 1; Tick < 40; ++Tick)
      Truth.push_back(Truth.back() + *rc::gen::inRange<std::uint64_t>(0, 2));
    auto At = [](int Tick) {
      return time_point(std::chrono::milliseconds(10 * Tick));
    };
    position_history History;
    for (int Tick = 0; Tick + 1 < 40; ++Tick)
      if (*rc::gen::arbitrary<bool>()) {
        // A probe started at Tick saw the position at Tick or later.
        int Seen = Tick + *rc::gen::inRange(0, 2);
        History.add(At(Tick), {term(1), Truth[static_cast<std::size_t>(Seen)]});
      }
    auto Replayed = *rc::gen::inRange<std::uint64_t>(0, Truth.back() + 1);
    auto Age = History.ageOf({term(1), Replayed}, At(40));
    if (!Age)
      return;
    // The data of the replica are those of the last tick that it covers.
    int Covered = 0;
    for (int Tick = 0; Tick < 40; ++Tick)
      if (Truth[static_cast<std::size_t>(Tick)] <= Replayed)
        Covered = Tick;
    RC_ASSERT(*Age >= At(40) - At(Covered));
  }));
}

TEST_CASE("gateway: a read kind that is not in the table has no age bound") {
  table_row Row;
  Row.ReadAges[read_kind("stock")] = fromMilliseconds(500);
  CHECK(toleratedAge(Row, read_kind("stock")) == fromMilliseconds(500));
  CHECK_FALSE(toleratedAge(Row, read_kind("")).has_value());
  CHECK_FALSE(toleratedAge(Row, read_kind("other")).has_value());
}
