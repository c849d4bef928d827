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

/// Reports whether Left must be preferred to Right, rule by rule.
bool isBetter(const replica_candidate &Left, const replica_candidate &Right,
              const read_requirements &Requirements) {
  bool LeftInRegion = Left.Region == Requirements.Region;
  bool RightInRegion = Right.Region == Requirements.Region;
  if (LeftInRegion != RightInRegion)
    return LeftInRegion;
  bool LeftFree = Left.InFlight < Left.Slots;
  bool RightFree = Right.InFlight < Right.Slots;
  if (LeftFree != RightFree)
    return LeftFree;
  bool LeftInZone = Left.AvailabilityZone == Requirements.AvailabilityZone;
  bool RightInZone = Right.AvailabilityZone == Requirements.AvailabilityZone;
  if (LeftInZone != RightInZone)
    return LeftInZone;
  return (Left.InFlight + 1) * Right.Weight <
         (Right.InFlight + 1) * Left.Weight;
}

bool isAllowed(const replica_candidate &Candidate,
               const read_requirements &Requirements) {
  bool SeesOwnWrites = Candidate.Replayed.Term > Requirements.Floor.Term ||
                       (Candidate.Replayed.Term == Requirements.Floor.Term &&
                        Candidate.Replayed.Offset >= Requirements.Floor.Offset);
  bool FreshEnough = !Requirements.MaxAge ||
                     (Candidate.Age.has_value() &&
                      Candidate.Age->count() <= Requirements.MaxAge->count());
  return SeesOwnWrites && FreshEnough && Candidate.Weight > 0;
}

void checkChoice() {
  std::vector<replica_candidate> Candidates;
  int Count = *rc::gen::inRange(0, 5);
  for (int Number = 0; Number < Count; ++Number)
    Candidates.push_back(arbitraryCandidate(Number));
  read_requirements Requirements;
  Requirements.Floor = arbitraryPosition();
  if (*rc::gen::arbitrary<bool>())
    Requirements.MaxAge = duration(*rc::gen::inRange(0, 6));
  Requirements.AvailabilityZone = availability_zone_id("x");
  Requirements.Region = region_id("r");
  auto Chosen = chooseReplica(Candidates, Requirements);
  bool Any = std::any_of(Candidates.begin(), Candidates.end(),
                         [&](const replica_candidate &Each) {
                           return isAllowed(Each, Requirements);
                         });
  RC_ASSERT(Chosen.has_value() == Any);
  if (!Chosen)
    return;
  RC_ASSERT(isAllowed(Candidates[*Chosen], Requirements));
  for (const replica_candidate &Other : Candidates)
    RC_ASSERT_FALSE(isAllowed(Other, Requirements) &&
                    isBetter(Other, Candidates[*Chosen], Requirements));
}

} // namespace

TEST_CASE("gateway: no eligible replica is better than the chosen one") {
  CHECK(rc::check([] {
    for (int Round = 0; Round < RoundsPerCase; ++Round)
      checkChoice();
  }));
}
TEST_CASE("gateway: the age of a replica is never understated") {
  CHECK(rc::check([] {
    // The primary's actual position at each tick, which never decreases.
    std::vector<std::uint64_t> PrimaryOffsets(1, 0);
    for (int Tick = 1; Tick < 40; ++Tick)
      PrimaryOffsets.push_back(PrimaryOffsets.back() +
                               *rc::gen::inRange<std::uint64_t>(0, 2));
    auto At = [](int Tick) {
      return time_point(std::chrono::milliseconds(10 * Tick));
    };
    position_history History;
    for (int Tick = 0; Tick + 1 < 40; ++Tick)
      if (*rc::gen::arbitrary<bool>()) {
        // A probe started at Tick returns the position at Tick or later.
        int ObservedTick = Tick + *rc::gen::inRange(0, 2);
        History.add(
            At(Tick),
            {term(1), PrimaryOffsets[static_cast<std::size_t>(ObservedTick)]});
      }
    auto Replayed =
        *rc::gen::inRange<std::uint64_t>(0, PrimaryOffsets.back() + 1);
    auto Age = History.ageOf({term(1), Replayed}, At(40));
    if (!Age)
      return;
    // The replica holds the data of the last tick whose position it has
    // replayed.
    int Covered = 0;
    for (int Tick = 0; Tick < 40; ++Tick)
      if (PrimaryOffsets[static_cast<std::size_t>(Tick)] <= Replayed)
        Covered = Tick;
    RC_ASSERT(*Age >= At(40) - At(Covered));
  }));
}

TEST_CASE("gateway: a read kind that is not in the table has no age bound") {
  table_row Row;
  Row.MaxReadAges[read_kind("stock")] = fromMilliseconds(500);
  CHECK(maxReadAge(Row, read_kind("stock")) == fromMilliseconds(500));
  CHECK_FALSE(maxReadAge(Row, read_kind("")).has_value());
  CHECK_FALSE(maxReadAge(Row, read_kind("other")).has_value());
}
