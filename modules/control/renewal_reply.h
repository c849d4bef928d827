#pragma once

#include "modules/control/control_state.h"

namespace teasellock {

/// Maximum size in bytes of the changed groups in one renewal reply; a single
/// larger group is sent alone.
constexpr std::size_t MaxRenewalReplyBytes = 64 * 1024;

/// Where the last reply ended; changes are ordered by revision, then by group.
struct change_cursor {
  revision Revision;
  group_id Group;

  auto operator<=>(const change_cursor &) const = default;
};

/// What a VM has received of the changes: all up to a revision, and what lies
/// between it and the cursor.
struct applied_views {
  revision Applied;
  change_cursor After;

  bool operator==(const applied_views &) const = default;
};

/// Returns a reply with the groups that changed after the revision Applied,
/// oldest change first, as many as fit into one reply, and with the revision up
/// to which they are complete. If one log entry changed more groups than fit,
/// the next reply continues after the cursor.
wire::renewal_reply changesSince(const control_state &State, revision Applied,
                                 const change_cursor &After = {});

/// Returns where the last reply ended, as the renewal states it.
change_cursor cursorOf(const wire::renewal &Renewal);

} // namespace teasellock
