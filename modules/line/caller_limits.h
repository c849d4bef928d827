/// Limits on what callers may keep a VM's memory and descriptors busy with.
///
/// Callers are not under anyone's control: crowds of them may send long
/// messages, leave them unfinished or read no answers. The limits refuse or
/// close such callers before the process runs out of memory or descriptors, and
/// leave room for callers with messages of ordinary size.
#pragma once

#include "core/process_resources.h"
#include "core/time.h"

namespace teasellock {

/// Limits of one entry.
struct caller_limits {
  /// Maximum number of concurrent sessions.
  std::size_t MaxCallers = 4000;
  /// Bytes that all callers together may have in input and output buffers and
  /// in session values, beyond FreeBytesPerCaller each.
  std::size_t MaxBufferedBytes = 256 * 1024 * 1024;
  /// Bytes of the statements that have been sent to gateways and are not
  /// answered.
  std::size_t MaxInFlightBytes = 128 * 1024 * 1024;
  /// A caller whose unsent output is longer is not read from, and no further
  /// statement of it is executed.
  std::size_t MaxUnreadBytes = 64 * 1024;
  /// The first message must be complete this long after the connection was
  /// accepted.
  duration StartTimeout = std::chrono::seconds(10);
  /// A message must be complete this long after its first byte.
  duration MessageTimeout = std::chrono::seconds(60);
  /// A caller must read some of its output within this time.
  duration WriteTimeout = std::chrono::seconds(30);
};

/// What each caller may buffer without regard to the others: several messages
/// of ordinary size.
constexpr std::size_t FreeBytesPerCaller = 4 * 1024;

/// Bytes of values and prepared statements that one session may have: as much
/// as one message can set.
constexpr std::size_t MaxSessionBytes = 1024 * 1024;

/// Derives the limits from what the process may use.
caller_limits limitsFor(const process_resources &Resources);

/// Bytes that callers buffer, beyond FreeBytesPerCaller each.
struct buffer_usage {
  std::size_t Total = 0;
};

/// Replaces what a caller counted for so far by its present bytes. Returns
/// false, and counts nothing for it, if the caller must be closed: it has more
/// than FreeBytesPerCaller, and all callers together would exceed the limit.
bool recordBufferedBytes(buffer_usage &Usage, const caller_limits &Limits,
                         std::size_t &Counted, std::size_t Bytes);

/// Reports whether a statement of Bytes may be sent to a gateway beside those
/// in flight. A statement of ordinary size always may, and so may the only one:
/// it would never be sent otherwise.
bool canSend(const caller_limits &Limits, std::size_t InFlightBytes,
             std::size_t Bytes);

} // namespace teasellock
