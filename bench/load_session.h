#pragma once

#include "bench/gap_tracker.h"
#include "bench/load_phase.h"
#include "bench/report.h"
#include "bench/sql_client.h"

#include <optional>
#include <random>

namespace teasellock::bench {

/// What all sessions of a phase share.
struct phase_context {
  event_loop &Loop;
  timer_service &Timers;
  const phase_settings &Settings;
  run_figures Total;
  run_figures Second; // since the last line of the CSV file
  bool Paused = false;
  bool Stopping = false;
};

/// One user session: connects, sends one statement after the other, moves to
/// other targets and checks what it reads.
class load_session {
public:
  load_session(phase_context &Context, std::string Name, std::string Group,
               std::size_t Target, std::uint32_t Seed);

  /// Makes the session move to another target again and again.
  void roam() { Roaming = true; }

  /// Makes the session book at a steady pace and track gaps.
  void watchGap(gap_tracker Tracker);

  /// Starts; Stopped is called when the phase is stopping and no statement is
  /// in flight.
  void start(std::function<void()> Stopped);

  /// Reads all writes back and checks them.
  void verify(std::function<void()> Verified);

  const std::string &group() const { return Group; }
  const std::optional<gap_tracker> &gap() const { return Gap; }

private:
  void connect();
  void connectFailed(time_point Began, const std::string &Reason);
  void connected();
  void makeCounter();
  void next();
  void send();
  void answered(const planned_statement &Statement, time_point Began,
                const answer &Answer);
  void writeEnded(const planned_statement &Statement, time_point Began,
                  const answer &Answer);
  void countWrite(write_outcome Outcome);
  void moveOn();
  void countError(const std::string &Name);
  void countViolation(violation Violation);
  void later(duration Span, void (load_session::*Step)());
  void readBack();
  void readBackFailed();
  void compare(const std::vector<std::vector<std::string>> &Rows,
               std::int64_t Counter);

  phase_context &Context;
  std::string Group;
  std::size_t Target;
  std::mt19937 Random;
  workload_mix Mix;
  sql_client Client;
  session_ledger Ledger;
  std::string Token;
  std::optional<gap_tracker> Gap;
  duration Pace{};
  duration Timeout{};
  bool Roaming = false;
  bool CounterMade = false;
  int SinceMove = 0;
  time_point LastSent;
  int VerifyAttempts = 0;
  bool Verifying = false;
  timer_subscription Timer;
  std::function<void()> Finished;
};

} // namespace teasellock::bench
