#include "modules/line/in_flight_limit.h"

#include <deque>
#include <doctest/doctest.h>
#include <random>

using namespace teasellock;

namespace {

time_point timeAt(std::int64_t Milliseconds) {
  return time_point(fromMilliseconds(Milliseconds));
}

/// A primary with slots and a bounded queue, and gateways that send it
/// statements. Both replicas lag, so all gateways use the primary although its
/// parts are computed for those in its region.
struct shared_upstream {
  static constexpr std::uint32_t Slots = 6;
  static constexpr std::size_t QueueLimit = 8 * Slots;
  static constexpr double MeanExecutionMs = 25;

  struct statement {
    std::size_t Gateway = 0;
    std::int64_t SentAt = 0;
    std::int64_t EndsAt = 0;
  };
  struct gateway {
    latency_trend Trend;
    in_flight_limit Limit;
    std::uint32_t InFlight = 0;
    std::int64_t BusyUntil = 0;
    std::int64_t Waiting = 0;
  };
  struct result {
    int Arrivals = 0;
    int Rejected = 0;
    /// Sums over time of the slots in use and the length of the queue.
    std::int64_t BusySlotMs = 0;
    std::int64_t QueuedMs = 0;
  };

  std::vector<gateway> Gateways{6};
  /// Gateways in the primary's region, for which the fixed limit is computed.
  std::size_t SharingGateways = 2;
  bool IsAdaptive = true;
  baseline_rise Rise = baseline_rise::SlowWhileCongested;
  std::vector<statement> Running;
  std::deque<statement> Queue;
  std::mt19937 Random{20261204};

  explicit shared_upstream(bool IsAdaptive) : IsAdaptive(IsAdaptive) {
    for (std::size_t Index = 0; Index < Gateways.size(); ++Index) {
      Gateways[Index].Trend = {fromMilliseconds(25), fromMilliseconds(25)};
      Gateways[Index].Limit.Phase =
          static_cast<double>(Index) / static_cast<double>(Gateways.size());
    }
  }

  std::uint32_t fixedLimit(const gateway &Gateway) const {
    return maxInFlight(Gateway.Trend, Slots, SharingGateways);
  }

  std::uint32_t limitOf(const gateway &Gateway) const {
    return IsAdaptive ? limitInForce(Gateway.Limit, fixedLimit(Gateway))
                      : fixedLimit(Gateway);
  }

  void send(std::size_t Index, std::int64_t Now, result &Result) {
    auto &Gateway = Gateways[Index];
    ++Result.Arrivals;
    ++Gateway.InFlight;
    if (Queue.size() < QueueLimit) {
      --Gateway.Waiting;
      return Queue.push_back({Index, Now});
    }
    ++Result.Rejected;
    Gateway.BusyUntil = Now + 10;
    recordBusyAnswer(Gateway.Limit, Gateway.Trend, Gateway.InFlight,
                     fixedLimit(Gateway), timeAt(Now));
    --Gateway.InFlight;
  }

  void finish(const statement &Statement, std::int64_t Now) {
    auto &Gateway = Gateways[Statement.Gateway];
    recordLatency(Gateway.Trend, fromMilliseconds(Now - Statement.SentAt),
                  Rise);
    recordExecuted(Gateway.Limit, Gateway.Trend, Gateway.InFlight,
                   fixedLimit(Gateway), timeAt(Now));
    --Gateway.InFlight;
  }

  /// Runs with the given load, as a part of what the slots can execute.
  result run(std::int64_t FromMs, std::int64_t ToMs, double Load) {
    result Result;
    double PerMs = Load * Slots / MeanExecutionMs;
    std::poisson_distribution<int> Arrivals(PerMs);
    std::uniform_int_distribution<std::size_t> Choice(0, Gateways.size() - 1);
    std::exponential_distribution<double> Execution(1 / (MeanExecutionMs - 5));
    for (std::int64_t Now = FromMs; Now < ToMs; ++Now) {
      for (int Count = Arrivals(Random); Count > 0; --Count) {
        auto &Waiting = Gateways[Choice(Random)].Waiting;
        // What would wait for longer is refused.
        Waiting = std::min<std::int64_t>(Waiting + 1, 30);
      }
      for (const auto &Statement : Running)
        if (Statement.EndsAt <= Now)
          finish(Statement, Now);
      std::erase_if(Running, [&](const statement &Statement) {
        return Statement.EndsAt <= Now;
      });
      for (std::size_t Step = 0; Step < Gateways.size(); ++Step) {
        std::size_t Index = (Step + static_cast<std::size_t>(Now)) % 6;
        auto &Gateway = Gateways[Index];
        while (Gateway.Waiting > 0 && Now >= Gateway.BusyUntil &&
               Gateway.InFlight < limitOf(Gateway))
          send(Index, Now, Result);
      }
      while (!Queue.empty() && Running.size() < Slots) {
        Running.push_back(Queue.front());
        Running.back().EndsAt =
            Now + 5 + static_cast<std::int64_t>(Execution(Random));
        Queue.pop_front();
      }
      Result.BusySlotMs += static_cast<std::int64_t>(Running.size());
      Result.QueuedMs += static_cast<std::int64_t>(Queue.size());
    }
    return Result;
  }
};

} // namespace

// Guards against the load of a group whose replicas both lag: its gateways fill
// the primary's queue, and the primary rejects statements.
TEST_CASE("line: gateways that overload a primary adapt to its rejections") {
  auto Fixed = shared_upstream(false).run(0, 40000, 1.5);
  auto Adaptive = shared_upstream(true).run(0, 40000, 1.5);
  CAPTURE(Fixed.Rejected);
  CAPTURE(Fixed.Arrivals);
  CHECK(Adaptive.Rejected * 10 < Fixed.Rejected);
  // The slots stay busy.
  CHECK(Adaptive.BusySlotMs >= 40000 * shared_upstream::Slots * 95 / 100);
}

// Guards against limits that stay low after an overload.
TEST_CASE("line: the fixed limit applies again once an overload has ended") {
  shared_upstream Upstream(true);
  Upstream.run(0, 20000, 1.5);
  auto Calm = Upstream.run(20000, 30000, 0.5);
  CHECK(Calm.Rejected == 0);
  for (const auto &Gateway : Upstream.Gateways)
    CHECK(limitInForce(Gateway.Limit, 12) == 12);
}

// Guards against limits below the fixed ones where there is no overload.
TEST_CASE("line: without overload the limit in flight is the fixed one") {
  shared_upstream Upstream(true);
  auto Calm = Upstream.run(0, 20000, 0.7);
  CHECK(Calm.Rejected == 0);
  for (const auto &Gateway : Upstream.Gateways)
    CHECK(Gateway.Limit.Limit == 0);
}

// Guards against statements that wait at an upstream which does not answer, and
// against a limit that stays at one when it answers again.
TEST_CASE("line: an upstream that stops answering gets one statement") {
  shared_upstream Upstream(true);
  for (auto &Gateway : Upstream.Gateways) {
    recordUnanswered(Gateway.Limit, timeAt(0));
    CHECK(limitInForce(Gateway.Limit, 12) == 1);
  }
  Upstream.run(1, 10000, 0.5);
  for (const auto &Gateway : Upstream.Gateways)
    CHECK(limitInForce(Gateway.Limit, 12) == 12);
}

// Guards against a log line for each statement of an overload.
TEST_CASE("line: reports of a halved limit are bounded") {
  in_flight_limit Limit;
  CHECK_FALSE(takeHalvingReport(Limit, 12, timeAt(0)));
  Limit.Limit = 7;
  CHECK_FALSE(takeHalvingReport(Limit, 12, timeAt(0)));
  Limit.Limit = 6;
  CHECK(takeHalvingReport(Limit, 12, timeAt(0)));
  Limit.Limit = 3;
  CHECK_FALSE(takeHalvingReport(Limit, 12, timeAt(20000)));
  // The fixed limit applies in between.
  Limit.Limit = 0;
  CHECK_FALSE(takeHalvingReport(Limit, 12, timeAt(21000)));
  Limit.Limit = 6;
  CHECK(takeHalvingReport(Limit, 12, timeAt(22000)));
  Limit.Limit = 0;
  CHECK_FALSE(takeHalvingReport(Limit, 12, timeAt(23000)));
  Limit.Limit = 6;
  CHECK_FALSE(takeHalvingReport(Limit, 12, timeAt(31999)));
  CHECK(takeHalvingReport(Limit, 12, timeAt(32000)));
}

// Guards against an overload that counts as the usual state after some time:
// the upstream's queue, which knows no priorities, then becomes ever longer.
TEST_CASE("line: an upstream's queue stays short in a minute of overload") {
  shared_upstream Upstream(true);
  Upstream.run(0, 60000, 1.5);
  auto Later = Upstream.run(60000, 70000, 1.5);
  CHECK(Later.QueuedMs < 10000 * 4 * shared_upstream::Slots);
}
