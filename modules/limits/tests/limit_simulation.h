#pragma once

#include "modules/limits/limit_holdings.h"
#include "modules/limits/limit_shares.h"
#include "modules/limits/limiter_accounts.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

namespace teasellock {

/// What happens in a simulation of one organisation.
struct limit_scenario {
  std::uint64_t Seed = 1;
  std::size_t Entries = 10;
  operation_limit Limit;
  /// Callers' demand in operations a second, by phases of PhaseSeconds that
  /// follow each other in turn.
  std::vector<double> Demand;
  double PhaseSeconds = 3;
  /// Callers arrive at equal intervals instead of random ones.
  bool IsSteady = false;
  /// Messages are lost, repeated and late, processes freeze, limiters and
  /// limits change, and operations are given back.
  bool HasFaults = true;
  /// Handovers follow each other after up to this long and 2.5 s.
  double HandoverSeconds = 20;
  /// Processes freeze up to this long after each other.
  double FreezeSeconds = 3;
  bool ChangesLimit = true;
  /// The limiters of the first shares can't be reached by any entry: the others
  /// are on this side of a network partition.
  std::uint32_t UnreachableShares = 0;
  /// The largest difference of a clock's rate from that of true time, at
  /// entries and at limiters.
  double EntryClockError = 0.05;
  double LimiterClockError = 0.05;
  /// Events to simulate.
  std::uint64_t Steps = 20000;
};

/// What happened in a simulation; times are true time in seconds.
struct limit_history {
  /// Started operations that were not given back.
  std::vector<double> Starts;
  /// Limits by when they came into force.
  std::vector<std::pair<double, operation_limit>> Limits;
  std::uint64_t LimitReached = 0;
  std::uint64_t Unavailable = 0;
  std::uint64_t GivenBack = 0;
  /// When another process became the limiter of a share.
  std::vector<double> Handovers;
  std::uint64_t Messages = 0;
  double EndAt = 0;
};

/// Simulates the entries of one organisation and the limiters of its shares,
/// one each at a time, with the real decisions. Each process has a clock of its
/// own.
class limit_simulation {
public:
  explicit limit_simulation(const limit_scenario &Scenario);

  /// Runs the scenario and returns what happened.
  limit_history run();

private:
  /// True time in seconds.
  using seconds = double;

  struct process {
    double ClockRate = 1;
    double ClockOffset = 0;
    /// Handles nothing before.
    seconds FrozenUntil = 0;
  };
  /// One share at an entry.
  struct entry_share {
    limit_holdings Holdings;
    /// The limiter it knows.
    std::uint64_t Limiter = 0;
    time_point SilentUntil;
    std::optional<seconds> TimerAt;
    /// When the last message of each direction arrives.
    seconds ToLimiterAt = 0;
    seconds FromLimiterAt = 0;
  };
  struct entry : process {
    std::uint32_t FirstShare = 0;
    std::array<entry_share, LimitShares> Shares;
    std::map<limit_ticket, caller_progress> Callers;
  };
  struct limiter : process {
    std::uint64_t Number = 0;
    limiter_accounts Accounts;
  };
  struct event {
    seconds At;
    std::uint64_t Number;
    std::function<void()> Action;
    bool operator<(const event &Other) const {
      return std::tie(Other.At, Other.Number) < std::tie(At, Number);
    }
  };

  double random(double Low, double High) {
    return std::uniform_real_distribution<double>(Low, High)(Random);
  }
  bool chance(double Probability) {
    return Scenario.HasFaults && random(0, 1) < Probability;
  }
  static time_point clockOf(const process &Process, seconds At) {
    return time_point(duration(static_cast<std::int64_t>(
        (Process.ClockOffset + At * Process.ClockRate) * 1e6)));
  }
  void at(seconds Time, std::function<void()> Action) {
    Events.push({Time, ++LastEvent, std::move(Action)});
  }
  /// Runs Action at a process, later if it is frozen.
  void atProcess(process &Process, seconds Time, std::function<void()> Action);
  /// Returns when a message sent now arrives. Without faults, messages of one
  /// direction keep their order; Last is when the one before arrives.
  seconds arrivalAt(seconds &Last);
  process makeProcess(double ClockError);
  void arrive();
  void ask(entry &Entry, const caller_progress &Caller);
  void execute(entry &Entry, std::uint32_t Share, limit_effects Effects);
  void resolve(entry &Entry, std::uint32_t Share,
               const limit_resolution &Resolution);
  void giveBackLater(entry &Entry, std::uint64_t Start,
                     const limit_resolution &Resolution);
  void send(entry &Entry, std::uint32_t Share, const limit_demand &Demand);
  void receiveDemand(std::size_t Index, std::uint32_t Share,
                     std::uint64_t Target, const limit_demand &Demand);
  void armTimer(entry &Entry, std::uint32_t Share);
  void startLimiter(std::uint32_t Share);
  void handOver();
  void changeLimit();
  void freeze();

  limit_scenario Scenario;
  std::mt19937_64 Random;
  std::priority_queue<event> Events;
  std::uint64_t LastEvent = 0;
  seconds Now = 0;
  std::vector<entry> Entries;
  std::discrete_distribution<std::size_t> EntryChoice;
  std::array<limiter, LimitShares> Limiters;
  operation_limit Limit;
  std::uint64_t LastTicket = 0;
  std::uint64_t LastStart = 0;
  std::map<std::uint64_t, seconds> Started;
  limit_history History;
};

/// A bound on the operations that start within a window of 5 s:
/// Factor * (rate * (5 + ExtraSeconds) + burst) + Extra
/// + PerHandover * (handovers in the window and ExtraSeconds before it).
struct limit_bound {
  double Factor = 1;
  double ExtraSeconds = 0;
  double Extra = 0;
  double PerHandover = 0;
};

/// Invariant 4 of organisations and limits.
constexpr limit_bound LimitInvariant{1.1, 0, 20, 0};

/// Returns the largest excess of started operations over a bound in any sliding
/// window: not positive if the bound was kept.
double largestExcess(const limit_history &History, const limit_bound &Bound);

} // namespace teasellock
