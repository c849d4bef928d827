#pragma once

#include <functional>
#include <memory>

struct ev_loop;

namespace teasellock {

/// Whether a file descriptor is, or is to be watched until it is, readable or
/// writable.
struct readiness {
  bool Readable = false;
  bool Writable = false;
};

/// Watches one file descriptor for readiness until the object is destroyed. It
/// may be destroyed inside its own callback. Does not own the descriptor.
class descriptor_watch {
public:
  descriptor_watch();
  descriptor_watch(struct ev_loop *Loop, int Descriptor, readiness Interest,
                   std::function<void(readiness)> Callback);
  descriptor_watch(descriptor_watch &&) noexcept;
  descriptor_watch &operator=(descriptor_watch &&) noexcept;
  ~descriptor_watch();

  /// Changes which kinds of readiness are reported.
  void setInterest(readiness Interest);

private:
  struct state;
  std::unique_ptr<state> State;
};

/// The event loop of the process, based on libev. All tasks run on its thread.
/// Exceptions of callbacks are logged; see guarded_call.h.
///
/// Watches, timers and all that owns one must be destroyed before the loop.
/// Only queued tasks may own such objects longer: the destructor destroys the
/// queued tasks without running them, and those that are posted meanwhile,
/// before it ends the loop. No other thread may post any more by then.
class event_loop {
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  /// Runs until stop() is called.
  void run();

  /// Runs one iteration: waits until at least one event is ready and handles
  /// the ready ones. For tests.
  void runOnce();

  /// Makes run() return after the current callback.
  void stop();

  /// Calls Callback whenever the descriptor becomes ready, until the returned
  /// watch is destroyed.
  descriptor_watch watch(int Descriptor, readiness Interest,
                         std::function<void(readiness)> Callback);

  /// Calls Callback on each delivery of a signal, until the loop is destroyed.
  /// Unblocks the signal in the calling thread, so that one that is pending is
  /// delivered.
  void onSignal(int Signal, std::function<void()> Callback);

  /// Queues Task to run after the current callback has returned. Must be
  /// called on the loop's thread.
  void post(std::function<void()> Task);

  /// Like post(), but may be called from any thread. For results of worker
  /// threads.
  void postFromThread(std::function<void()> Task);

  /// The libev loop, for libraries that register their own watchers.
  struct ev_loop *libevLoop();

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
