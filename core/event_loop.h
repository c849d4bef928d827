#pragma once

#include <functional>
#include <memory>

struct ev_loop;

namespace teasellock {

/// Which readiness of a descriptor is wanted or reported.
struct readiness {
  bool Readable = false;
  bool Writable = false;
};

/// One watched descriptor. Watching ends with the object's life; it may be
/// destroyed inside its own callback.
class descriptor_watch {
public:
  descriptor_watch();
  descriptor_watch(struct ev_loop *Loop, int Descriptor, readiness Wanted,
                   std::function<void(readiness)> Callback);
  descriptor_watch(descriptor_watch &&) noexcept;
  descriptor_watch &operator=(descriptor_watch &&) noexcept;
  ~descriptor_watch();

  /// Changes which readiness is reported.
  void want(readiness Wanted);

private:
  struct state;
  std::unique_ptr<state> State;
};

/// The process's libev loop. Every task of the process runs on it.
class event_loop {
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  /// Runs until stop().
  void run();

  /// Handles what is ready now, waiting for at most one event. For tests.
  void runOnce();

  /// Ends run() after the current callback.
  void stop();

  /// Reports readiness of a descriptor until the watch is destroyed.
  descriptor_watch watch(int Descriptor, readiness Wanted,
                         std::function<void(readiness)> Callback);

  /// Calls back on a signal, for the rest of the loop's life.
  void onSignal(int Signal, std::function<void()> Callback);

  /// Queues a message to a task: runs Task after the current callback returns.
  /// Must be called on the loop's own thread.
  void post(std::function<void()> Task);

  /// Like post, from any thread. Only for answers of worker threads.
  void postFromThread(std::function<void()> Task);

  /// The libev loop, for libraries that bring their own watchers.
  struct ev_loop *handle();

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
