#include "modules/membership/pending_announcements.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

const time_point Start(std::chrono::seconds(1000));

upstream_announcement announcementOf(const std::string &Upstream,
                                     std::uint32_t Slots) {
  upstream_announcement Announcement;
  Announcement.Group = group_id("g");
  Announcement.Upstream = upstream_id(Upstream);
  Announcement.Slots = Slots;
  return Announcement;
}

} // namespace

// Guards against announcements that are lost before control has them, and
// against those that are sent forever.
TEST_CASE("membership: an announcement is pending until the views show it") {
  pending_announcements Pending;
  std::map<group_id, group_view> Views;
  CHECK(addAnnouncement(Pending, announcementOf("a", 1), Views, Start));
  CHECK(addAnnouncement(Pending, announcementOf("b", 1), Views, Start));
  Views[group_id("g")].Upstreams = {announcementOf("a", 1)};
  removeVisible(Pending, Views, Start);
  CHECK(Pending.size() == 1);
  CHECK(Pending.contains({group_id("g"), upstream_id("b")}));
  // What the views show need not be sent again; a change must be.
  CHECK_FALSE(addAnnouncement(Pending, announcementOf("a", 1), Views, Start));
  CHECK(addAnnouncement(Pending, announcementOf("a", 2), Views, Start));
  CHECK(Pending.size() == 2);
}

// Guards against announcements of upstreams that control refuses and that would
// be part of every renewal.
TEST_CASE("membership: an announcement is given up after 3 s") {
  pending_announcements Pending;
  CHECK(addAnnouncement(Pending, announcementOf("a", 1), {}, Start));
  removeVisible(Pending, {}, Start + std::chrono::seconds(3));
  CHECK(Pending.size() == 1);
  removeVisible(Pending, {}, Start + std::chrono::seconds(3) + duration(1));
  CHECK(Pending.empty());
}
