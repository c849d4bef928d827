#include "modules/line/caller_limits.h"

#include "modules/gateway/statement_size.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Parts of the memory for buffers and for statements in flight. A buffer
/// occupies up to twice its content while it grows; a statement in flight has
/// up to five copies: as parsed, as requested, as kept for retries, encoded and
/// queued at the link.
constexpr std::size_t BufferMemoryDivisor = 6;
constexpr std::size_t InFlightMemoryDivisor = 16;
/// Descriptors that the process has open besides links and connections.
constexpr std::size_t ReservedDescriptors = 200;
/// Percentage of the other descriptors that callers may use; links and
/// connections to upstreams need the rest.
constexpr std::size_t CallerDescriptorPercent = 85;
constexpr std::size_t MinCallers = 16;

} // namespace

caller_limits limitsFor(const process_resources &Resources) {
  caller_limits Limits;
  if (Resources.MemoryBytes > 0) {
    Limits.MaxBufferedBytes = Resources.MemoryBytes / BufferMemoryDivisor;
    Limits.MaxInFlightBytes = Resources.MemoryBytes / InFlightMemoryDivisor;
  }
  if (Resources.Descriptors > 0) {
    std::size_t Usable = Resources.Descriptors > ReservedDescriptors
                             ? Resources.Descriptors - ReservedDescriptors
                             : 0;
    Limits.MaxCallers = std::clamp(Usable * CallerDescriptorPercent / 100,
                                   MinCallers, Limits.MaxCallers);
  }
  return Limits;
}

bool recordBufferedBytes(buffer_usage &Usage, const caller_limits &Limits,
                         std::size_t &Counted, std::size_t Bytes) {
  Usage.Total -= Counted;
  Counted = Bytes > FreeBytesPerCaller ? Bytes - FreeBytesPerCaller : 0;
  if (Counted > 0 && Usage.Total + Counted > Limits.MaxBufferedBytes) {
    Counted = 0;
    return false;
  }
  Usage.Total += Counted;
  return true;
}

bool canSend(const caller_limits &Limits, std::size_t InFlightBytes,
             std::size_t Bytes) {
  return InFlightBytes == 0 ||
         fitsBeside(InFlightBytes, Bytes, Limits.MaxInFlightBytes);
}

} // namespace teasellock
