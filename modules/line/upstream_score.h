/// How reliable an upstream's answers to this gateway have been.
///
/// Designed against upstreams that fail part of their statements, reset
/// connections or alternate between down and up: probes succeed at them most of
/// the time. The score follows from this gateway's own statements and is not
/// reported, because a bad network path of one gateway says nothing about the
/// upstream.
#pragma once

#include "core/time.h"

namespace teasellock {

/// The score of one upstream.
struct upstream_score {
  /// Share of failures, from 0 to 1, at UpdatedAt.
  double FailureShare = 0;
  time_point UpdatedAt;
};

/// What a statement, connection or probe has shown.
enum class upstream_evidence {
  /// An answer other than those below.
  Answered,
  /// The statement failed, or has no answer for much longer than usual.
  Failed,
  /// The connection was reset, or the upstream became unreachable.
  ConnectionLost,
};

void recordEvidence(upstream_score &Score, upstream_evidence Evidence,
                    time_point Now);

/// Returns the factor, at least 1, by which the upstream's expected latency is
/// multiplied when upstreams are compared. It returns to 1 with time, so that
/// the upstream is tried again, by few reads at first.
double costFactor(const upstream_score &Score, time_point Now);

} // namespace teasellock
