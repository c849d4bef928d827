#pragma once

#include "core/timer_service.h"
#include "tests/stand_in/connection.h"
#include "tests/stand_in/replication.h"

#include <deque>
#include <functional>
#include <memory>

namespace teasellock::stand_in {

/// A replica's replication connection to its primary. It finds the common
/// prefix of both logs, truncates its own log to it, then applies received
/// records after a configurable lag. It reconnects whenever the connection
/// fails or nothing is received for two seconds.
class replica_stream {
public:
  /// OnApplied is called after records have been applied.
  replica_stream(event_loop &Loop, timer_service &Timers, store &Store,
                 endpoint Primary, std::string ApplicationName,
                 std::string Database, std::function<void()> OnApplied);
  ~replica_stream();

  const endpoint &primary() const { return Primary; }
  /// Sets the time between receiving and applying a record.
  void setLag(duration NewLag);
  /// Stops or resumes receiving and applying.
  void setPaused(bool Paused);
  /// Discards all further data of the current connection.
  void mute();

  /// Applies all received records regardless of the lag.
  void applyAll();

  /// Closes the connection and connects again.
  void restart();

private:
  struct received_record {
    time_point Due;
    std::string Bytes;
  };

  void connect();
  void disconnect();
  void handleData();
  void handleMessage(const message &Message);
  void handleProbeReply(const probe_reply &Reply);
  void applyDue(time_point Until);
  void scheduleApply();
  void checkSilence();

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
  std::deque<received_record> ReceivedRecords;
  time_point LastReceivedAt;
  timer_subscription RetryTimer;
  timer_subscription ApplyTimer;
  timer_subscription SilenceTimer;
};

} // namespace teasellock::stand_in
