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
struct overload {
  struct kind {
    std::int64_t WorkMs;
    std::int64_t EveryMs;
  };
  // Execution times of 6, 18 and 30 ms; in total twice the slots' capacity.
  std::array<kind, 3> Kinds = {{{6, 4}, {18, 9}, {30, 12}}};

  /// Returns the number of statements served. Ranked: faster kinds first;
  /// otherwise in order of arrival.
  int play(bool Ranked) const {
    execution_estimates Estimates;
    for (const auto &Kind : Kinds)
      for (int Sample = 0; Sample < 20; ++Sample)
        recordExecutionTime(Estimates, {Kind.WorkMs, TargetMs},
                            fromMilliseconds(Kind.WorkMs + 12));
    std::map<queue_key, std::pair<std::int64_t, std::int64_t>> Queue;
    std::vector<std::int64_t> FreeAt(SlotCount, 0);
    std::uint64_t Arrival = 0;
    int Served = 0;
    for (std::int64_t Now = 0; Now < 8000; ++Now) {
      for (const auto &Kind : Kinds)
        if (Now % Kind.EveryMs == 0) {
          auto Rank = executionTimeRank(Estimates, {Kind.WorkMs, TargetMs});
          Queue[{0, Ranked ? Rank : 0, ++Arrival}] = {Now, Kind.WorkMs};
        }
      for (auto &Free : FreeAt)
        Served += Now >= Free && startNext(Queue, Now, Free);
    }
    return Served;
  }

  /// Starts the next statement. Those that have waited too long are refused.
  static bool
  startNext(std::map<queue_key, std::pair<std::int64_t, std::int64_t>> &Queue,
            std::int64_t Now, std::int64_t &Free) {
    while (!Queue.empty()) {
      auto [ArrivedAt, WorkMs] = Queue.begin()->second;
      Queue.erase(Queue.begin());
      if (Now - ArrivedAt > TargetMs / 2)
        continue;
      Free = Now + WorkMs;
      return true;
    }
    return false;
  }
};

} // namespace

TEST_CASE("line: under overload, executing faster statements first serves more "
          "callers") {
  overload Load;
  int ServedInOrder = Load.play(false);
  int Ranked = Load.play(true);
  CAPTURE(ServedInOrder);
  CAPTURE(Ranked);
  CHECK(Ranked * 100 >= ServedInOrder * 120);
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
