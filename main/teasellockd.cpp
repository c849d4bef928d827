#include "core/error.h"
#include "main/daemon_process.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

using namespace teasellock;

namespace {

/// Blocks SIGHUP, whose default action would end the process, until the daemon
/// has set its handler. SIGTERM and SIGINT keep their default action until
/// then.
void blockReload(int, char **, char **) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGHUP);
  sigprocmask(SIG_BLOCK, &Signals, nullptr);
}

/// The dynamic loader calls this before the constructors of all libraries,
/// which take several milliseconds. Threads inherit the mask.
using preinit_function = void (*)(int, char **, char **);
[[gnu::used,
  gnu::section(".preinit_array")]] const preinit_function BlockReloadFirst =
    blockReload;

constexpr int ExitBadSettings = 2;
constexpr int ExitFailure = 1;
/// Environment variable that names the settings file if no flag does.
constexpr const char *SettingsVariable = "TEASELLOCK_CONFIG";

/// Values from command line, environment and settings file, and the mode.
struct command_line {
  setting_values Values;
  bool CheckOnly = false;
  bool PrintOnly = false;
  /// Empty: no settings file is used.
  std::string SettingsFile;
};

/// Parses the command line. Throws CLI::Error, also to request the help.
command_line readCommandLine(CLI::App &App, int ArgumentCount,
                             char **Arguments) {
  command_line Line;
  for (const auto &Setting : daemonSettings()) {
    Line.Values[Setting.Flag] = Setting.Default;
    auto *Option =
        App.add_option("--" + Setting.Flag, Line.Values[Setting.Flag],
                       Setting.Description)
            ->envname(Setting.Environment);
    if (!Setting.IsSecret && !Setting.Default.empty())
      Option->capture_default_str();
  }
  const char *SettingsFile = std::getenv(SettingsVariable);
  Line.SettingsFile = SettingsFile ? SettingsFile : "";
  App.set_config("--settings", Line.SettingsFile,
                 "file with flag=\"value\" lines, read again when it changes "
                 "and on SIGHUP; also " +
                     std::string(SettingsVariable));
  App.allow_config_extras(true);
  App.add_flag("--check-settings", Line.CheckOnly,
               "check all settings, report every problem and exit");
  App.add_flag("--print-settings", Line.PrintOnly,
               "print the settings with secrets hidden and exit");
  App.parse(ArgumentCount, Arguments);
  if (App.get_config_ptr()->count() > 0)
    Line.SettingsFile = App.get_config_ptr()->as<std::string>();
  return Line;
}

/// Reads all settings again. Throws error when they are invalid.
daemon_settings loadSettings(int ArgumentCount, char **Arguments) {
  CLI::App App;
  std::vector<std::string> Problems;
  daemon_settings Settings;
  try {
    Settings = readSettings(
        readCommandLine(App, ArgumentCount, Arguments).Values, Problems);
  } catch (const CLI::Error &Problem) {
    Problems.push_back(Problem.what());
  }
  if (!Problems.empty())
    throw error("settings.reload", "settings file", Problems.front());
  return Settings;
}

int runDaemon(const command_line &Line,
              std::function<daemon_settings()> LoadSettings) {
  std::vector<std::string> Problems;
  daemon_settings Settings = readSettings(Line.Values, Problems);
  for (const auto &Problem : Problems)
    std::cerr << "teasellockd: " << Problem << "\n";
  if (!Problems.empty())
    return ExitBadSettings;
  if (Line.CheckOnly) {
    std::cout << "settings are valid\n";
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  startEventLog(Settings.LogLevel);
  try {
    daemon_process Daemon(Settings, std::move(LoadSettings));
    Daemon.run();
  } catch (const std::exception &Problem) {
    event("daemon.failed", severity::Error).with("reason", Problem.what());
    stopEventLog();
    return ExitFailure;
  }
  stopEventLog();
  return 0;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  CLI::App App{"teasellockd: database proxy with session consistency.\n"
               "Every flag can be given by its environment variable."};
  command_line Line;
  try {
    Line = readCommandLine(App, ArgumentCount, Arguments);
  } catch (const CLI::ParseError &Problem) {
    return App.exit(Problem);
  }
  if (Line.PrintOnly) {
    std::cout << printSettings(Line.Values);
    return 0;
  }
  std::function<daemon_settings()> LoadSettings;
  if (!Line.SettingsFile.empty())
    LoadSettings = [ArgumentCount, Arguments] {
      return loadSettings(ArgumentCount, Arguments);
    };
  return runDaemon(Line, std::move(LoadSettings));
}
