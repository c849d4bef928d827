#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace teasellock {

/// How much an event matters to an operator.
enum class severity { Debug, Info, Warning, Error };

/// One event, written as a single line of key=value pairs when the object
/// dies: `event("lease.granted").with("vm", Id).with("ms", 2000);`
class event {
public:
  explicit event(std::string_view Name, severity Severity = severity::Info);
  ~event();
  event(const event &) = delete;
  event &operator=(const event &) = delete;

  /// Adds a pair. Values with spaces, quotes or '=' are quoted.
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

/// Sends events to standard error, one a line, from the given severity up.
/// Call once at start; before that, events are dropped.
void startEventLog(severity Least);

/// Reads "debug", "info", "warning" or "error". Throws error otherwise.
severity parseSeverity(std::string_view Text);

} // namespace teasellock
