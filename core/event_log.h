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

/// Sends events to standard output, one a line, from the given severity up.
/// Call once at start; before that, events are dropped. Never blocks: what a
/// reader does not take is left out and counted, and so are lines of one kind
/// beyond LinesOfAKind a second.
void startEventLog(severity Least);

/// Writes what is still buffered and ends the log.
void stopEventLog();

/// Lines of one kind that are written in a second: enough to follow a failure,
/// few enough for a machine with a tenth of a core.
constexpr std::uint32_t LinesOfAKind = 50;

/// How many lines of one kind were written and left out in the present second.
struct line_allowance {
  std::int64_t Second = 0;
  std::uint32_t Written = 0;
  std::uint32_t LeftOut = 0;
};

/// Whether one more line may be written. LeftOut gets the number of lines that
/// the seconds before left out, once, to be told.
bool allowLine(line_allowance &Allowance, std::int64_t Second,
               std::uint32_t &LeftOut);

/// Reads "debug", "info", "warning" or "error". Throws error otherwise.
severity parseSeverity(std::string_view Text);

} // namespace teasellock
