#pragma once

#include "core/event_loop.h"
#include "core/time.h"

#include <functional>
#include <memory>

namespace teasellock {

/// A subscription to the timer service. It ends with the object's life and may
/// be destroyed inside its own callback.
class timer_subscription {
public:
  timer_subscription();
  timer_subscription(timer_subscription &&) noexcept;
  timer_subscription &operator=(timer_subscription &&) noexcept;
  ~timer_subscription();

  /// Whether a callback is still due.
  bool active() const;

  /// Ends the subscription early.
  void cancel();

private:
  friend class timer_service;
  struct state;
  std::unique_ptr<state> State;
};

/// Calls subscribers back when their time has come. The only source of time
/// for tasks; decisions get the time passed in.
class timer_service {
public:
  explicit timer_service(event_loop &Loop);

  /// The current time of the process.
  time_point now() const;

  /// Calls back once after a span.
  [[nodiscard]] timer_subscription after(duration Span,
                                         std::function<void()> Callback);

  /// Calls back again and again, first after one period.
  [[nodiscard]] timer_subscription every(duration Period,
                                         std::function<void()> Callback);

private:
  timer_subscription subscribe(duration First, duration Period,
                               std::function<void()> Callback);

  event_loop &Loop;
};

} // namespace teasellock
