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

  /// Opens so many, a few at a time; Done is called when all were tried.
  void open(std::size_t Count, std::function<void()> Done);

  std::size_t opened() const { return Opened; }
  std::size_t failed() const { return Failed; }

private:
  void openNext();

  event_loop &Loop;
  timer_service &Timers;
  std::vector<endpoint> Targets;
  std::string Group;
  std::vector<std::unique_ptr<sql_client>> Clients;
  std::size_t Wanted = 0;
  std::size_t Opened = 0;
  std::size_t Failed = 0;
  std::function<void()> Done;
};

} // namespace teasellock::bench
