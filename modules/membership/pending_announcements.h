/// Upstreams' announcements that control has not put into the views yet. Pure
/// functions of state and time.
#pragma once

#include "core/time.h"
#include "modules/control/group_view.h"

#include <map>
#include <utility>

namespace teasellock {

/// An announcement that the views don't reflect yet.
struct pending_announcement {
  upstream_announcement Announcement;
  time_point ReceivedAt;
};

/// The last announcement of each upstream.
using pending_announcements =
    std::map<std::pair<group_id, upstream_id>, pending_announcement>;

/// Adds an announcement, unless the views show it. Returns whether it has to be
/// sent to control.
bool addAnnouncement(pending_announcements &Pending,
                     const upstream_announcement &Announcement,
                     const std::map<group_id, group_view> &Views,
                     time_point Now);

/// Removes announcements that the views show, and those that are too old.
void removeVisible(pending_announcements &Pending,
                   const std::map<group_id, group_view> &Views, time_point Now);

} // namespace teasellock
