#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace teasellock {

/// Severity of an event, in increasing order.
enum class severity { Debug, Info, Warning, Error };

/// One event, written as a single line of key=value pairs when the object is
/// destroyed: `event("lease.granted").with("vm", Id).with("ms", 2000);`
class event {
public:
  explicit event(std::string_view Name, severity Severity = severity::Info);
  ~event();
  event(const event &) = delete;
  event &operator=(const event &) = delete;

  /// Adds a key=value pair. Empty values and values with spaces, control
  /// characters, quotes or '=' are quoted.
  event &with(std::string_view Key, std::string_view Value);
  event &with(std::string_view Key, const char *Value);
  event &with(std::string_view Key, bool Value);
  event &with(std::string_view Key, std::int64_t Value);
  event &with(std::string_view Key, std::uint64_t Value);
  event &with(std::string_view Key, int Value);
  event &with(std::string_view Key, double Value);

private:
  bool Enabled;
  severity Severity;
  std::string Line;
};

/// Starts writing events of at least MinSeverity to standard output, one per
/// line. To be called once at start; events are dropped until then. Logging
/// never blocks: lines that do not fit the buffer because the reader of
/// standard output is slow are dropped and counted, and so are events of one
/// name beyond MaxEventsPerSecond.
void startEventLog(severity MinSeverity);

/// Flushes the buffer and stops the log.
void stopEventLog();

/// Events of one name that are written per second: enough to follow a failure,
/// few enough for a machine with a tenth of a core.
constexpr std::uint32_t MaxEventsPerSecond = 50;

/// Rate limit state of one event name: events written and suppressed in the
/// current second. Second is a Unix time.
struct event_rate_window {
  std::int64_t Second = 0;
  std::uint32_t Written = 0;
  std::uint32_t Suppressed = 0;
};

/// Reports whether one more event may be written in the given second. In the
/// first call for a new second, sets Suppressed to the number of events that
/// were suppressed before, so that it is reported once; otherwise leaves it
/// unchanged.
bool allowEvent(event_rate_window &Window, std::int64_t Second,
                std::uint32_t &Suppressed);

/// Parses "debug", "info", "warning" or "error". Throws error with step
/// "settings.log_level" otherwise.
severity parseSeverity(std::string_view Text);

} // namespace teasellock
