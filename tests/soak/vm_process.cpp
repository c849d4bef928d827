#include "tests/soak/vm_process.h"

#include "core/error.h"
#include "core/event_log.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace teasellock::soak {

namespace {

constexpr duration CheckPeriod = std::chrono::milliseconds(20);
/// Time between the exit of a process and its restart.
constexpr duration RestartDelay = std::chrono::milliseconds(200);
constexpr int ExecFailedStatus = 127;

} // namespace

vm_process::vm_process(timer_service &Timers, process_options Given)
    : Timers(Timers), Options(std::move(Given)) {
  CheckTimer = Timers.every(CheckPeriod, [this] { checkExit(); });
  start();
}

vm_process::~vm_process() {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGCONT);
  ::kill(Pid, SIGKILL);
  ::waitpid(Pid, nullptr, 0);
}

void vm_process::start() {
  std::vector<char *> Arguments;
  Arguments.push_back(Options.Program.data());
  for (auto &Argument : Options.Arguments)
    Arguments.push_back(Argument.data());
  for (auto &Argument : Options.FirstStartArguments)
    Arguments.push_back(Argument.data());
  Arguments.push_back(nullptr);
  IsStopping = false;
  Pid = ::fork();
  if (Pid < 0)
    throw error("process.start", Options.Name, std::strerror(errno));
  if (Pid > 0)
    return Options.FirstStartArguments.clear();
  int Log = ::open(Options.LogFile.c_str(),
                   O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  ::dup2(Log, STDOUT_FILENO);
  ::dup2(Log, STDERR_FILENO);
  ::execv(Options.Program.c_str(), Arguments.data());
  ::_exit(ExecFailedStatus);
}

void vm_process::sendSignal(int Signal) {
  if (Pid <= 0)
    return;
  IsStopping = IsStopping || Signal == SIGTERM || Signal == SIGKILL;
  // SIGTERM takes effect on a stopped process only after SIGCONT.
  ::kill(Pid, Signal);
}

void vm_process::checkExit() {
  int Status = 0;
  if (Pid <= 0 || ::waitpid(Pid, &Status, WNOHANG) != Pid)
    return;
  Pid = 0;
  if (!IsStopping) {
    ++UnexpectedExits;
    event("soak.process_ended", severity::Error)
        .with("process", Options.Name)
        .with("status", Status);
  }
  if (RestartEnabled)
    RestartTimer = Timers.after(RestartDelay, [this] { start(); });
}

} // namespace teasellock::soak
