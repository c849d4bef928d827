#include "modules/link/dial_schedule.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

/// When a peer is connected that is without power for so long after the first
/// dial. What is sent before is lost; later dials are answered at once.
duration connectedAfter(duration Dark) {
  dial_schedule Schedule;
  duration Now{};
  while (Now < Dark) {
    Now += Schedule.Timeout;
    Now += noteDialEnded(Schedule);
  }
  return Now;
}

} // namespace

TEST_CASE("link: a VM that has power again is found soon, not a second later") {
  // Pattern: all VMs lose power and start within half a second of each other.
  for (int Dark = 1; Dark <= 600; Dark += 7) {
    CAPTURE(Dark);
    duration Span = fromMilliseconds(Dark);
    CHECK(connectedAfter(Span) - Span <= fromMilliseconds(550));
  }
  CHECK(connectedAfter(fromMilliseconds(180)) <= fromMilliseconds(200));
}

TEST_CASE("link: a peer that answers slowly is reached in the end") {
  dial_schedule Schedule;
  duration Answer = fromMilliseconds(900);
  int Dials = 1;
  for (; Schedule.Timeout < Answer; ++Dials)
    noteDialEnded(Schedule);
  CHECK(Dials <= 7);
  notePeerAnswered(Schedule);
  CHECK(Schedule.Timeout < Answer);
}
