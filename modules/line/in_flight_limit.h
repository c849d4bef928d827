/// The limit of a gateway's statements in flight on an upstream that other
/// gateways use as well.
///
/// A fixed part for each gateway assumes that all of them send as much as they
/// may and that nothing else takes the upstream's slots. When all replicas of a
/// group lag, for example, gateways that otherwise send nothing to the primary
/// send their reads there, and together they fill its queue: it then rejects
/// statements, also those of open transactions. Each gateway therefore lowers
/// its limit by a factor when the upstream rejects statements or its queue is
/// long, and raises it by small steps otherwise. Without such signs the limit
/// is the fixed one.
#pragma once

#include "core/ids.h"
#include "modules/line/admission_control.h"

#include <optional>

namespace teasellock {

/// The adapted limit for one upstream.
struct in_flight_limit {
  /// Zero while the fixed limit applies.
  double Limit = 0;
  /// When it was last reduced.
  time_point ReducedAt;
  /// In [0, 1), different for each gateway, so that the gateways don't change
  /// their limits in step.
  double Phase = 0;
  /// Whether the present reduction has been reported, and when the last one
  /// was.
  bool IsHalvingReported = false;
  std::optional<time_point> HalvingReportedAt;
};

/// Returns the phase of a gateway's VM for an upstream.
double phaseOf(const vm_id &Gateway, const upstream_id &Upstream);

/// Records that the upstream rejected a statement as busy. InFlight is the
/// number of statements in flight, including that one, and FixedLimit the
/// result of maxInFlight().
void recordBusyAnswer(in_flight_limit &Limit, const latency_trend &Trend,
                      std::uint32_t InFlight, std::uint32_t FixedLimit,
                      time_point Now);

/// Records that the upstream executed a statement whose latency is recorded in
/// the trend.
void recordExecuted(in_flight_limit &Limit, const latency_trend &Trend,
                    std::uint32_t InFlight, std::uint32_t FixedLimit,
                    time_point Now);

/// Records that the upstream does not answer any more. The limit falls to one
/// statement, so that a rare attempt shows when it answers again.
void recordUnanswered(in_flight_limit &Limit, time_point Now);

/// Reports whether the limit has fallen to half of the fixed one and this is to
/// be logged: once until the fixed limit applies again, and at most once in
/// 10 s, so that the number of lines is bounded.
bool takeHalvingReport(in_flight_limit &Limit, std::uint32_t FixedLimit,
                       time_point Now);

/// Returns how many statements may be in flight, at least one.
std::uint32_t limitInForce(const in_flight_limit &Limit,
                           std::uint32_t FixedLimit);

} // namespace teasellock
