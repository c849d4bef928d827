/// A caller's session: the minimum log position that its reads must reflect,
/// and the signed token that transfers the session from one entry to another.
#pragma once

#include "core/ids.h"
#include "core/position.h"

#include <optional>
#include <string>
#include <string_view>

namespace teasellock {

/// The consistency state of one session in one group.
struct session_state {
  session_id Id;
  group_id Group;
  /// The minimum position that a replica must have applied to serve the
  /// session's reads. Unset: unknown; reads then wait for the primary's current
  /// position.
  std::optional<position> Floor;

  bool operator==(const session_state &) const = default;
};

/// Raises the floor to the primary's position after an acknowledged write.
void updateFloorAfterWrite(session_state &Session, const position &Reached);

/// Updates the floor after a read. A replica's position raises the floor, so
/// that reads are monotonic. The primary's position only sets a floor that is
/// unknown: if each read from the primary raised it, no replica would be recent
/// enough to serve the session.
void updateFloorAfterRead(session_state &Session, const position &Reached,
                          bool ByReplica);

/// Clears the floor after a write whose outcome is unknown: only a position
/// that the primary reports from now on is sure to cover it.
void clearFloorAfterUnknownWrite(session_state &Session);

/// Returns the session as an opaque text, signed with HMAC-SHA256.
std::string toToken(const session_state &Session, const std::string &Secret);

/// Parses and verifies a token. Throws error with step "session.token" when it
/// is malformed, its signature does not match, or it belongs to another group.
session_state parseToken(std::string_view Token, const group_id &Group,
                         const std::string &Secret);

} // namespace teasellock
