#include "modules/control/returning_upstreams.h"

namespace teasellock {

namespace {

/// Less than the interval of announcements, more than those that were held up
/// arrive apart.
constexpr duration MinReturnTime = std::chrono::milliseconds(900);
/// An earlier announcement is forgotten after this.
constexpr duration MaxReturnTime = std::chrono::seconds(5);

} // namespace

bool hasReturned(leader_state &Leader,
                 const upstream_announcement &Announcement, time_point Now) {
  auto Key = std::pair(Announcement.Group, Announcement.Upstream);
  auto First = Leader.ReturningUpstreams.find(Key);
  if (First == Leader.ReturningUpstreams.end() ||
      First->second.Incarnation != Announcement.Incarnation ||
      Now - First->second.ReceivedAt > MaxReturnTime) {
    Leader.ReturningUpstreams[Key] = {Announcement.Incarnation, Now};
    return false;
  }
  return Now - First->second.ReceivedAt >= MinReturnTime;
}

} // namespace teasellock
