/// Runs teasellockd as a child process and restarts it when it exits. Signals
/// are sent to its process id only.
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
  /// Additional arguments for the first start only.
  std::vector<std::string> FirstStartArguments;
  std::string LogFile;
};

/// One process that is restarted when it has exited.
class vm_process {
public:
  vm_process(timer_service &Timers, process_options Options);
  ~vm_process();
  vm_process(const vm_process &) = delete;
  vm_process &operator=(const vm_process &) = delete;

  /// Sends a signal, unless the process has exited. An exit after SIGTERM or
  /// SIGKILL counts as expected.
  void sendSignal(int Signal);
  bool isRunning() const { return Pid > 0; }
  /// Zero while the process does not run.
  pid_t processId() const { return Pid; }
  const std::string &name() const { return Options.Name; }
  /// Number of exits that sendSignal() didn't cause.
  std::size_t unexpectedExits() const { return UnexpectedExits; }
  /// Sets whether the process is restarted after it has exited.
  void setRestartEnabled(bool Enabled) { RestartEnabled = Enabled; }

private:
  void start();
  void checkExit();

  timer_service &Timers;
  process_options Options;
  pid_t Pid = 0;
  bool IsStopping = false;
  bool RestartEnabled = true;
  std::size_t UnexpectedExits = 0;
  timer_subscription CheckTimer;
  timer_subscription RestartTimer;
};

} // namespace teasellock::soak
