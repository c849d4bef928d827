#include "modules/link/link_pulse.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

time_point at(std::int64_t Milliseconds) {
  return time_point(fromMilliseconds(1000000 + Milliseconds));
}

/// Two ends of a link with a delay between them; the tick is that of the hub.
struct two_ends {
  static constexpr std::int64_t TickMs = 250;
  pulse_settings Settings;
  link_pulse Ends[2];
  std::int64_t DelayMs = 12;
  /// What is on its way: when it arrives, at which end, whether a message.
  struct flight {
    std::int64_t At;
    int To;
    bool Message;
  };
  std::vector<flight> Flights;
  std::uint64_t Heartbeats = 0;

  two_ends() {
    for (auto &End : Ends)
      End = {at(0), at(0), at(0), at(0)};
  }

  void send(int From, bool Message, std::int64_t Now) {
    Ends[From].LastSent = at(Now);
    if (Message)
      noteMessage(Ends[From], Settings, at(Now));
    Flights.push_back({Now + DelayMs, 1 - From, Message});
  }

  /// Returns whether an end called the other silent.
  bool step(std::int64_t Now, bool SecondFrozen) {
    std::erase_if(Flights, [&](const flight &Flight) {
      if (Flight.At > Now)
        return false;
      if (Flight.To == 1 && SecondFrozen)
        return true;
      Ends[Flight.To].LastHeard = at(Now);
      if (Flight.Message)
        noteMessage(Ends[Flight.To], Settings, at(Now));
      return true;
    });
    if (Now % TickMs != 0)
      return false;
    bool Silent = false;
    for (int End : {0, 1}) {
      if (End == 1 && SecondFrozen)
        continue;
      Silent = Silent || isSilent(Ends[End], Settings, at(Now));
      if (heartbeatDue(Ends[End], Settings, at(Now))) {
        ++Heartbeats;
        send(End, false, Now);
      }
    }
    return Silent;
  }
};

} // namespace

TEST_CASE("link: whenever messages are sent, a link whose ends run is never "
          "called silent") {
  bool Held = rc::check("running ends", [] {
    two_ends Link;
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
  CHECK(Held);
}

TEST_CASE("link: a frozen peer is noticed within the limit once it is asked") {
  for (std::int64_t IdleMs : {100, 1900, 2100, 3300}) {
    CAPTURE(IdleMs);
    two_ends Link;
    std::int64_t Now = 0;
    Link.send(0, true, Now);
    while (Now < IdleMs)
      Link.step(++Now, false);
    Link.send(0, true, Now);
    std::int64_t Asked = Now;
    while (!Link.step(++Now, true))
      REQUIRE(Now - Asked < 5000);
    CHECK(Now - Asked <= 1000 + two_ends::TickMs + 1);
  }
}

TEST_CASE("link: a peer in use is doubtful before it counts as silent") {
  // Pattern: many VMs lose power at once, and most links to them are idle.
  pulse_settings Settings;
  link_pulse Pulse{at(0), at(0), at(0), at(0)};
  CHECK_FALSE(isDoubtful(Pulse, Settings, at(400)));
  CHECK(isDoubtful(Pulse, Settings, at(600)));
  CHECK_FALSE(isSilent(Pulse, Settings, at(600)));
  // Idle links are no reason to doubt; they wake with the next message.
  CHECK(isIdle(Pulse, Settings, at(2100)));
  CHECK_FALSE(isDoubtful(Pulse, Settings, at(2100)));
  noteMessage(Pulse, Settings, at(2100));
  CHECK_FALSE(isIdle(Pulse, Settings, at(2100)));
  CHECK_FALSE(isSilent(Pulse, Settings, at(3000)));
  CHECK(isSilent(Pulse, Settings, at(3200)));
}

TEST_CASE("link: an idle link costs a sixth of the heartbeats") {
  two_ends Link;
  for (std::int64_t Now = 1; Now <= 2000; ++Now)
    Link.step(Now, false);
  Link.Heartbeats = 0;
  for (std::int64_t Now = 2001; Now <= 62000; ++Now)
    Link.step(Now, false);
  CHECK(Link.Heartbeats <= 2 * 60000 / 1500);
}
