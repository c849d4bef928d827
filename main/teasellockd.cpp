#include "core/error.h"
#include "main/daemon_process.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

using namespace teasellock;

namespace {

constexpr int BadSettings = 2;
constexpr int FailedToRun = 1;

int runDaemon(const setting_texts &Texts, bool CheckOnly) {
  std::vector<std::string> Problems;
  daemon_settings Settings = readSettings(Texts, Problems);
  for (const auto &Problem : Problems)
    std::cerr << "teasellockd: " << Problem << "\n";
  if (!Problems.empty())
    return BadSettings;
  if (CheckOnly) {
    std::cout << "settings are sound\n";
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  startEventLog(Settings.LogLevel);
  try {
    daemon_process Daemon(Settings);
    Daemon.run();
  } catch (const std::exception &Problem) {
    event("daemon.failed", severity::Error).with("reason", Problem.what());
    return FailedToRun;
  }
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App{"teasellockd: database proxy with session consistency.\n"
               "Every flag can be given by its environment variable."};
  setting_texts Texts;
  for (const auto &Setting : daemonSettings()) {
    Texts[Setting.Flag] = Setting.Default;
    auto *Option = App.add_option("--" + Setting.Flag, Texts[Setting.Flag],
                                  Setting.Meaning)
                       ->envname(Setting.Environment);
    if (!Setting.Secret && !Setting.Default.empty())
      Option->capture_default_str();
  }
  bool CheckOnly = false;
  bool Print = false;
  App.add_flag("--check-settings", CheckOnly,
               "check all settings, report every problem and exit");
  App.add_flag("--print-settings", Print,
               "print the settings with secrets hidden and exit");
  CLI11_PARSE(App, Count, Arguments);
  if (Print) {
    std::cout << printSettings(Texts);
    return 0;
  }
  return runDaemon(Texts, CheckOnly);
}
