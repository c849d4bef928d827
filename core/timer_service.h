#pragma once

#include "core/event_loop.h"
#include "core/time.h"

#include <functional>
#include <memory>

namespace teasellock {

/// A timer registered with the timer service. It is cancelled when the object
/// is destroyed, which may happen inside its own callback.
class timer_subscription {
public:
  timer_subscription();
  timer_subscription(timer_subscription &&) noexcept;
  timer_subscription &operator=(timer_subscription &&) noexcept;
  ~timer_subscription();

  /// Reports whether a callback is still scheduled.
  bool isActive() const;

  /// Cancels the timer.
  void cancel();

private:
  friend class timer_service;
  struct state;
  std::unique_ptr<state> State;
};

/// Runs callbacks at given times. It is the only source of time for tasks;
/// functions that make decisions receive the time as a parameter.
class timer_service {
public:
  explicit timer_service(event_loop &Loop);

  /// The current time on the monotonic clock.
  time_point now() const;

  /// Calls Callback once after Delay.
  [[nodiscard]] timer_subscription after(duration Delay,
                                         std::function<void()> Callback);

  /// Calls Callback every Period, first after one Period.
  [[nodiscard]] timer_subscription every(duration Period,
                                         std::function<void()> Callback);

private:
  timer_subscription subscribe(duration InitialDelay, duration Period,
                               std::function<void()> Callback);

  event_loop &Loop;
};

} // namespace teasellock
