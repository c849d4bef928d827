#include "core/event_loop.h"

#include <deque>
#include <ev.h>
#include <list>
#include <mutex>

namespace teasellock {

struct descriptor_watch::state {
  ev_io Watcher = {};
  struct ev_loop *Loop = nullptr;
  // Shared so that the callback survives its own watch being destroyed.
  std::shared_ptr<std::function<void(readiness)>> Callback;
};

namespace {

int toEvents(readiness Wanted) {
  return (Wanted.Readable ? EV_READ : 0) | (Wanted.Writable ? EV_WRITE : 0);
}

} // namespace

descriptor_watch::descriptor_watch(struct ev_loop *Loop, int Descriptor,
                                   readiness Wanted,
                                   std::function<void(readiness)> Callback)
    : State(std::make_unique<state>()) {
  State->Loop = Loop;
  State->Callback =
      std::make_shared<std::function<void(readiness)>>(std::move(Callback));
  ev_io_init(
      &State->Watcher,
      [](struct ev_loop *, ev_io *Watcher, int Events) {
        auto Callback = static_cast<state *>(Watcher->data)->Callback;
        (*Callback)({(Events & EV_READ) != 0, (Events & EV_WRITE) != 0});
      },
      Descriptor, toEvents(Wanted));
  State->Watcher.data = State.get();
  ev_io_start(Loop, &State->Watcher);
}

descriptor_watch::descriptor_watch() = default;

descriptor_watch::descriptor_watch(descriptor_watch &&) noexcept = default;

descriptor_watch &
descriptor_watch::operator=(descriptor_watch &&Other) noexcept {
  if (State)
    ev_io_stop(State->Loop, &State->Watcher);
  State = std::move(Other.State);
  return *this;
}

descriptor_watch::~descriptor_watch() {
  if (State)
    ev_io_stop(State->Loop, &State->Watcher);
}

void descriptor_watch::want(readiness Wanted) {
  int Events = toEvents(Wanted);
  if ((State->Watcher.events & (EV_READ | EV_WRITE)) == Events)
    return;
  ev_io_stop(State->Loop, &State->Watcher);
  ev_io_set(&State->Watcher, State->Watcher.fd, Events);
  ev_io_start(State->Loop, &State->Watcher);
}

struct event_loop::state {
  struct signal_watch {
    ev_signal Watcher = {};
    std::function<void()> Callback;
  };

  struct ev_loop *Loop = nullptr;
  ev_async Wakeup = {};
  ev_prepare BeforeWait = {};
  ev_idle Pending = {};
  std::deque<std::function<void()>> Tasks;
  std::mutex ThreadLock;
  std::deque<std::function<void()>> ThreadTasks;
  std::list<signal_watch> Signals;

  void runTasks();
};

void event_loop::state::runTasks() {
  {
    std::lock_guard Guard(ThreadLock);
    while (!ThreadTasks.empty()) {
      Tasks.push_back(std::move(ThreadTasks.front()));
      ThreadTasks.pop_front();
    }
  }
  // Tasks posted by these tasks run in the next turn, after sockets.
  std::deque<std::function<void()>> Current;
  Current.swap(Tasks);
  for (auto &Task : Current)
    Task();
  if (Tasks.empty())
    ev_idle_stop(Loop, &Pending);
}

event_loop::event_loop() : State(std::make_unique<state>()) {
  State->Loop = ev_loop_new(EVFLAG_AUTO);
  State->Wakeup.data = State.get();
  State->BeforeWait.data = State.get();
  ev_async_init(&State->Wakeup, [](struct ev_loop *, ev_async *Watcher, int) {
    static_cast<state *>(Watcher->data)->runTasks();
  });
  ev_prepare_init(&State->BeforeWait,
                  [](struct ev_loop *, ev_prepare *Watcher, int) {
                    static_cast<state *>(Watcher->data)->runTasks();
                  });
  ev_idle_init(&State->Pending, [](struct ev_loop *, ev_idle *, int) {});
  ev_async_start(State->Loop, &State->Wakeup);
  ev_prepare_start(State->Loop, &State->BeforeWait);
}

event_loop::~event_loop() {
  for (auto &Signal : State->Signals)
    ev_signal_stop(State->Loop, &Signal.Watcher);
  ev_idle_stop(State->Loop, &State->Pending);
  ev_prepare_stop(State->Loop, &State->BeforeWait);
  ev_async_stop(State->Loop, &State->Wakeup);
  ev_loop_destroy(State->Loop);
}

void event_loop::run() { ev_run(State->Loop, 0); }

void event_loop::runOnce() { ev_run(State->Loop, EVRUN_ONCE); }

void event_loop::stop() { ev_break(State->Loop, EVBREAK_ALL); }

descriptor_watch event_loop::watch(int Descriptor, readiness Wanted,
                                   std::function<void(readiness)> Callback) {
  return descriptor_watch(State->Loop, Descriptor, Wanted, std::move(Callback));
}

void event_loop::onSignal(int Signal, std::function<void()> Callback) {
  auto &Watch = State->Signals.emplace_back();
  Watch.Callback = std::move(Callback);
  Watch.Watcher.data = &Watch;
  ev_signal_init(
      &Watch.Watcher,
      [](struct ev_loop *, ev_signal *Watcher, int) {
        static_cast<state::signal_watch *>(Watcher->data)->Callback();
      },
      Signal);
  ev_signal_start(State->Loop, &Watch.Watcher);
}

void event_loop::post(std::function<void()> Task) {
  State->Tasks.push_back(std::move(Task));
  // An idle watcher keeps the loop from sleeping while tasks are queued.
  ev_idle_start(State->Loop, &State->Pending);
}

void event_loop::postFromThread(std::function<void()> Task) {
  {
    std::lock_guard Guard(State->ThreadLock);
    State->ThreadTasks.push_back(std::move(Task));
  }
  ev_async_send(State->Loop, &State->Wakeup);
}

struct ev_loop *event_loop::handle() {
  return State->Loop;
}

} // namespace teasellock
