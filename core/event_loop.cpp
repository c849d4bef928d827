#include "core/event_loop.h"

#include "core/guarded_call.h"

#include <csignal>
#include <deque>
#include <ev.h>
#include <iterator>
#include <list>
#include <mutex>

namespace teasellock {

struct descriptor_watch::state {
  ev_io Watcher = {};
  struct ev_loop *Loop = nullptr;
  // Shared so that the callback stays valid while it runs, even if it
  // destroys its own watch.
  std::shared_ptr<std::function<void(readiness)>> Callback;
};

namespace {

int toEventMask(readiness Interest) {
  return (Interest.Readable ? EV_READ : 0) | (Interest.Writable ? EV_WRITE : 0);
}

} // namespace

descriptor_watch::descriptor_watch(struct ev_loop *Loop, int Descriptor,
                                   readiness Interest,
                                   std::function<void(readiness)> Callback)
    : State(std::make_unique<state>()) {
  State->Loop = Loop;
  State->Callback =
      std::make_shared<std::function<void(readiness)>>(std::move(Callback));
  ev_io_init(
      &State->Watcher,
      [](struct ev_loop *, ev_io *Watcher, int Events) {
        auto Callback = static_cast<state *>(Watcher->data)->Callback;
        readiness Ready;
        Ready.Readable = (Events & EV_READ) != 0;
        Ready.Writable = (Events & EV_WRITE) != 0;
        callGuarded("descriptor", [&] { (*Callback)(Ready); });
      },
      Descriptor, toEventMask(Interest));
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

void descriptor_watch::setInterest(readiness Interest) {
  int Events = toEventMask(Interest);
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
  ev_async WakeupWatcher = {};
  ev_prepare PrepareWatcher = {};
  ev_idle QueuedTasksIdle = {};
  std::deque<std::function<void()>> Tasks;
  std::mutex ThreadTasksMutex;
  std::deque<std::function<void()>> ThreadTasks;
  std::list<signal_watch> SignalWatches;

  void runTasks();
  void dropTasks();
};

void event_loop::state::runTasks() {
  {
    std::lock_guard Lock(ThreadTasksMutex);
    while (!ThreadTasks.empty()) {
      Tasks.push_back(std::move(ThreadTasks.front()));
      ThreadTasks.pop_front();
    }
  }
  // Tasks posted by these tasks run in the next iteration, after socket
  // events.
  std::deque<std::function<void()>> Current;
  Current.swap(Tasks);
  for (auto &Task : Current)
    callGuarded("task", Task);
  if (Tasks.empty())
    ev_idle_stop(Loop, &QueuedTasksIdle);
}

/// Destroys the queued tasks. What they own may post further ones.
void event_loop::state::dropTasks() {
  for (;;) {
    std::deque<std::function<void()>> Dropped;
    {
      std::lock_guard Lock(ThreadTasksMutex);
      Dropped.swap(ThreadTasks);
    }
    Dropped.insert(Dropped.end(), std::make_move_iterator(Tasks.begin()),
                   std::make_move_iterator(Tasks.end()));
    Tasks.clear();
    if (Dropped.empty())
      return;
  }
}

event_loop::event_loop() : State(std::make_unique<state>()) {
  State->Loop = ev_loop_new(EVFLAG_AUTO);
  State->WakeupWatcher.data = State.get();
  State->PrepareWatcher.data = State.get();
  ev_async_init(&State->WakeupWatcher,
                [](struct ev_loop *, ev_async *Watcher, int) {
                  static_cast<state *>(Watcher->data)->runTasks();
                });
  ev_prepare_init(&State->PrepareWatcher,
                  [](struct ev_loop *, ev_prepare *Watcher, int) {
                    static_cast<state *>(Watcher->data)->runTasks();
                  });
  ev_idle_init(&State->QueuedTasksIdle,
               [](struct ev_loop *, ev_idle *, int) {});
  ev_async_start(State->Loop, &State->WakeupWatcher);
  ev_prepare_start(State->Loop, &State->PrepareWatcher);
}

event_loop::~event_loop() {
  // A queued task may own a connection, whose watch must end before the loop.
  State->dropTasks();
  for (auto &Signal : State->SignalWatches)
    ev_signal_stop(State->Loop, &Signal.Watcher);
  ev_idle_stop(State->Loop, &State->QueuedTasksIdle);
  ev_prepare_stop(State->Loop, &State->PrepareWatcher);
  ev_async_stop(State->Loop, &State->WakeupWatcher);
  ev_loop_destroy(State->Loop);
}

void event_loop::run() { ev_run(State->Loop, 0); }

void event_loop::runOnce() { ev_run(State->Loop, EVRUN_ONCE); }

void event_loop::stop() { ev_break(State->Loop, EVBREAK_ALL); }

descriptor_watch event_loop::watch(int Descriptor, readiness Interest,
                                   std::function<void(readiness)> Callback) {
  return descriptor_watch(State->Loop, Descriptor, Interest,
                          std::move(Callback));
}

void event_loop::onSignal(int Signal, std::function<void()> Callback) {
  auto &Watch = State->SignalWatches.emplace_back();
  Watch.Callback = std::move(Callback);
  Watch.Watcher.data = &Watch;
  ev_signal_init(
      &Watch.Watcher,
      [](struct ev_loop *, ev_signal *Watcher, int) {
        auto *Watch = static_cast<state::signal_watch *>(Watcher->data);
        callGuarded("signal", Watch->Callback);
      },
      Signal);
  ev_signal_start(State->Loop, &Watch.Watcher);
  // libev leaves the mask as it is.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, Signal);
  pthread_sigmask(SIG_UNBLOCK, &Signals, nullptr);
}

void event_loop::post(std::function<void()> Task) {
  State->Tasks.push_back(std::move(Task));
  // An active idle watcher keeps the loop from blocking while tasks are
  // queued.
  ev_idle_start(State->Loop, &State->QueuedTasksIdle);
}

void event_loop::postFromThread(std::function<void()> Task) {
  {
    std::lock_guard Lock(State->ThreadTasksMutex);
    State->ThreadTasks.push_back(std::move(Task));
  }
  ev_async_send(State->Loop, &State->WakeupWatcher);
}

struct ev_loop *event_loop::libevLoop() {
  return State->Loop;
}

} // namespace teasellock
