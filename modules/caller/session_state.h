/// A caller's session: the position that its reads must not fall behind, and
/// the signed token that carries it from one entry to another.
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
  /// Nothing: not known. Reads then wait for the primary's current position.
  std::optional<position> Floor;

  bool operator==(const session_state &) const = default;
};

/// Raises the floor after an acknowledged write.
void afterWrite(session_state &Session, const position &Reached);

/// Learns from a read. A replica's position raises the floor, so that later
/// reads don't go back in time; the primary's only sets a floor that is not
/// known, because raising it with every read of the primary would keep the
/// session away from replicas.
void afterRead(session_state &Session, const position &Reached, bool ByReplica);

/// A write may or may not have run: only the primary's position after now
/// covers it.
void afterUnknownWrite(session_state &Session);

/// The session as an opaque text signed with HMAC-SHA256.
std::string toToken(const session_state &Session, const std::string &Secret);

/// Reads a token of the group. Throws error with step "session.token" that
/// names what is wrong.
session_state parseToken(std::string_view Token, const group_id &Group,
                         const std::string &Secret);

} // namespace teasellock
