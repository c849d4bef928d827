#include "core/event_log.h"

#include "core/error.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace teasellock {

namespace {

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
    // A control character would break the one-line-per-event promise.
    Line += Char < ' ' || Char == 0x7f ? ' ' : static_cast<char>(Char);
  }
  Line += '"';
}

} // namespace

event::event(std::string_view Name, severity Severity)
    : Enabled(sharedLogger() &&
              sharedLogger()->isEnabledFor(toLevel(Severity))),
      Severity(Severity) {
  if (!Enabled)
    return;
  Line = "event=";
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

void startEventLog(severity Least) {
  using namespace log4cxx;
  auto Layout = std::make_shared<PatternLayout>(
      "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSS} level=%p %m%n");
  auto Appender = std::make_shared<ConsoleAppender>(
      Layout, ConsoleAppender::getSystemErr());
  auto Root = Logger::getRootLogger();
  Root->removeAllAppenders();
  Root->addAppender(Appender);
  Root->setLevel(toLevel(Least));
  sharedLogger() = Logger::getLogger("teasellock");
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
