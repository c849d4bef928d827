#include "modules/link/link_heartbeat.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

time_point at(std::int64_t Milliseconds) {
  return time_point(fromMilliseconds(1000000 + Milliseconds));
}

/// The two ends of a link, with a network delay between them. Heartbeats are
/// checked at the interval of the hub's timer.
struct simulated_link {
  static constexpr std::int64_t TickMs = 250;
  heartbeat_settings Settings;
  heartbeat_state Ends[2];
  std::int64_t DelayMs = 12;
  /// A frame in transit to one of the ends: a message or a heartbeat.
  struct in_flight_frame {
    std::int64_t ArrivesAt;
    int To;
    bool IsMessage;
  };
  std::vector<in_flight_frame> InFlight;
  std::uint64_t Heartbeats = 0;

  simulated_link() {
    for (auto &End : Ends)
      End = {at(0), at(0), at(0), at(0)};
  }

  void send(int From, bool IsMessage, std::int64_t Now) {
    Ends[From].LastSentAt = at(Now);
    if (IsMessage)
      recordMessage(Ends[From], Settings, at(Now));
    InFlight.push_back({Now + DelayMs, 1 - From, IsMessage});
  }

  /// Advances the simulation to Now. Returns whether an end has timed out.
  bool step(std::int64_t Now, bool SecondFrozen) {
    std::erase_if(InFlight, [&](const in_flight_frame &Frame) {
      if (Frame.ArrivesAt > Now)
        return false;
      if (Frame.To == 1 && SecondFrozen)
        return true;
      Ends[Frame.To].LastReceivedAt = at(Now);
      if (Frame.IsMessage)
        recordMessage(Ends[Frame.To], Settings, at(Now));
      return true;
    });
    if (Now % TickMs != 0)
      return false;
    bool HasTimeout = false;
    for (int End : {0, 1}) {
      if (End == 1 && SecondFrozen)
        continue;
      HasTimeout = HasTimeout || hasTimedOut(Ends[End], Settings, at(Now));
      if (isHeartbeatDue(Ends[End], Settings, at(Now))) {
        ++Heartbeats;
        send(End, false, Now);
      }
    }
    return HasTimeout;
  }
};

} // namespace

TEST_CASE(
    "link: a link whose ends run never counts as silent, whenever messages "
    "are sent") {
  bool Passed = rc::check("running ends", [] {
    simulated_link Link;
    Link.DelayMs = *rc::gen::inRange(0, 200);
    auto Gaps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 7000));
    std::int64_t Now = 0;
    for (int Gap : Gaps) {
      for (int Step = 0; Step < Gap && Now < 60000; ++Step)
        RC_ASSERT(!Link.step(++Now, false));
      Link.send(Gap % 2, true, Now);
    }
  });
  CHECK(Passed);
}

TEST_CASE(
    "link: a frozen peer is detected within the timeout after a message") {
  for (std::int64_t IdleMs : {100, 1900, 2100, 3300}) {
    CAPTURE(IdleMs);
    simulated_link Link;
    std::int64_t Now = 0;
    Link.send(0, true, Now);
    while (Now < IdleMs)
      Link.step(++Now, false);
    Link.send(0, true, Now);
    std::int64_t SentAt = Now;
    while (!Link.step(++Now, true))
      REQUIRE(Now - SentAt < 5000);
    CHECK(Now - SentAt <= 1000 + simulated_link::TickMs + 1);
  }
}

TEST_CASE("link: the peer of an active link is suspected before it "
          "counts as silent") {
  // Many VMs lose power at once, and most links to them are idle.
  heartbeat_settings Settings;
  heartbeat_state Heartbeat{at(0), at(0), at(0), at(0)};
  CHECK_FALSE(isSuspected(Heartbeat, Settings, at(400)));
  CHECK(isSuspected(Heartbeat, Settings, at(600)));
  CHECK_FALSE(hasTimedOut(Heartbeat, Settings, at(600)));
  // The peer of an idle link is not suspected. The link becomes active with the
  // next message.
  CHECK(isIdle(Heartbeat, Settings, at(2100)));
  CHECK_FALSE(isSuspected(Heartbeat, Settings, at(2100)));
  recordMessage(Heartbeat, Settings, at(2100));
  CHECK_FALSE(isIdle(Heartbeat, Settings, at(2100)));
  CHECK_FALSE(hasTimedOut(Heartbeat, Settings, at(3000)));
  CHECK(hasTimedOut(Heartbeat, Settings, at(3200)));
}

TEST_CASE("link: an idle link sends a sixth of the heartbeats") {
  simulated_link Link;
  for (std::int64_t Now = 1; Now <= 2000; ++Now)
    Link.step(Now, false);
  Link.Heartbeats = 0;
  for (std::int64_t Now = 2001; Now <= 62000; ++Now)
    Link.step(Now, false);
  CHECK(Link.Heartbeats <= 2 * 60000 / 1500);
}
