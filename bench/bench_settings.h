#pragma once

#include "bench/load_phase.h"

#include <CLI/CLI.hpp>
#include <optional>

namespace teasellock::bench {

/// What the tool is told on its command line.
struct bench_settings {
  phase_settings Phase;
  /// An upstream to load without the system in between, before the phase.
  std::optional<endpoint> Direct;
  int DirectConnections = 8;
  std::vector<endpoint> Metrics;
  std::size_t Idle = 0;
  std::int64_t EntryPid = 0;
  std::string Csv;
};

/// The flags as they are written.
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

/// Declares all flags.
void declareFlags(CLI::App &App, bench_flags &Flags);

/// Checks the flags. Throws error.
bench_settings toSettings(const bench_flags &Flags);

} // namespace teasellock::bench
