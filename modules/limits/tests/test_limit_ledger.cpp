#include "modules/limits/tests/limit_simulation.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <string>

using namespace teasellock;

namespace {

/// Steps of the ledger's property test in all cases together; the variable
/// TEASELLOCK_LEDGER_STEPS sets another number, such as 1000000.
constexpr std::uint64_t DefaultSteps = 1200000;
constexpr std::uint64_t StepsPerCase = 50000;
constexpr std::uint64_t FirstSeed = 20261203;
constexpr std::uint64_t StepsPerProperty = 2000;

std::uint64_t ledgerSteps() {
  const char *Text = std::getenv("TEASELLOCK_LEDGER_STEPS");
  return Text ? std::stoull(Text) : DefaultSteps;
}

/// The largest and smaller organisations, with a burst of one second's rate.
operation_limit limitOf(double Rate) { return {Rate, Rate}; }

limit_scenario faultsScenario(std::uint64_t Seed) {
  limit_scenario Scenario;
  Scenario.Seed = Seed;
  std::mt19937_64 Random(Seed);
  const double Rates[] = {1, 2, 12, 60, 242, 358, 358, 358};
  double Rate = Rates[Random() % std::size(Rates)];
  Scenario.Limit = limitOf(Rate);
  Scenario.Entries = Random() % 2 ? 5 : 60;
  // Without demand the bucket fills up; the largest demand is 7.5 times the
  // usual one, which is 1 / 1.6 of the limit.
  Scenario.Demand = {0, Rate * 4.7, Rate * 1.2, Rate * 0.6};
  Scenario.PhaseSeconds = 1.0 + static_cast<double>(Random() % 60) / 10;
  Scenario.HandoverSeconds = Random() % 2 ? 1 : 20;
  Scenario.FreezeSeconds = Random() % 2 ? 3 : 30;
  Scenario.ChangesLimit = Random() % 2;
  Scenario.Steps = StepsPerCase;
  return Scenario;
}

limit_scenario steadyScenario(double Rate, std::size_t Entries,
                              double DemandPart) {
  limit_scenario Scenario;
  Scenario.Limit = limitOf(Rate);
  Scenario.Entries = Entries;
  Scenario.Demand = {Rate * DemandPart};
  Scenario.IsSteady = true;
  Scenario.HasFaults = false;
  // A limiter whose clock is 5% slow can't grant 95% of the limit.
  Scenario.LimiterClockError = 0;
  return Scenario;
}

} // namespace

// Guards against operations that count twice or not at all: batches used after
// their validity, returns that are repeated or late, buckets that start full.
TEST_CASE("limits: entries never start more than the limit in any window") {
  std::uint64_t Cases =
      std::max<std::uint64_t>(1, ledgerSteps() / StepsPerCase);
  for (std::uint64_t Case = 0; Case < Cases; ++Case) {
    std::uint64_t Seed = FirstSeed + Case;
    auto History = limit_simulation(faultsScenario(Seed)).run();
    INFO("seed ", Seed);
    double Excess = largestExcess(History, LimitInvariant);
    CHECK(Excess <= 0);
    CHECK(History.Starts.size() > 100);
    CHECK(History.GivenBack > 0);
  }
  // Further seeds, more of them in `make fuzz`.
  bool Passed = rc::check("any seed", [](std::uint64_t Seed) {
    auto Scenario = faultsScenario(Seed);
    Scenario.Steps = StepsPerProperty;
    RC_ASSERT(largestExcess(limit_simulation(Scenario).run(), LimitInvariant) <=
              0);
  });
  CHECK(Passed);
}

// Guards the same at the design's own bound, which is closer than the invariant
// where clocks are exact: what starts in a window was granted in it or at most
// the validity of a batch before.
TEST_CASE("limits: with exact clocks a window starts what its buckets grant") {
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + 12; ++Seed) {
    auto Scenario = faultsScenario(Seed);
    Scenario.EntryClockError = 0;
    Scenario.LimiterClockError = 0;
    limit_bound Bound;
    Bound.ExtraSeconds = std::chrono::duration<double>(BatchValidity).count();
    Bound.PerHandover = InitialOperations;
    // A part of an operation in each share's bucket, and one that is begun.
    Bound.Extra = LimitShares;
    auto History = limit_simulation(Scenario).run();
    double Excess = largestExcess(History, Bound);
    INFO("seed ", Seed);
    CHECK(Excess <= 0);
  }
}

// Guards against refusals while the organisation is below its limit, by
// operations that lie unused at entries or expire there.
TEST_CASE("limits: a steady demand of 80% of the limit is never refused") {
  for (double Rate : {2.0, 12.0, 60.0, 358.0})
    for (std::size_t Entries : {10, 80}) {
      auto Scenario = steadyScenario(Rate, Entries, 0.8);
      auto History = limit_simulation(Scenario).run();
      INFO("rate ", Rate, " entries ", Entries, " seconds ", History.EndAt,
           " messages ", History.Messages);
      CHECK(History.LimitReached == 0);
      CHECK(History.Unavailable == 0);
    }
}

// Guards against losses of capacity under overload.
TEST_CASE("limits: under three times the limit 95% of it is used") {
  for (double Rate : {2.0, 12.0, 60.0, 358.0})
    for (std::size_t Entries : {10, 80}) {
      auto Scenario = steadyScenario(Rate, Entries, 3);
      auto History = limit_simulation(Scenario).run();
      INFO("rate ", Rate, " entries ", Entries, " seconds ", History.EndAt,
           " messages ", History.Messages);
      CHECK(static_cast<double>(History.Starts.size()) >=
            0.95 * Rate * History.EndAt);
      CHECK(History.Unavailable == 0);
      CHECK(largestExcess(History, LimitInvariant) <= 0);
    }
}

// Guards against refusals of all callers whose limiter is on the other side of
// a network partition: two of four limiters serve half of the limit.
TEST_CASE("limits: half of the limit can be used while two of four limiters "
          "can't be reached") {
  for (double Rate : {12.0, 60.0, 358.0}) {
    auto Scenario = steadyScenario(Rate, 40, 0.4);
    Scenario.UnreachableShares = 2;
    auto History = limit_simulation(Scenario).run();
    INFO("rate ", Rate, " seconds ", History.EndAt);
    CHECK(History.LimitReached == 0);
    CHECK(History.Unavailable == 0);
    Scenario.Demand = {Rate * 3};
    History = limit_simulation(Scenario).run();
    CHECK(static_cast<double>(History.Starts.size()) >=
          0.95 * Rate / 2 * History.EndAt);
    CHECK(largestExcess(History, LimitInvariant) <= 0);
  }
}
