#pragma once

#include "bench/load_phase.h"

#include <CLI/CLI.hpp>
#include <optional>

namespace teasellock::bench {

/// Parsed settings of the benchmark.
struct bench_settings {
  phase_settings Phase;
  /// An upstream to load directly before the phase, for comparison.
  std::optional<endpoint> Direct;
  int DirectConnections = 8;
  std::vector<endpoint> Metrics;
  std::size_t Idle = 0;
  std::int64_t EntryPid = 0;
  std::string Csv;
};

/// Values of the command-line flags. Endpoints and durations are unparsed.
struct bench_flags {
  std::vector<std::string> Targets, Groups, ReadKinds, Metrics;
  std::string Direct, Csv;
  int Connections = 16;
  int DirectConnections = 8;
  double Seconds = 10, PauseAt = 0, PauseSeconds = 1;
  double WriteShare = 0.2, ChargeShare = 0.2, RoamShare = 0;
  std::int64_t TimeoutMs = 10000;
  std::int64_t GapPaceMs = 10, GapAttemptMs = 500, GapLateMs = 250;
  std::int64_t GapAfterMs = 0, EntryPid = 0;
  std::size_t Idle = 0;
  std::uint32_t Seed = 1;
  bool WatchGap = false;
};

/// Declares all flags on the application.
void declareFlags(CLI::App &App, bench_flags &Flags);

/// Validates the flags and converts them to settings. Throws error.
bench_settings toSettings(const bench_flags &Flags);

} // namespace teasellock::bench
