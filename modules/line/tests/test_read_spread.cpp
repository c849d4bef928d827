#include "modules/line/read_choice.h"

#include <algorithm>
#include <array>
#include <deque>
#include <doctest/doctest.h>
#include <map>
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

  bool IsSpread;

  explicit replica_pair(duration SecondDistance, bool IsSpread = true)
      : IsSpread(IsSpread) {
    for (auto &Candidates : Known)
      for (const char *Name : {"a", "b"}) {
        read_candidate Candidate;
        Candidate.Upstream = upstream_id(Name);
        Candidate.HasConnection = true;
        Candidate.DistanceCost = fromMilliseconds(1);
        Candidate.Latency = fromMilliseconds(25);
        if (IsSpread)
          Candidate.Baseline = Candidate.Latency;
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
    std::optional<double> Draw;
    if (IsSpread)
      Draw = std::uniform_real_distribution<>()(Random);
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

read_candidate replica(const std::string &Name, duration Distance) {
  read_candidate Candidate;
  Candidate.Upstream = upstream_id(Name);
  Candidate.HasConnection = true;
  Candidate.DistanceCost = Distance;
  Candidate.Latency = Candidate.Baseline = fromMilliseconds(25);
  Candidate.Slots = replica_pair::Slots;
  return Candidate;
}

/// Returns how often each upstream is chosen in a hundred evenly spread draws.
std::map<std::string, int>
countChoices(const std::vector<read_candidate> &Candidates) {
  std::map<std::string, int> Counts;
  for (int Step = 0; Step < 100; ++Step)
    ++Counts[chooseUpstream(Candidates, position(), {}, Step / 100.0)
                 ->Upstream.Value];
  return Counts;
}

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

// Guards against a third replica that idles beside two that share the reads.
TEST_CASE("line: all replicas at the same distance get a part of the reads") {
  duration Distance = fromMilliseconds(1);
  auto Counts = countChoices(
      {replica("a", Distance), replica("b", Distance), replica("c", Distance)});
  for (const char *Name : {"a", "b", "c"}) {
    CHECK(Counts[Name] >= 33);
    CHECK(Counts[Name] <= 34);
  }
}

// Guards against two replicas of which the slower one gets as many reads.
TEST_CASE("line: a replica that is slower gets fewer reads") {
  auto Slower = replica("b", fromMilliseconds(1));
  Slower.Baseline = Slower.Latency = fromMilliseconds(35);
  auto Counts = countChoices({replica("a", fromMilliseconds(1)), Slower});
  CHECK(Counts["a"] > 55);
  CHECK(Counts["b"] > 35);
}

// Guards against billed traffic, and reads that take the primary's slots, while
// the nearest replica is not congested.
TEST_CASE("line: only a congested replica shares reads with a farther one") {
  auto Near = replica("near", fromMilliseconds(1));
  auto Far = replica("far", fromMilliseconds(8));
  auto Primary = replica("primary", duration());
  Primary.IsPrimary = true;
  Primary.Baseline = Primary.Latency = fromMilliseconds(11);
  SUBCASE("not congested") {
    CHECK(countChoices({Near, Far, Primary})["near"] == 100);
  }
  SUBCASE("all of its slots are taken by this gateway") {
    Near.InFlight = replica_pair::Slots;
    CHECK(countChoices({Near, Far})["far"] == 100);
  }
  SUBCASE("its answers are slow") {
    Near.Latency = fromMilliseconds(45);
    auto Counts = countChoices({Near, Far});
    CHECK(Counts["far"] > 55);
    CHECK(Counts["near"] > 35);
  }
  SUBCASE("the primary relieves it where no other replica does") {
    Near.InFlight = replica_pair::Slots;
    Primary.Baseline = Primary.Latency = fromMilliseconds(22);
    auto Counts = countChoices({Near, Primary});
    CHECK(Counts["near"] > 50);
    CHECK(Counts["primary"] > 40);
  }
}

// Guards against a replica that gets no reads, and so no connections, because
// the other one has a free connection.
TEST_CASE("line: a replica without a free connection is as near as before") {
  auto Unconnected = replica("unconnected", fromMilliseconds(1));
  Unconnected.ConnectCost = fromMilliseconds(10);
  auto Same = replica("connected", fromMilliseconds(1));
  CHECK(countChoices({Unconnected, Same})["unconnected"] > 35);
  auto Farther = replica("connected", fromMilliseconds(8));
  CHECK(countChoices({Unconnected, Farther})["unconnected"] > 45);
}

// Guards against an upstream that was slow once and is never tried again.
TEST_CASE("line: old evidence of a slow upstream counts less") {
  auto Near = replica("near", fromMilliseconds(1));
  Near.Latency = fromMilliseconds(400);
  auto Far = replica("far", fromMilliseconds(8));
  CHECK(countChoices({Near, Far})["near"] == 0);
  Near.LatencyAge = fromMilliseconds(20000);
  CHECK(countChoices({Near, Far})["near"] > 50);
}

// Guards against a spread that overrides the consistency rules.
TEST_CASE("line: a draw chooses only among upstreams that have the data") {
  auto Late = replica("late", fromMilliseconds(1));
  Late.Applied = position{term(1), 4};
  auto Tried = replica("tried", fromMilliseconds(1));
  auto Full = replica("full", fromMilliseconds(1));
  Full.HasConnection = false;
  auto Usable = replica("usable", fromMilliseconds(8));
  Tried.Applied = Full.Applied = Usable.Applied = position{term(1), 5};
  for (double Draw : {0.0, 0.5, 0.99})
    CHECK(chooseUpstream({Late, Tried, Full, Usable}, Usable.Applied,
                         {Tried.Upstream}, Draw)
              ->Upstream.Value == "usable");
}
