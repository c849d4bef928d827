/// The real programs as separate processes, ended by their ids only.
#pragma once

#include "core/endpoint.h"
#include "core/timer_service.h"

#include <string>
#include <vector>

#include <sys/types.h>

namespace teasellock::soak {

/// How a process is started.
struct process_options {
  std::string Name;
  std::string Program;
  std::vector<std::string> Arguments;
  /// Besides, at the first start only.
  std::vector<std::string> FirstArguments;
  std::string LogFile;
};

/// One process that is started again when it has ended.
class vm_process {
public:
  vm_process(timer_service &Timers, process_options Options);
  ~vm_process();
  vm_process(const vm_process &) = delete;
  vm_process &operator=(const vm_process &) = delete;

  void signal(int Signal);
  bool running() const { return Pid > 0; }
  const std::string &name() const { return Options.Name; }
  /// How often it ended without a signal of ours that ends processes.
  std::size_t unexpectedEnds() const { return UnexpectedEnds; }
  /// Whether it is started again once it has ended.
  void restart(bool Again) { Restarts = Again; }

private:
  void start();
  void check();

  timer_service &Timers;
  process_options Options;
  pid_t Pid = 0;
  bool Ending = false;
  bool Restarts = true;
  std::size_t UnexpectedEnds = 0;
  timer_subscription Check;
  timer_subscription Restart;
};

} // namespace teasellock::soak
