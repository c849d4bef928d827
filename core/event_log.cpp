#include "core/event_log.h"

#include "core/error.h"

#include <chrono>
#include <ctime>
#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <map>

namespace teasellock {

namespace {

/// Lines that are buffered for a slow reader of standard output.
constexpr int MaxBufferedLines = 2000;

log4cxx::LoggerPtr &sharedLogger() {
  static log4cxx::LoggerPtr Logger;
  return Logger;
}

log4cxx::LevelPtr toLevel(severity Severity) {
  switch (Severity) {
  case severity::Debug:
    return log4cxx::Level::getDebug();
  case severity::Info:
    return log4cxx::Level::getInfo();
  case severity::Warning:
    return log4cxx::Level::getWarn();
  case severity::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getError();
}

bool needsQuotes(std::string_view Value) {
  if (Value.empty())
    return true;
  for (unsigned char Char : Value)
    if (Char <= ' ' || Char == '"' || Char == '=' || Char == 0x7f)
      return true;
  return false;
}

void appendValue(std::string &Line, std::string_view Value) {
  if (!needsQuotes(Value)) {
    Line += Value;
    return;
  }
  Line += '"';
  for (unsigned char Char : Value) {
    if (Char == '"' || Char == '\\')
      Line += '\\';
    // A control character could split the event over several lines.
    Line += Char < ' ' || Char == 0x7f ? ' ' : static_cast<char>(Char);
  }
  Line += '"';
}

std::map<std::string, event_rate_window> &rateWindows() {
  static std::map<std::string, event_rate_window> Windows;
  return Windows;
}

const char *severityName(severity Severity) {
  switch (Severity) {
  case severity::Debug:
    return "debug";
  case severity::Info:
    return "info";
  case severity::Warning:
    return "warning";
  case severity::Error:
    return "error";
  }
  return "error";
}

/// The start of each line: "time=2026-04-02T22:34:33.120Z level=info ".
std::string linePrefix(std::chrono::system_clock::time_point Now,
                       severity Severity) {
  std::time_t Seconds = std::chrono::system_clock::to_time_t(Now);
  auto Milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(
                          Now.time_since_epoch())
                          .count() %
                      1000;
  std::tm Parts = {};
  ::gmtime_r(&Seconds, &Parts);
  char Text[64];
  std::size_t Length =
      std::strftime(Text, sizeof(Text), "time=%Y-%m-%dT%H:%M:%S", &Parts);
  std::snprintf(Text + Length, sizeof(Text) - Length, ".%03dZ level=%s ",
                static_cast<int>(Milliseconds), severityName(Severity));
  return Text;
}

} // namespace

bool allowEvent(event_rate_window &Window, std::int64_t Second,
                std::uint32_t &Suppressed) {
  if (Window.Second != Second) {
    Suppressed = Window.Suppressed;
    Window = {Second, 0, 0};
  }
  if (Window.Written >= MaxEventsPerSecond) {
    ++Window.Suppressed;
    return false;
  }
  ++Window.Written;
  return true;
}

event::event(std::string_view Name, severity Severity)
    : Enabled(sharedLogger() &&
              sharedLogger()->isEnabledFor(toLevel(Severity))),
      Severity(Severity) {
  if (!Enabled)
    return;
  auto Now = std::chrono::system_clock::now();
  std::uint32_t Suppressed = 0;
  Enabled = allowEvent(rateWindows()[std::string(Name)],
                       std::chrono::system_clock::to_time_t(Now), Suppressed);
  if (Suppressed > 0)
    sharedLogger()->forcedLog(
        toLevel(severity::Warning),
        linePrefix(Now, severity::Warning) + "event=log.left_out kind=" +
            std::string(Name) + " count=" + std::to_string(Suppressed));
  if (!Enabled)
    return;
  Line = linePrefix(Now, Severity) + "event=";
  appendValue(Line, Name);
}

event::~event() {
  if (Enabled)
    sharedLogger()->forcedLog(toLevel(Severity), Line);
}

event &event::with(std::string_view Key, std::string_view Value) {
  if (!Enabled)
    return *this;
  Line += ' ';
  Line += Key;
  Line += '=';
  appendValue(Line, Value);
  return *this;
}

event &event::with(std::string_view Key, const char *Value) {
  return with(Key, std::string_view(Value));
}

event &event::with(std::string_view Key, bool Value) {
  return with(Key, std::string_view(Value ? "true" : "false"));
}

event &event::with(std::string_view Key, std::int64_t Value) {
  return with(Key, std::string_view(std::to_string(Value)));
}

event &event::with(std::string_view Key, std::uint64_t Value) {
  return with(Key, std::string_view(std::to_string(Value)));
}

event &event::with(std::string_view Key, int Value) {
  return with(Key, static_cast<std::int64_t>(Value));
}

event &event::with(std::string_view Key, double Value) {
  return with(Key, std::string_view(std::to_string(Value)));
}

void startEventLog(severity MinSeverity) {
  using namespace log4cxx;
  auto Appender = std::make_shared<ConsoleAppender>(
      std::make_shared<PatternLayout>("%m%n"), ConsoleAppender::getSystemOut());
  // log4cxx writes on its own thread. It drops lines when the buffer is full
  // and logs how many.
  auto Buffer = std::make_shared<AsyncAppender>();
  Buffer->setBufferSize(MaxBufferedLines);
  Buffer->setBlocking(false);
  Buffer->addAppender(Appender);
  auto Root = Logger::getRootLogger();
  Root->removeAllAppenders();
  Root->addAppender(Buffer);
  Root->setLevel(toLevel(MinSeverity));
  sharedLogger() = Logger::getLogger("teasellock");
}

void stopEventLog() {
  sharedLogger().reset();
  log4cxx::LogManager::shutdown();
}

severity parseSeverity(std::string_view Text) {
  if (Text == "debug")
    return severity::Debug;
  if (Text == "info")
    return severity::Info;
  if (Text == "warning")
    return severity::Warning;
  if (Text == "error")
    return severity::Error;
  throw error("settings.log_level", std::string(Text),
              "must be debug, info, warning or error");
}

} // namespace teasellock
