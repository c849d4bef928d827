#pragma once

#include "modules/control/group_view.h"

#include <string>

namespace teasellock {

/// Reads the platform's announcement of an upstream: an object with group,
/// upstream, address, availability_zone, region, slots, connections and state
/// ("serving" or "leaving"). Throws error naming field and value.
upstream_announcement parseAnnouncement(const std::string &Json);

} // namespace teasellock
