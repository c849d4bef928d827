#include "modules/line/caller_usage.h"

#include "core/event_log.h"

#include <utility>

namespace teasellock {

namespace {

/// Shortest time between two log lines about callers that are closed for a
/// limit.
constexpr duration LimitLogInterval = std::chrono::seconds(1);

} // namespace

caller_usage::caller_usage(daemon_context &Context, const caller_limits &Limits)
    : Context(Context), Limits(Limits),
      Callers(Context.Metrics.gaugeOf("teasellock_callers")),
      BufferedBytes(
          Context.Metrics.gaugeOf("teasellock_caller_buffered_bytes")),
      ClosedForLimits(Context.Metrics.counterOf(
          "teasellock_callers_closed_for_limits_total")) {}

void caller_usage::setCallers(std::size_t Count) {
  CallerCount = Count;
  Callers.set(static_cast<double>(Count));
}

bool caller_usage::recordBuffers(line_caller_connection &Connection) {
  bool Fits = recordBufferedBytes(Buffered, Limits, Connection.CountedBytes,
                                  Connection.bufferedBytes());
  BufferedBytes.set(static_cast<double>(Buffered.Total));
  if (!Fits)
    closeForLimit(Connection, "callers buffer too many bytes");
  return Fits;
}

bool caller_usage::beginStatement(line_caller_connection &Connection,
                                  std::size_t Bytes) {
  if (!canSend(Limits, InFlightBytes, Bytes))
    return false;
  Connection.InFlightBytes = Bytes;
  InFlightBytes += Bytes;
  return true;
}

void caller_usage::endStatement(line_caller_connection &Connection) {
  InFlightBytes -= std::exchange(Connection.InFlightBytes, 0);
}

void caller_usage::remove(line_caller_connection &Connection) {
  Buffered.Total -= std::exchange(Connection.CountedBytes, 0);
  endStatement(Connection);
}

void caller_usage::closeForLimit(line_caller_connection &Connection,
                                 const char *Reason) {
  ClosedForLimits.add();
  time_point Now = Context.Timers.now();
  if (Now - LimitLoggedAt >= LimitLogInterval) {
    LimitLoggedAt = Now;
    event("caller.closed_for_limit", severity::Warning)
        .with("reason", Reason)
        .with("input_bytes",
              static_cast<std::uint64_t>(Connection.Input.size()))
        .with("output_bytes",
              static_cast<std::uint64_t>(Connection.unsentBytes()))
        .with("buffered_bytes", static_cast<std::uint64_t>(Buffered.Total))
        .with("callers", static_cast<std::uint64_t>(CallerCount));
  }
  Connection.Closing = true;
}

} // namespace teasellock
