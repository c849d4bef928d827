#include "bench/report.h"
#include "core/error.h"

#include <algorithm>
#include <iostream>

namespace teasellock::bench {

namespace {

double milliseconds(duration Span) {
  return static_cast<double>(Span.count()) / 1000.0;
}

double perSecond(std::uint64_t Count, duration Elapsed) {
  double Seconds = static_cast<double>(Elapsed.count()) / 1e6;
  return Seconds > 0 ? static_cast<double>(Count) / Seconds : 0;
}

} // namespace

void class_statistics::observe(duration Span) {
  Latency.observe(Span);
  MaxLatency = std::max(MaxLatency, Span);
}

csv_output::csv_output(const std::string &File) {
  if (File.empty())
    return;
  Out.open(File);
  if (!Out)
    throw error("csv.open", File, "cannot be written");
  Out << "phase,second,class,statements,p50_ms,p95_ms,p99_ms,max_ms,errors\n";
}

void csv_output::write(const std::string &Phase, std::int64_t Second,
                       const run_statistics &Statistics) {
  if (!Out.is_open())
    return;
  std::uint64_t Errors = 0;
  for (const auto &[SqlState, Count] : Statistics.ErrorsBySqlState)
    Errors += Count;
  for (const auto &[Class, ClassStatistics] : Statistics.Classes)
    Out << Phase << ',' << Second << ',' << Class << ','
        << ClassStatistics.Latency.count() << ','
        << milliseconds(ClassStatistics.Latency.quantile(0.5)) << ','
        << milliseconds(ClassStatistics.Latency.quantile(0.95)) << ','
        << milliseconds(ClassStatistics.Latency.quantile(0.99)) << ','
        << milliseconds(ClassStatistics.MaxLatency) << ',' << Errors << '\n';
  Out.flush();
}

void printStatistics(const std::string &Prefix,
                     const run_statistics &Statistics) {
  auto Line = [&Prefix](const std::string &Key, const auto &Value) {
    std::cout << Prefix << Key << '=' << Value << '\n';
  };
  Line("statements", Statistics.Succeeded);
  Line("statements_per_second",
       perSecond(Statistics.Succeeded, Statistics.Elapsed));
  for (const auto &[Class, ClassStatistics] : Statistics.Classes) {
    Line(Class + "_count", ClassStatistics.Latency.count());
    Line(Class + "_p50_ms",
         milliseconds(ClassStatistics.Latency.quantile(0.5)));
    Line(Class + "_p95_ms",
         milliseconds(ClassStatistics.Latency.quantile(0.95)));
    Line(Class + "_p99_ms",
         milliseconds(ClassStatistics.Latency.quantile(0.99)));
    Line(Class + "_max_ms", milliseconds(ClassStatistics.MaxLatency));
  }
  Line("writes_acknowledged", Statistics.Acknowledged);
  Line("writes_not_run", Statistics.NotExecuted);
  Line("writes_unknown", Statistics.Unknown);
  Line("unknown_bookings_that_ran", Statistics.UnknownExecuted);
  Line("sessions_unverified", Statistics.UnverifiedSessions);
  Line("reconnects", Statistics.Reconnects);
  Line("roams", Statistics.Roams);
  Line("connect_failures", Statistics.ConnectFailures);
  for (const auto &[SqlState, Count] : Statistics.ErrorsBySqlState)
    Line("errors_" + SqlState, Count);
  for (violation Violation : {violation::StaleRead, violation::UnexpectedRow,
                              violation::DuplicateWrite, violation::LostWrite,
                              violation::RejectedWriteStored}) {
    auto Found = Statistics.Violations.find(Violation);
    Line("violations_" + violationName(Violation),
         Found == Statistics.Violations.end() ? 0 : Found->second);
  }
  std::cout.flush();
}

std::uint64_t violationCount(const run_statistics &Statistics) {
  std::uint64_t Sum = 0;
  for (const auto &[Violation, Count] : Statistics.Violations)
    Sum += Count;
  return Sum;
}

} // namespace teasellock::bench
