#pragma once

#include "bench/gap_tracker.h"
#include "bench/load_phase.h"
#include "bench/report.h"
#include "bench/sql_client.h"

#include <optional>
#include <random>

namespace teasellock::bench {

/// State shared by all sessions of a phase.
struct phase_context {
  event_loop &Loop;
  timer_service &Timers;
  const phase_settings &Settings;
  run_statistics Total;
  run_statistics CurrentSecond; // since the last write to the CSV file
  bool IsPaused = false;
  bool IsStopping = false;
};

/// One user session: connects, sends statements one at a time, switches targets
/// and checks the results of its reads.
class load_session {
public:
  load_session(phase_context &Context, std::string Name, std::string Group,
               std::size_t Target, std::uint32_t Seed);

  /// Makes the session switch to another target periodically.
  void enableRoaming() { IsRoaming = true; }

  /// Makes the session write bookings at a fixed rate and track write gaps.
  void enableGapTracking(gap_tracker Tracker);

  /// Starts the session. Stopped is called when the phase is stopping and no
  /// statement is in flight.
  void start(std::function<void()> Stopped);

  /// Reads back and verifies all writes, then calls Verified.
  void verify(std::function<void()> Verified);

  const std::string &group() const { return Group; }
  const std::optional<gap_tracker> &gapTracker() const { return GapTracker; }

private:
  void connect();
  void handleConnectFailure(time_point StartedAt, const std::string &Reason);
  void handleConnected();
  void createCounter();
  void continueSending();
  void sendStatement();
  void handleResult(const planned_statement &Statement, time_point StartedAt,
                    const query_result &QueryResult);
  void handleWriteResult(const planned_statement &Statement,
                         time_point StartedAt, const query_result &QueryResult);
  void countWrite(write_outcome Outcome);
  void reconnectToNextTarget();
  void countError(const std::string &Name);
  void countViolation(violation Violation);
  void runAfter(duration Span, void (load_session::*Step)());
  void readStoredWrites();
  void handleVerifyFailure();
  void compareStoredWrites(const std::vector<std::vector<std::string>> &Rows,
                           std::int64_t Counter);

  phase_context &Context;
  std::string Group;
  std::size_t Target;
  std::mt19937 Random;
  workload_mix Mix;
  sql_client Client;
  session_ledger Ledger;
  std::string Token;
  std::optional<gap_tracker> GapTracker;
  duration WriteInterval{};
  duration Timeout{};
  bool IsRoaming = false;
  bool HasCounter = false;
  int StatementsSinceMove = 0;
  time_point LastSent;
  int VerifyAttempts = 0;
  bool IsVerifying = false;
  timer_subscription Timer;
  std::function<void()> OnFinished;
};

} // namespace teasellock::bench
