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

/// Configuration of one load phase.
struct phase_settings {
  std::string Name; // prefix of the session names
  std::vector<endpoint> Targets;
  std::vector<std::string> Groups;
  int Connections = 0;
  duration Duration{};
  workload_mix Mix;
  /// Share of sessions, 0 to 1, that switch to another target periodically.
  double RoamShare = 0;
  duration StatementTimeout{};
  std::uint32_t Seed = 1;
  /// When all sessions pause, and for how long; a zero PauseAt disables it.
  duration PauseAt{};
  duration PauseDuration{};
  /// Whether each group gets an additional session that only writes bookings,
  /// to measure write gaps.
  bool TrackGaps = false;
  /// Of the gap session: interval and timeout of its writes, the time after
  /// which a write opens a gap, and the time from the start of the phase after
  /// which gaps count.
  duration GapWriteInterval{};
  duration GapWriteTimeout{};
  duration GapLateThreshold{};
  duration GapCountingDelay{};
};

/// Runs sessions against the targets for a fixed time, then reads back and
/// verifies all their writes.
class load_phase {
public:
  load_phase(event_loop &Loop, timer_service &Timers, phase_settings Settings,
             csv_output &Csv);
  ~load_phase();

  /// Runs the phase. Done is called when the writes have been verified.
  void run(std::function<void()> Done);

  const run_statistics &statistics() const;

  /// Returns the longest write gap of each tracked group.
  std::vector<std::pair<std::string, duration>> longestGaps() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock::bench
