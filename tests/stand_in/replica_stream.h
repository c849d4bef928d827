#pragma once

#include "core/timer_service.h"
#include "tests/stand_in/connection.h"
#include "tests/stand_in/replication.h"

#include <deque>
#include <functional>
#include <memory>

namespace teasellock::stand_in {

/// A replica's connection to the upstream it follows: finds the common prefix
/// of both logs, cuts the own tail, then applies what arrives after a lag.
/// Connects again whenever the stream breaks or falls silent.
class replica_stream {
public:
  /// OnApplied is called after records have been applied.
  replica_stream(event_loop &Loop, timer_service &Timers, store &Store,
                 endpoint Primary, std::string ApplicationName,
                 std::string Database, std::function<void()> OnApplied);
  ~replica_stream();

  const endpoint &primary() const { return Primary; }
  void setLag(duration To);
  void pause(bool Paused);
  void mute();

  /// Applies everything that has arrived, lag or not.
  void applyAll();

  /// Drops the stream and connects again.
  void restart();

private:
  struct arrived_record {
    time_point Due;
    std::string Bytes;
  };

  void connect();
  void disconnect();
  void onData();
  void onMessage(const message &Message);
  void onProbeAnswer(const probe_answer &Answer);
  void applyDue(time_point Until);
  void scheduleApply();
  void watchSilence();

  event_loop &Loop;
  timer_service &Timers;
  store &Store;
  endpoint Primary;
  std::string ApplicationName;
  std::string Database;
  std::function<void()> OnApplied;
  duration Lag{};
  bool Paused = false;
  std::unique_ptr<connection> Connection;
  prefix_search Search;
  std::deque<arrived_record> Arrived;
  time_point LastHeard;
  timer_subscription RetryTimer;
  timer_subscription ApplyTimer;
  timer_subscription SilenceTimer;
};

} // namespace teasellock::stand_in
