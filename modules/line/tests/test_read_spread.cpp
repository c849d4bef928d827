#include "modules/line/read_choice.h"

#include <algorithm>
#include <array>
#include <deque>
#include <doctest/doctest.h>
#include <random>

using namespace teasellock;

namespace {

/// Two replicas, one of them in the gateways' zone or both at the same
/// distance, and gateways that choose between them by their own answers.
struct replica_pair {
  static constexpr std::uint32_t Slots = 6;
  static constexpr double MeanExecutionMs = 25;
  static constexpr std::size_t GatewayCount = 6;

  struct statement {
    std::size_t Gateway = 0;
    std::int64_t SentAt = 0;
    std::int64_t EndsAt = 0;
  };
  struct replica {
    std::vector<statement> Running;
    std::deque<statement> Queue;
    int Served = 0;
  };

  std::array<replica, 2> Replicas;
  std::array<std::vector<read_candidate>, GatewayCount> Known;
  std::array<std::array<std::int64_t, 2>, GatewayCount> AnsweredAt{};
  std::mt19937 Random{20261204};
  bool DrawsAreRandom = true;

  explicit replica_pair(duration SecondDistance) {
    for (auto &Candidates : Known)
      for (const char *Name : {"a", "b"}) {
        read_candidate Candidate;
        Candidate.Upstream = upstream_id(Name);
        Candidate.HasConnection = true;
        Candidate.DistanceCost = fromMilliseconds(1);
        Candidate.Latency = Candidate.Baseline = fromMilliseconds(25);
        Candidate.Slots = Slots;
        Candidates.push_back(Candidate);
      }
    for (auto &Candidates : Known)
      Candidates[1].DistanceCost = SecondDistance;
  }

  void send(std::size_t Gateway, std::int64_t Now) {
    auto &Candidates = Known[Gateway];
    for (std::size_t Index = 0; Index < 2; ++Index)
      Candidates[Index].LatencyAge =
          fromMilliseconds(Now - AnsweredAt[Gateway][Index]);
    double Draw =
        DrawsAreRandom ? std::uniform_real_distribution<>()(Random) : 0;
    const auto *Chosen = chooseUpstream(Candidates, position(), {}, Draw);
    auto Index = static_cast<std::size_t>(Chosen - Candidates.data());
    ++Candidates[Index].InFlight;
    Replicas[Index].Queue.push_back({Gateway, Now, 0});
  }

  void answer(std::size_t Index, const statement &Statement, std::int64_t Now) {
    auto &Candidate = Known[Statement.Gateway][Index];
    --Candidate.InFlight;
    Candidate.Latency +=
        (fromMilliseconds(Now - Statement.SentAt) - Candidate.Latency) / 8;
    AnsweredAt[Statement.Gateway][Index] = Now;
  }

  /// Runs with a load relative to the capacity of both replicas. Returns the
  /// busiest replica's part of the statements of each second, averaged.
  double run(std::int64_t DurationMs, double Load) {
    std::poisson_distribution<int> Arrivals(Load * 2 * Slots / MeanExecutionMs);
    std::uniform_int_distribution<std::size_t> Choice(0, GatewayCount - 1);
    std::exponential_distribution<double> Execution(1 / (MeanExecutionMs - 5));
    double SumOfParts = 0;
    for (std::int64_t Now = 1; Now <= DurationMs; ++Now) {
      for (int Count = Arrivals(Random); Count > 0; --Count)
        send(Choice(Random), Now);
      for (std::size_t Index = 0; Index < 2; ++Index) {
        auto &Replica = Replicas[Index];
        auto HasEnded = [&](const statement &Statement) {
          return Statement.EndsAt <= Now;
        };
        for (const auto &Statement : Replica.Running)
          if (HasEnded(Statement))
            answer(Index, Statement, Now);
        std::erase_if(Replica.Running, HasEnded);
        while (!Replica.Queue.empty() && Replica.Running.size() < Slots) {
          Replica.Running.push_back(Replica.Queue.front());
          Replica.Running.back().EndsAt =
              Now + 5 + static_cast<std::int64_t>(Execution(Random));
          Replica.Queue.pop_front();
          ++Replica.Served;
        }
      }
      if (Now % 1000 != 0)
        continue;
      double Total = Replicas[0].Served + Replicas[1].Served;
      SumOfParts += std::max(Replicas[0].Served, Replicas[1].Served) / Total;
      Replicas[0].Served = Replicas[1].Served = 0;
    }
    return SumOfParts / (static_cast<double>(DurationMs) / 1000);
  }
};

} // namespace

// Guards against gateways that all send their reads to the same one of two
// equal replicas.
TEST_CASE("line: gateways spread reads over replicas at the same distance") {
  for (double Load : {0.3, 0.6, 0.9}) {
    CAPTURE(Load);
    replica_pair Replicas(fromMilliseconds(1));
    CHECK(Replicas.run(20000, Load) < 0.6);
  }
}

// Guards against billed traffic between zones without need.
TEST_CASE("line: reads stay in the zone while its replica is not congested") {
  replica_pair Replicas(fromMilliseconds(8));
  CHECK(Replicas.run(20000, 0.2) > 0.99);
}

// Guards against one congested replica beside an idle one in another zone.
TEST_CASE("line: reads leave a congested replica") {
  replica_pair Replicas(fromMilliseconds(8));
  CHECK(Replicas.run(20000, 0.9) < 0.65);
}
