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

/// Returns how many statements may be in flight, at least one.
std::uint32_t limitInForce(const in_flight_limit &Limit,
                           std::uint32_t FixedLimit);

} // namespace teasellock
