#include "core/timer_service.h"

#include "core/guarded_call.h"

#include <ev.h>

namespace teasellock {

struct timer_subscription::state {
  ev_timer Watcher = {};
  struct ev_loop *Loop = nullptr;
  std::shared_ptr<std::function<void()>> Callback;
};

timer_subscription::timer_subscription() = default;

timer_subscription::timer_subscription(timer_subscription &&) noexcept =
    default;

timer_subscription &
timer_subscription::operator=(timer_subscription &&Other) noexcept {
  cancel();
  State = std::move(Other.State);
  return *this;
}

timer_subscription::~timer_subscription() { cancel(); }

bool timer_subscription::isActive() const {
  return State && ev_is_active(&State->Watcher);
}

void timer_subscription::cancel() {
  if (!State)
    return;
  ev_timer_stop(State->Loop, &State->Watcher);
  State.reset();
}

timer_service::timer_service(event_loop &Loop) : Loop(Loop) {}

time_point timer_service::now() const { return monotonic_clock::now(); }

timer_subscription timer_service::after(duration Delay,
                                        std::function<void()> Callback) {
  return subscribe(Delay, duration::zero(), std::move(Callback));
}

timer_subscription timer_service::every(duration Period,
                                        std::function<void()> Callback) {
  return subscribe(Period, Period, std::move(Callback));
}

timer_subscription timer_service::subscribe(duration InitialDelay,
                                            duration Period,
                                            std::function<void()> Callback) {
  using seconds = std::chrono::duration<double>;
  timer_subscription Result;
  Result.State = std::make_unique<timer_subscription::state>();
  auto &State = *Result.State;
  State.Loop = Loop.libevLoop();
  State.Callback = std::make_shared<std::function<void()>>(std::move(Callback));
  State.Watcher.data = &State;
  // libev starts timers relative to the loop's cached time, which is out of
  // date after a long callback.
  ev_now_update(State.Loop);
  ev_timer_init(
      &State.Watcher,
      [](struct ev_loop *, ev_timer *Watcher, int) {
        auto Callback =
            static_cast<timer_subscription::state *>(Watcher->data)->Callback;
        callGuarded("timer", *Callback);
      },
      seconds(InitialDelay).count(), seconds(Period).count());
  ev_timer_start(State.Loop, &State.Watcher);
  return Result;
}

} // namespace teasellock
