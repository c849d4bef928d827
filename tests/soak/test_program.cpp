#include "tests/soak/test_program.h"

#include <csignal>
#include <filesystem>
#include <iostream>

namespace teasellock::soak {

void declareDeploymentFlags(CLI::App &App, deployment_options &Options) {
  App.add_option("--program", Options.Program, "path of teasellockd")
      ->required()
      ->check(CLI::ExistingFile);
  App.add_option("--folder", Options.Folder, "empty folder for logs and data")
      ->required();
  App.add_option(
      "--network", Options.Network,
      "number of the loopback network; concurrent tests need different ones");
}

int runTest(const std::string &ProgramName, severity LogLevel,
            const deployment_options &Options,
            const std::function<int(daemon_context &)> &Run) {
  std::signal(SIGPIPE, SIG_IGN);
  startEventLog(LogLevel);
  int Verdict = 1;
  try {
    std::filesystem::create_directories(Options.Folder);
    event_loop Loop;
    timer_service Timers(Loop);
    metrics Metrics;
    tracer Tracer;
    daemon_context Context{Loop, Timers, Metrics, Tracer, {}};
    Verdict = Run(Context);
  } catch (const std::exception &Problem) {
    std::cerr << ProgramName << ": " << Problem.what() << "\n";
  }
  stopEventLog();
  return Verdict;
}

} // namespace teasellock::soak
