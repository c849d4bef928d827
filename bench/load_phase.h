#pragma once

#include "bench/gap_tracker.h"
#include "bench/report.h"
#include "core/endpoint.h"
#include "core/timer_service.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace teasellock::bench {

/// What one phase of load is made of.
struct phase_settings {
  std::string Name; // prefix of its sessions
  std::vector<endpoint> Targets;
  std::vector<std::string> Groups;
  int Connections = 0;
  duration Length{};
  workload_mix Mix;
  /// Share of sessions that move to another target again and again.
  double RoamShare = 0;
  duration StatementTimeout{};
  std::uint32_t Seed = 1;
  /// When all sessions stop sending, and for how long; zero: never.
  duration PauseAt{};
  duration PauseLength{};
  /// One more session for each group that only books, to find gaps.
  bool WatchGap = false;
  duration GapPace{};
  duration GapAttempt{};
  duration GapLateAfter{};
  duration GapCountedAfter{};
};

/// Runs sessions against the targets for a while, then reads all their writes
/// back and checks them.
class load_phase {
public:
  load_phase(event_loop &Loop, timer_service &Timers, phase_settings Settings,
             csv_output &Csv);
  ~load_phase();

  /// Runs the phase; Done is called when the writes have been checked.
  void run(std::function<void()> Done);

  const run_figures &figures() const;

  /// Groups with their longest gap.
  std::vector<std::pair<std::string, duration>> gaps() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock::bench
