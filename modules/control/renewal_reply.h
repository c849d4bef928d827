#pragma once

#include "modules/control/control_state.h"

namespace teasellock {

/// Bytes of changed groups in one answer to a renewal.
constexpr std::size_t LargestRenewalReply = 64 * 1024;

/// Where the last answer ended: changes are ordered by revision and group.
struct change_cursor {
  revision Revision;
  group_id Group;

  auto operator<=>(const change_cursor &) const = default;
};

/// The groups that changed after a revision, oldest change first, as many as
/// one answer takes, and the revision reached with them. Within the changes of
/// one entry it goes on after the cursor.
wire::renewal_reply changesSince(const control_state &State, revision Applied,
                                 const change_cursor &After = {});

/// Where a renewal says that the last answer to it ended.
change_cursor cursorOf(const wire::renewal &Renewal);

} // namespace teasellock
