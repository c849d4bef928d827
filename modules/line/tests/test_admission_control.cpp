#include "modules/line/admission_control.h"

#include <deque>
#include <doctest/doctest.h>

using namespace teasellock;

namespace {

time_point timeAt(std::int64_t Milliseconds) {
  return time_point(fromMilliseconds(Milliseconds));
}

/// Simulates a primary that executes one statement every ExecutionMs and
/// receives one every ArrivalIntervalMs.
struct overload_simulation {
  std::int64_t ExecutionMs = 6;
  std::int64_t ArrivalIntervalMs = 4;
  std::int64_t TimeoutMs = 800;
  std::int64_t TargetMs = 400;
  bool RefusalsEnabled = true;

  struct result {
    int Arrived = 0;
    int AnsweredInTarget = 0;
    int Refused = 0;
  };

  result simulate(std::int64_t DurationMs) const {
    result Result;
    queue_rate Rate;
    std::deque<std::int64_t> Waiting;
    std::int64_t FreeAt = 0;
    for (std::int64_t Now = 0; Now < DurationMs; ++Now) {
      if (Now % ArrivalIntervalMs == 0) {
        ++Result.Arrived;
        wait_budget Budget{fromMilliseconds(TargetMs),
                           fromMilliseconds(TimeoutMs),
                           fromMilliseconds(ExecutionMs)};
        if (!RefusalsEnabled ||
            canWait(Budget, expectedWait(Rate, Waiting.size())))
          Waiting.push_back(Now);
        else
          ++Result.Refused;
      }
      while (!Waiting.empty() && Now - Waiting.front() >= TimeoutMs)
        Waiting.pop_front();
      if (Now < FreeAt || Waiting.empty())
        continue;
      if (Now + ExecutionMs - Waiting.front() <= TargetMs)
        ++Result.AnsweredInTarget;
      Waiting.pop_front();
      recordStart(Rate, Waiting.size(), timeAt(Now));
      FreeAt = Now + ExecutionMs;
    }
    return Result;
  }
};

/// A primary that executes a statement every 6 ms, and for two seconds every
/// 24 ms. It receives one every 5 ms; expected waits are checked again every
/// 100 ms.
struct slow_phase_simulation {
  static constexpr std::int64_t TargetMs = 400;
  static constexpr std::int64_t TimeoutMs = 2500;

  int Refused = 0;
  int RefusedLate = 0;
  int AnsweredAfterDeadline = 0;
  queue_rate Rate;
  std::deque<std::int64_t> Waiting;
  std::int64_t ExecutionMs = 6;

  /// Removes the statement at an index of the queue if it can't wait.
  bool refuse(std::size_t Index, std::int64_t Now) {
    std::int64_t Waited = Now - Waiting[Index];
    wait_budget Budget{fromMilliseconds(TargetMs),
                       fromMilliseconds(TimeoutMs - Waited),
                       fromMilliseconds(ExecutionMs), fromMilliseconds(Waited)};
    if (canWait(Budget, expectedWait(Rate, Index)))
      return false;
    ++Refused;
    RefusedLate += Waited > TargetMs / 2;
    Waiting.erase(Waiting.begin() + static_cast<std::ptrdiff_t>(Index));
    return true;
  }

  void simulate(std::int64_t DurationMs) {
    std::int64_t FreeAt = 0;
    for (std::int64_t Now = 0; Now < DurationMs; ++Now) {
      ExecutionMs = Now >= 2000 && Now < 4000 ? 24 : 6;
      if (Now % 5 == 0) {
        Waiting.push_back(Now);
        refuse(Waiting.size() - 1, Now);
      }
      if (Now % 100 == 0)
        for (std::size_t Index = 0; Index < Waiting.size();)
          Index += refuse(Index, Now) ? 0 : 1;
      if (Now < FreeAt || Waiting.empty())
        continue;
      AnsweredAfterDeadline += Now + ExecutionMs - Waiting.front() > TimeoutMs;
      Waiting.pop_front();
      recordStart(Rate, Waiting.size(), timeAt(Now));
      FreeAt = Now + ExecutionMs;
    }
  }
};

} // namespace

TEST_CASE("line: a primary with more statements than its slots can run still "
          "answers in time") {
  // All replicas lag for seconds, so all reads and writes of a group go to its
  // primary: 1.5 times as many as it can execute.
  overload_simulation Simulation;
  auto WithRefusals = Simulation.simulate(10000);
  Simulation.RefusalsEnabled = false;
  auto WithoutRefusals = Simulation.simulate(10000);
  // The primary can execute two thirds of the statements.
  CHECK(WithRefusals.AnsweredInTarget >= WithRefusals.Arrived * 6 / 10);
  // Without refusals nearly all answers are late.
  CHECK(WithoutRefusals.AnsweredInTarget < WithoutRefusals.Arrived * 3 / 10);
}

TEST_CASE("line: nothing is refused while the primary keeps up") {
  overload_simulation Simulation;
  Simulation.ExecutionMs = 3;
  CHECK(Simulation.simulate(10000).Refused == 0);
}

TEST_CASE("line: a statement that can't be answered before its deadline does "
          "not wait") {
  wait_budget Budget;
  Budget.Remaining = fromMilliseconds(100);
  Budget.Latency = fromMilliseconds(60);
  CHECK(canWait(Budget, fromMilliseconds(40)));
  CHECK_FALSE(canWait(Budget, fromMilliseconds(41)));
}

TEST_CASE("line: a pause of the upstream hardly affects the queue's rate") {
  queue_rate Rate;
  recordStart(Rate, 1, timeAt(0));
  recordStart(Rate, 1, timeAt(10));
  recordStart(Rate, 1, timeAt(5000));
  CHECK(expectedWait(Rate, 10) < fromMilliseconds(200));
}

TEST_CASE(
    "line: gateways together keep a congested upstream's slots busy and its "
    "queue short") {
  latency_trend Congested{fromMilliseconds(200), fromMilliseconds(30)};
  for (std::uint32_t Slots : {1u, 2u, 3u, 8u})
    for (std::size_t Gateways : {1u, 3u, 6u, 7u, 10u}) {
      CAPTURE(Slots);
      CAPTURE(Gateways);
      auto Max = maxInFlight(Congested, Slots, Gateways);
      CHECK(Max >= 2);
      CHECK(Max * Gateways >= Slots * 4);
      CHECK(Max * Gateways <=
            std::max<std::size_t>(Slots * 4 + Gateways, 2 * Gateways));
    }
  CHECK(maxInFlight(Congested, 3, 0) == 12);
}

TEST_CASE("line: one gateway may keep an uncongested upstream busy by itself") {
  // After a restart the load falls on the few gateways that are ready.
  latency_trend Trend;
  CHECK(maxInFlight(Trend, 3, 7) == 2);
  for (int Answer = 0; Answer < 50; ++Answer)
    recordLatency(Trend, fromMilliseconds(30));
  CHECK(maxInFlight(Trend, 3, 7) == 6);
  for (int Answer = 0; Answer < 200; ++Answer)
    recordLatency(Trend, fromMilliseconds(120));
  CHECK(maxInFlight(Trend, 3, 7) == 2);
  for (int Answer = 0; Answer < 200; ++Answer)
    recordLatency(Trend, fromMilliseconds(40));
  CHECK(maxInFlight(Trend, 3, 7) == 6);
}

// Guards against a gateway that expects no wait because its queue has been
// empty until now, and refuses the same statements a second later.
TEST_CASE("line: the first statements that wait are told a true wait") {
  queue_load Load;
  Load.ExecutionTime = fromMilliseconds(40);
  Load.InFlight = 4;
  Load.Limit = 4;
  // One of the four ends in 10 ms on average.
  CHECK((estimatedWait(Load) == fromMilliseconds(10)));
  // Thirty statements of 40 ms each wait before.
  Load.WorkBefore = fromMilliseconds(1200);
  queue_rate Rate;
  CHECK((expectedWait(Rate, 30, Load, timeAt(0)) == fromMilliseconds(310)));
  // A free place is used at once.
  Load = {{}, fromMilliseconds(40), 1, 4};
  CHECK((estimatedWait(Load) == duration::zero()));
  Load.Limit = 0;
  CHECK((estimatedWait(Load) == duration::zero()));
}

// Guards against refusals by the rate of an overload that has ended.
TEST_CASE("line: the rate of an earlier queue does not count") {
  queue_rate Rate;
  for (int Start = 0; Start < 20; ++Start)
    recordStart(Rate, 5, timeAt(Start * 80));
  queue_load Load;
  Load.ExecutionTime = fromMilliseconds(20);
  Load.InFlight = 4;
  Load.Limit = 4;
  Load.WorkBefore = fromMilliseconds(200);
  CHECK((expectedWait(Rate, 10, Load, timeAt(1530)) > fromMilliseconds(600)));
  CHECK((expectedWait(Rate, 10, Load, timeAt(2500)) == fromMilliseconds(55)));
  // The queue becomes empty and grows again.
  recordStart(Rate, 0, timeAt(2500));
  recordStart(Rate, 10, timeAt(2600));
  CHECK((expectedWait(Rate, 10, Load, timeAt(2610)) == fromMilliseconds(55)));
}

// Guards against callers that wait for most of their target latency and are
// then refused: they have no time left to try again.
TEST_CASE("line: nothing is refused after half of its target latency") {
  slow_phase_simulation Simulation;
  Simulation.simulate(8000);
  CHECK(Simulation.RefusedLate == 0);
  CHECK(Simulation.AnsweredAfterDeadline == 0);
  // The upstream can't execute all: some are refused in time.
  CHECK(Simulation.Refused > 0);
}

// Guards against refusals of statements that would still meet their target.
TEST_CASE("line: a waiting statement is not refused while it can meet its "
          "target") {
  wait_budget Budget{fromMilliseconds(400), fromMilliseconds(2500),
                     fromMilliseconds(30), fromMilliseconds(150)};
  CHECK(canWait(Budget, fromMilliseconds(220)));
  CHECK_FALSE(canWait(Budget, fromMilliseconds(221)));
  CHECK_FALSE(isOverdue(Budget));
  Budget.Waited = fromMilliseconds(201);
  CHECK(isOverdue(Budget));
  CHECK(canWait(Budget, fromMilliseconds(221)));
  // Not beyond its deadline.
  CHECK_FALSE(canWait(Budget, fromMilliseconds(2471)));
}
