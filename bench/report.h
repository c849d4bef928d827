#pragma once

#include "bench/workload.h"
#include "core/metrics.h"

#include <fstream>
#include <map>
#include <string>

namespace teasellock::bench {

/// Latency statistics of one class of statements.
struct class_statistics {
  latency_histogram Latency;
  /// Maximum latency.
  duration MaxLatency{};

  void observe(duration Span);
};

/// Counters and latencies of one phase.
struct run_statistics {
  std::map<std::string, class_statistics> Classes;
  std::map<std::string, std::uint64_t> ErrorsBySqlState;
  std::map<violation, std::uint64_t> Violations;
  std::uint64_t Succeeded = 0;
  std::uint64_t Acknowledged = 0;
  std::uint64_t NotExecuted = 0;
  std::uint64_t Unknown = 0;
  /// Bookings with an unknown outcome that were found to be stored.
  std::uint64_t UnknownExecuted = 0;
  /// Sessions whose writes couldn't be verified.
  std::uint64_t UnverifiedSessions = 0;
  std::uint64_t Reconnects = 0;
  std::uint64_t Roams = 0;
  std::uint64_t ConnectFailures = 0;
  duration Elapsed{};
};

/// Writes per-second statistics to a CSV file.
class csv_output {
public:
  /// An empty name disables the output. Throws error if the file can't be
  /// created.
  explicit csv_output(const std::string &File);

  /// Writes one line per class for the last second.
  void write(const std::string &Phase, std::int64_t Second,
             const run_statistics &Statistics);

private:
  std::ofstream Out;
};

/// Prints the statistics as key=value lines. Prefix distinguishes the phases.
void printStatistics(const std::string &Prefix,
                     const run_statistics &Statistics);

/// Returns the total number of violations.
std::uint64_t violationCount(const run_statistics &Statistics);

} // namespace teasellock::bench
