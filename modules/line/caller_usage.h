/// What the callers of an entry occupy together, against the limits of
/// caller_limits.h.
#pragma once

#include "core/daemon_context.h"
#include "modules/line/line_caller_connection.h"

namespace teasellock {

/// Counts the memory of callers' buffers and statements, and the callers that
/// are closed for a limit. Logs the latter at most once a second.
class caller_usage {
public:
  caller_usage(daemon_context &Context, const caller_limits &Limits);

  const caller_limits &limits() const { return Limits; }

  /// Sets the number of open sessions.
  void setCallers(std::size_t Count);

  /// Counts what a connection buffers. Returns false, and lets it be closed, if
  /// it occupies too much.
  bool recordBuffers(line_caller_connection &Connection);

  /// Counts a statement that is sent to a gateway. Returns false, and counts
  /// nothing, if those in flight use up their part of the memory.
  bool beginStatement(line_caller_connection &Connection, std::size_t Bytes);

  /// Ends the count of the statement in flight, if there is one.
  void endStatement(line_caller_connection &Connection);

  /// Ends all counts for a connection that is closed.
  void remove(line_caller_connection &Connection);

  /// Lets a connection be closed for a limit.
  void closeForLimit(line_caller_connection &Connection, const char *Reason);

private:
  daemon_context &Context;
  caller_limits Limits;
  std::size_t CallerCount = 0;
  buffer_usage Buffered;
  std::size_t InFlightBytes = 0;
  time_point LimitLoggedAt;
  gauge &Callers;
  gauge &BufferedBytes;
  counter &ClosedForLimits;
};

} // namespace teasellock
