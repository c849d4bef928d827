#include "modules/link/dial_schedule.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

/// Returns the time from the first dial to the connection, if the peer has no
/// power for the given time. Dials before that are lost, later ones are
/// answered at once.
duration connectionTime(duration Outage) {
  dial_schedule Schedule;
  duration Now{};
  while (Now < Outage) {
    Now += Schedule.Timeout;
    Now += backOffDial(Schedule);
  }
  return Now;
}

} // namespace

TEST_CASE("link: a VM is reached soon after its power returns, not a second "
          "later") {
  // All VMs lose power and start again within half a second of each other.
  for (int OutageMs = 1; OutageMs <= 600; OutageMs += 7) {
    CAPTURE(OutageMs);
    duration Outage = fromMilliseconds(OutageMs);
    CHECK(connectionTime(Outage) - Outage <= fromMilliseconds(550));
  }
  CHECK(connectionTime(fromMilliseconds(180)) <= fromMilliseconds(200));
}

TEST_CASE("link: a peer that answers slowly is reached eventually") {
  dial_schedule Schedule;
  duration ReplyTime = fromMilliseconds(900);
  int Dials = 1;
  for (; Schedule.Timeout < ReplyTime; ++Dials)
    backOffDial(Schedule);
  CHECK(Dials <= 7);
  resetDialSchedule(Schedule);
  CHECK(Schedule.Timeout < ReplyTime);
}
