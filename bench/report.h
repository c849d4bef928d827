#pragma once

#include "bench/workload.h"
#include "core/metrics.h"

#include <fstream>
#include <map>
#include <string>

namespace teasellock::bench {

/// What was measured of one class of statements.
struct class_figures {
  latency_histogram Latency;
  duration Longest{};

  void observe(duration Span);
};

/// Everything that one phase of a run counted.
struct run_figures {
  std::map<std::string, class_figures> Classes;
  std::map<std::string, std::uint64_t> ErrorsBySqlState;
  std::map<violation, std::uint64_t> Violations;
  std::uint64_t Answered = 0;
  std::uint64_t Acknowledged = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  /// Of the unknown bookings those that turned out to have run.
  std::uint64_t UnknownRan = 0;
  /// Sessions whose writes could not be read back.
  std::uint64_t Unverified = 0;
  std::uint64_t Reconnects = 0;
  std::uint64_t Roams = 0;
  std::uint64_t ConnectFailures = 0;
  duration Elapsed{};
};

/// Writes the per-second lines of a run to a CSV file.
class csv_output {
public:
  /// An empty name writes nothing. Throws error if the file can't be made.
  explicit csv_output(const std::string &File);

  /// One line a class for the second that has ended.
  void write(const std::string &Phase, std::int64_t Second,
             const run_figures &Figures);

private:
  std::ofstream Out;
};

/// Prints the figures as key=value lines; Prefix tells the phases apart.
void printFigures(const std::string &Prefix, const run_figures &Figures);

/// The sum of all violations.
std::uint64_t violationCount(const run_figures &Figures);

} // namespace teasellock::bench
