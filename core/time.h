#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace teasellock {

/// A duration in microseconds.
using duration = std::chrono::microseconds;

/// The monotonic clock of the process. It includes the time during which the VM
/// was suspended, so that leases and deadlines expire meanwhile. Its time
/// points are meaningless on other VMs and are never sent to them.
struct monotonic_clock {
  using duration = teasellock::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<monotonic_clock>;
  static constexpr bool is_steady = true;

  /// Reads CLOCK_BOOTTIME.
  static time_point now() {
    timespec Time = {};
    ::clock_gettime(CLOCK_BOOTTIME, &Time);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(Time.tv_sec) +
        std::chrono::nanoseconds(Time.tv_nsec)));
  }
};

/// A point on the monotonic clock of this process.
using time_point = monotonic_clock::time_point;

/// Converts a duration to whole milliseconds, rounded towards zero.
constexpr std::int64_t toMilliseconds(duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

/// Converts milliseconds to a duration.
constexpr duration fromMilliseconds(std::int64_t Milliseconds) {
  return std::chrono::milliseconds(Milliseconds);
}

} // namespace teasellock
