#include "modules/line/line_protocol.h"

#include <array>
#include <utility>

namespace teasellock {

namespace {

constexpr std::array<std::pair<line_error, const char *>, 15> SqlStates = {{
    {line_error::Busy, "53300"},
    {line_error::Overloaded, "53400"},
    {line_error::Aborted, "40001"},
    {line_error::Lagging, "72000"},
    {line_error::ReadOnly, "25006"},
    {line_error::Misrouted, "08004"},
    {line_error::TooMany, "53301"},
    {line_error::InDoubt, "08007"},
    {line_error::Timeout, "57014"},
    {line_error::Failed, "58000"},
    {line_error::NoStatement, "26000"},
    {line_error::Malformed, "42601"},
    {line_error::NoDatabase, "3D000"},
    {line_error::Unauthorized, "28000"},
    {line_error::Other, "XX000"},
}};

} // namespace

const char *sqlStateOf(line_error Code) {
  for (const auto &[Error, State] : SqlStates)
    if (Error == Code)
      return State;
  return "XX000";
}

line_error errorOf(std::string_view SqlState) {
  for (const auto &[Error, State] : SqlStates)
    if (SqlState == State)
      return Error;
  // Classes that routing and gateways report.
  if (SqlState.starts_with("57P") || SqlState.starts_with("53"))
    return line_error::Busy;
  if (SqlState.starts_with("25P"))
    return line_error::Aborted;
  if (SqlState.starts_with("08"))
    return line_error::InDoubt;
  return line_error::Other;
}

bool isNotExecuted(line_error Code) {
  switch (Code) {
  case line_error::Busy:
  case line_error::Overloaded:
  case line_error::Lagging:
  case line_error::ReadOnly:
  case line_error::Misrouted:
  case line_error::TooMany:
  case line_error::NoStatement:
  case line_error::Unauthorized:
    return true;
  default:
    return false;
  }
}

} // namespace teasellock
