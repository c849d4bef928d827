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

void class_figures::observe(duration Span) {
  Latency.observe(Span);
  Longest = std::max(Longest, Span);
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
                       const run_figures &Figures) {
  if (!Out.is_open())
    return;
  std::uint64_t Errors = 0;
  for (const auto &[SqlState, Count] : Figures.ErrorsBySqlState)
    Errors += Count;
  for (const auto &[Class, Figure] : Figures.Classes)
    Out << Phase << ',' << Second << ',' << Class << ','
        << Figure.Latency.count() << ','
        << milliseconds(Figure.Latency.quantile(0.5)) << ','
        << milliseconds(Figure.Latency.quantile(0.95)) << ','
        << milliseconds(Figure.Latency.quantile(0.99)) << ','
        << milliseconds(Figure.Longest) << ',' << Errors << '\n';
  Out.flush();
}

void printFigures(const std::string &Prefix, const run_figures &Figures) {
  auto Line = [&Prefix](const std::string &Key, const auto &Value) {
    std::cout << Prefix << Key << '=' << Value << '\n';
  };
  Line("statements", Figures.Answered);
  Line("statements_per_second", perSecond(Figures.Answered, Figures.Elapsed));
  for (const auto &[Class, Figure] : Figures.Classes) {
    Line(Class + "_count", Figure.Latency.count());
    Line(Class + "_p50_ms", milliseconds(Figure.Latency.quantile(0.5)));
    Line(Class + "_p95_ms", milliseconds(Figure.Latency.quantile(0.95)));
    Line(Class + "_p99_ms", milliseconds(Figure.Latency.quantile(0.99)));
    Line(Class + "_max_ms", milliseconds(Figure.Longest));
  }
  Line("writes_acknowledged", Figures.Acknowledged);
  Line("writes_not_run", Figures.NotRun);
  Line("writes_unknown", Figures.Unknown);
  Line("unknown_bookings_that_ran", Figures.UnknownRan);
  Line("sessions_unverified", Figures.Unverified);
  Line("reconnects", Figures.Reconnects);
  Line("roams", Figures.Roams);
  Line("connect_failures", Figures.ConnectFailures);
  for (const auto &[SqlState, Count] : Figures.ErrorsBySqlState)
    Line("errors_" + SqlState, Count);
  for (violation Violation :
       {violation::StaleRead, violation::ForeignAnswer, violation::DoubledWrite,
        violation::LostWrite, violation::NotRunRan}) {
    auto Found = Figures.Violations.find(Violation);
    Line("violations_" + violationName(Violation),
         Found == Figures.Violations.end() ? 0 : Found->second);
  }
  std::cout.flush();
}

std::uint64_t violationCount(const run_figures &Figures) {
  std::uint64_t Sum = 0;
  for (const auto &[Violation, Count] : Figures.Violations)
    Sum += Count;
  return Sum;
}

} // namespace teasellock::bench
