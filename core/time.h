#pragma once

#include <chrono>
#include <cstdint>

namespace teasellock {

/// A span of time in microseconds.
using duration = std::chrono::microseconds;

/// The process's monotonic clock. Its points are never sent to another VM.
struct monotonic_clock {
  using duration = teasellock::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<monotonic_clock>;
  static constexpr bool is_steady = true;

  /// Reads CLOCK_MONOTONIC.
  static time_point now() {
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }
};

/// A point on the monotonic clock of this process.
using time_point = monotonic_clock::time_point;

/// Whole milliseconds of a span, rounded down.
constexpr std::int64_t toMilliseconds(duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

/// A span of so many milliseconds.
constexpr duration fromMilliseconds(std::int64_t Milliseconds) {
  return std::chrono::milliseconds(Milliseconds);
}

} // namespace teasellock
