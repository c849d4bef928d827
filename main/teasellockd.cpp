#include "core/error.h"
#include "main/daemon_process.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

using namespace teasellock;

namespace {

constexpr int BadSettings = 2;
constexpr int FailedToRun = 1;
/// Names the settings file where no flag does.
constexpr const char *SettingsVariable = "TEASELLOCK_CONFIG";

/// What the command line, the variables and the settings file say together.
struct command_line {
  setting_texts Texts;
  bool CheckOnly = false;
  bool Print = false;
  /// Empty: no settings file is used.
  std::string File;
};

/// Reads the command line. Throws CLI::Error, also to print the help.
command_line readCommandLine(CLI::App &App, int Count, char **Arguments) {
  command_line Line;
  for (const auto &Setting : daemonSettings()) {
    Line.Texts[Setting.Flag] = Setting.Default;
    auto *Option = App.add_option("--" + Setting.Flag, Line.Texts[Setting.Flag],
                                  Setting.Meaning)
                       ->envname(Setting.Environment);
    if (!Setting.Secret && !Setting.Default.empty())
      Option->capture_default_str();
  }
  const char *File = std::getenv(SettingsVariable);
  Line.File = File ? File : "";
  App.set_config("--settings", Line.File,
                 "file with flag=\"value\" lines, read again when it changes "
                 "and on SIGHUP; also " +
                     std::string(SettingsVariable));
  App.allow_config_extras(true);
  App.add_flag("--check-settings", Line.CheckOnly,
               "check all settings, report every problem and exit");
  App.add_flag("--print-settings", Line.Print,
               "print the settings with secrets hidden and exit");
  App.parse(Count, Arguments);
  if (App.get_config_ptr()->count() > 0)
    Line.File = App.get_config_ptr()->as<std::string>();
  return Line;
}

/// Reads all settings once more. Throws error when they are not sound.
daemon_settings reread(int Count, char **Arguments) {
  CLI::App App;
  std::vector<std::string> Problems;
  daemon_settings Settings;
  try {
    Settings =
        readSettings(readCommandLine(App, Count, Arguments).Texts, Problems);
  } catch (const CLI::Error &Problem) {
    Problems.push_back(Problem.what());
  }
  if (!Problems.empty())
    throw error("settings.reload", "settings file", Problems.front());
  return Settings;
}

int runDaemon(const command_line &Line,
              std::function<daemon_settings()> Reread) {
  std::vector<std::string> Problems;
  daemon_settings Settings = readSettings(Line.Texts, Problems);
  for (const auto &Problem : Problems)
    std::cerr << "teasellockd: " << Problem << "\n";
  if (!Problems.empty())
    return BadSettings;
  if (Line.CheckOnly) {
    std::cout << "settings are sound\n";
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  startEventLog(Settings.LogLevel);
  try {
    daemon_process Daemon(Settings, std::move(Reread));
    Daemon.run();
  } catch (const std::exception &Problem) {
    event("daemon.failed", severity::Error).with("reason", Problem.what());
    stopEventLog();
    return FailedToRun;
  }
  stopEventLog();
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App{"teasellockd: database proxy with session consistency.\n"
               "Every flag can be given by its environment variable."};
  command_line Line;
  try {
    Line = readCommandLine(App, Count, Arguments);
  } catch (const CLI::ParseError &Problem) {
    return App.exit(Problem);
  }
  if (Line.Print) {
    std::cout << printSettings(Line.Texts);
    return 0;
  }
  std::function<daemon_settings()> Reread;
  if (!Line.File.empty())
    Reread = [Count, Arguments] { return reread(Count, Arguments); };
  return runDaemon(Line, std::move(Reread));
}
