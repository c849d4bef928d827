/// The connection of one caller: its socket, its buffers and its session.
#pragma once

#include "core/event_loop.h"
#include "modules/line/caller_limits.h"
#include "modules/line/line_caller_state.h"
#include "modules/line/operation_starter.h"

#include <map>
#include <memory>

namespace teasellock {

/// State of a caller's connection. Closes its socket when it is destroyed.
struct line_caller_connection {
  line_caller_id Id;
  int Socket = -1;
  descriptor_watch Watch;
  std::string Input;
  std::string Out;
  std::size_t OutStart = 0;
  line_caller_state Caller;
  std::optional<request_id> Request;
  time_point LastActivityAt;
  time_point AcceptedAt;
  /// When the message that is not complete yet began.
  std::optional<time_point> MessageStartedAt;
  /// Since when no byte of the output could be written.
  std::optional<time_point> UnreadSince;
  /// What caller_usage counts for it: buffered bytes, and the bytes of the
  /// statement in flight.
  std::size_t CountedBytes = 0;
  std::size_t InFlightBytes = 0;
  bool Closing = false;
  /// The caller's key was removed: the session is closed once it is idle.
  bool KeyRevoked = false;

  line_caller_connection(line_caller_id Id, int Socket, time_point Now);
  ~line_caller_connection();
  line_caller_connection(const line_caller_connection &) = delete;
  line_caller_connection &operator=(const line_caller_connection &) = delete;

  std::size_t unsentBytes() const { return Out.size() - OutStart; }
  std::size_t bufferedBytes() const {
    return Input.size() + Out.size() + Caller.StoredBytes;
  }
};

using line_caller_connections =
    std::map<line_caller_id, std::unique_ptr<line_caller_connection>>;

/// Sets the options of an accepted socket.
void configureCallerSocket(int Socket);

/// Reads what has arrived, up to a buffer's size. Returns false if the
/// connection has ended.
bool receive(line_caller_connection &Connection, time_point Now);

/// Removes the handled part of the input. A message that has begun must be
/// complete within a time from now on.
void removeInput(line_caller_connection &Connection, std::size_t Bytes,
                 time_point Now);

/// Writes as much of the output as the socket accepts. Returns false if the
/// connection has ended.
bool flush(line_caller_connection &Connection, time_point Now);

/// Discards the output that was not written.
void discardOutput(line_caller_connection &Connection);

/// Reports whether the first or the current message is not complete in time.
bool isInputOverdue(const line_caller_connection &Connection,
                    const caller_limits &Limits, time_point Now);

/// Reports whether the caller does not read its output in time.
bool isOutputOverdue(const line_caller_connection &Connection,
                     const caller_limits &Limits, time_point Now);

} // namespace teasellock
