#pragma once

#include "modules/control/group_view.h"

#include <string>

namespace teasellock {

/// Parses the platform's announcement of an upstream: a JSON object with the
/// fields group, upstream, address, availability_zone, region, slots,
/// connections and state ("serving" or "leaving"). Throws error with step
/// "announce.check", the field as the peer, and the invalid value in the
/// reason.
upstream_announcement parseAnnouncement(const std::string &Text);

} // namespace teasellock
