#include "modules/membership/pending_announcements.h"

#include <algorithm>

namespace teasellock {

namespace {

/// An announcement is sent with every renewal until the views show it, but not
/// for longer than this, as the platform repeats it.
constexpr duration AnnouncementTimeout = fromMilliseconds(3000);

} // namespace

void removeVisible(pending_announcements &Pending,
                   const std::map<group_id, group_view> &Views,
                   time_point Now) {
  std::erase_if(Pending, [&](const auto &Entry) {
    const auto &[Announcement, ReceivedAt] = Entry.second;
    auto View = Views.find(Announcement.Group);
    bool IsVisible = View != Views.end() &&
                     std::count(View->second.Upstreams.begin(),
                                View->second.Upstreams.end(), Announcement) > 0;
    return IsVisible || Now - ReceivedAt > AnnouncementTimeout;
  });
}

bool addAnnouncement(pending_announcements &Pending,
                     const upstream_announcement &Announcement,
                     const std::map<group_id, group_view> &Views,
                     time_point Now) {
  std::pair Key(Announcement.Group, Announcement.Upstream);
  Pending[Key] = {Announcement, Now};
  removeVisible(Pending, Views, Now);
  return Pending.contains(Key);
}

} // namespace teasellock
