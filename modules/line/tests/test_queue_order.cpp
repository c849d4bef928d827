#include "modules/line/queue_order.h"

#include <array>
#include <doctest/doctest.h>
#include <vector>

using namespace teasellock;

namespace {

constexpr std::int64_t SlotCount = 3;
constexpr std::int64_t TargetMs = 400;

/// Simulates an overloaded primary: three slots, and three kinds of statements
/// that each arrive at a fixed interval and together need more than the slots.
struct overload_simulation {
  struct statement_load {
    std::int64_t ExecutionMs;
    std::int64_t ArrivalIntervalMs;
  };
  // Execution times of 6, 18 and 30 ms; in total twice the slots' capacity.
  std::array<statement_load, 3> Kinds = {{{6, 4}, {18, 9}, {30, 12}}};

  /// Returns the number of statements served. Ranked: faster kinds first;
  /// otherwise in order of arrival.
  int countServed(bool Ranked) const {
    execution_estimates Estimates;
    for (const auto &Kind : Kinds)
      for (int Sample = 0; Sample < 20; ++Sample)
        recordExecutionTime(Estimates, {Kind.ExecutionMs, TargetMs},
                            fromMilliseconds(Kind.ExecutionMs + 12));
    std::map<queue_key, std::pair<std::int64_t, std::int64_t>> Queue;
    std::vector<std::int64_t> FreeAt(SlotCount, 0);
    std::uint64_t Arrival = 0;
    int Served = 0;
    for (std::int64_t Now = 0; Now < 8000; ++Now) {
      for (const auto &Kind : Kinds)
        if (Now % Kind.ArrivalIntervalMs == 0) {
          auto Rank =
              executionTimeRank(Estimates, {Kind.ExecutionMs, TargetMs});
          Queue[{0, Ranked ? Rank : 0, ++Arrival}] = {Now, Kind.ExecutionMs};
        }
      for (auto &SlotFreeAt : FreeAt)
        Served += Now >= SlotFreeAt && startNext(Queue, Now, SlotFreeAt);
    }
    return Served;
  }

  /// Starts the next statement. Those that have waited too long are refused.
  static bool
  startNext(std::map<queue_key, std::pair<std::int64_t, std::int64_t>> &Queue,
            std::int64_t Now, std::int64_t &SlotFreeAt) {
    while (!Queue.empty()) {
      auto [ArrivedAt, ExecutionMs] = Queue.begin()->second;
      Queue.erase(Queue.begin());
      if (Now - ArrivedAt > TargetMs / 2)
        continue;
      SlotFreeAt = Now + ExecutionMs;
      return true;
    }
    return false;
  }
};

} // namespace

TEST_CASE("line: under overload, executing faster statements first serves more "
          "callers") {
  overload_simulation Simulation;
  int ServedUnranked = Simulation.countServed(false);
  int ServedRanked = Simulation.countServed(true);
  CAPTURE(ServedUnranked);
  CAPTURE(ServedRanked);
  CHECK(ServedRanked * 100 >= ServedUnranked * 120);
}

TEST_CASE("line: kinds are ranked by execution time once it is known") {
  execution_estimates Estimates;
  statement_kind Quick{-1, 400};
  statement_kind Slow{1500, 800};
  for (int Sample = 0; Sample < 15; ++Sample) {
    recordExecutionTime(Estimates, Quick, fromMilliseconds(6));
    recordExecutionTime(Estimates, Slow, fromMilliseconds(30));
  }
  CHECK(executionTimeRank(Estimates, Slow) == 0);
  recordExecutionTime(Estimates, Quick, fromMilliseconds(6));
  recordExecutionTime(Estimates, Slow, fromMilliseconds(30));
  CHECK(executionTimeRank(Estimates, Slow) == 1);
  CHECK(executionTimeRank(Estimates, Quick) == 0);
  // The route's priority takes precedence over the rank of the kind.
  CHECK((queue_key{1, 1, 1} < queue_key{2, 0, 2}));
  CHECK((queue_key{1, 0, 2} < queue_key{1, 1, 1}));
}
