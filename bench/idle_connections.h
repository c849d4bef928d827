#pragma once

#include "bench/sql_client.h"

#include <functional>
#include <string>
#include <vector>

namespace teasellock::bench {

/// Opens many connections and keeps them idle.
class idle_connections {
public:
  idle_connections(event_loop &Loop, timer_service &Timers,
                   std::vector<endpoint> Targets, std::string Group);

  /// Opens this many connections, at most 50 concurrently. Done is called after
  /// the last attempt.
  void open(std::size_t Count, std::function<void()> Done);

  std::size_t openedCount() const { return Opened; }
  std::size_t failedCount() const { return Failed; }

private:
  void openNext();

  event_loop &Loop;
  timer_service &Timers;
  std::vector<endpoint> Targets;
  std::string Group;
  std::vector<std::unique_ptr<sql_client>> Clients;
  std::size_t RequestedCount = 0;
  std::size_t Opened = 0;
  std::size_t Failed = 0;
  std::function<void()> Done;
};

} // namespace teasellock::bench
