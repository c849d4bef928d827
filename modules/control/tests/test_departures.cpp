#include "modules/control/control_state.h"
#include "modules/control/pause_promotion.h"
#include "modules/control/returning_upstreams.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

const group_id Group("g");

upstream_announcement announcementOf(int Upstream, std::uint64_t Incarnation) {
  upstream_announcement Announcement;
  Announcement.Group = Group;
  Announcement.Upstream = upstream_id("u" + std::to_string(Upstream));
  Announcement.Address = {"10.0.0.1", 5432};
  Announcement.Incarnation = incarnation(Incarnation);
  return Announcement;
}

/// What has been applied of one incarnation.
struct incarnation_record {
  bool SaidLeaving = false;
  bool IsGone = false;
};

void restart(control_state &State) {
  State = decodeSnapshot(encodeSnapshot(State));
}

} // namespace

TEST_CASE("control: an upstream that has left or is leaving is not in use "
          "again, whatever arrives late or after a restart") {
  bool Passed = rc::check("departures", [] {
    control_state State;
    std::uint64_t Index = 0;
    std::map<std::pair<int, std::uint64_t>, incarnation_record> Records;
    std::map<int, std::uint64_t> Newest;
    for (int Step = *rc::gen::inRange(1, 60); Step > 0; --Step) {
      int Upstream = *rc::gen::inRange(0, 3);
      auto Incarnation = *rc::gen::inRange<std::uint64_t>(1, 6);
      auto Announcement = announcementOf(Upstream, Incarnation);
      Announcement.Leaving = *rc::gen::inRange(0, 4) == 0;
      Announcement.Gone = *rc::gen::inRange(0, 4) == 0;
      if (*rc::gen::inRange(0, 5) == 0)
        restart(State);
      applyCommand(State, revision(++Index),
                   makeAnnouncementCommand(Announcement));
      auto &Highest = Newest[Upstream];
      auto &Record = Records[{Upstream, Incarnation}];
      bool IsCurrent = Incarnation >= Highest && !Record.IsGone;
      if (Announcement.Gone && IsCurrent && Highest == Incarnation)
        Record.IsGone = true;
      if (!Announcement.Gone && IsCurrent) {
        Highest = Incarnation;
        Record.SaidLeaving = Record.SaidLeaving || Announcement.Leaving;
      }
      for (const auto &[Name, Known] : State.Groups[Group].Upstreams) {
        int Number = Name.Value.back() - '0';
        const auto &Of = Records[{Number, Known.Incarnation.Value}];
        RC_ASSERT(!Of.IsGone);
        RC_ASSERT(Known.Incarnation.Value == Newest[Number]);
        if (Of.SaidLeaving)
          RC_ASSERT(Known.Leaving);
      }
    }
  });
  CHECK(Passed);
}

TEST_CASE("control: an upstream that was only cut off for long is in use again "
          "once it certainly runs") {
  control_state State;
  leader_state Leader;
  time_point Now(std::chrono::seconds(100));
  auto Silent = announcementOf(1, 7);
  applyCommand(State, revision(1), makeAnnouncementCommand(Silent));
  // Given up after a long silence, as removeLostReplica() does.
  auto Next = State.Groups[Group];
  Next.Departed.push_back({Silent.Upstream, Silent.Incarnation, true});
  Next.Upstreams.clear();
  applyCommand(State, revision(2), makeGroupCommand(Next));
  restart(State);
  REQUIRE(State.Groups[Group].Upstreams.empty());
  REQUIRE(mayReturn(State.Groups[Group], Silent));
  // Announcements that were held up arrive together.
  CHECK_FALSE(hasReturned(Leader, Silent, Now));
  CHECK_FALSE(hasReturned(Leader, Silent, Now + fromMilliseconds(20)));
  applyCommand(State, revision(3), makeAnnouncementCommand(Silent));
  CHECK(State.Groups[Group].Upstreams.empty());
  // The next one is sent after the silence.
  CHECK(hasReturned(Leader, Silent, Now + fromMilliseconds(1200)));
  applyCommand(State, revision(4), makeAnnouncementCommand(Silent, true));
  CHECK(State.Groups[Group].Upstreams.contains(Silent.Upstream));
  CHECK_FALSE(mayReturn(State.Groups[Group], Silent));
}

TEST_CASE("control: an upstream that has left does not return") {
  control_state State;
  auto Left = announcementOf(1, 7);
  applyCommand(State, revision(1), makeAnnouncementCommand(Left));
  Left.Gone = true;
  applyCommand(State, revision(2), makeAnnouncementCommand(Left));
  Left.Gone = false;
  CHECK_FALSE(mayReturn(State.Groups[Group], Left));
  applyCommand(State, revision(3), makeAnnouncementCommand(Left, true));
  CHECK(State.Groups[Group].Upstreams.empty());
  // Nor does one that was given up and replaced.
  auto Next = State.Groups[Group];
  Next.Departed.push_back({upstream_id("u2"), incarnation(3), true});
  applyCommand(State, revision(4), makeGroupCommand(Next));
  applyCommand(State, revision(5),
               makeAnnouncementCommand(announcementOf(2, 4)));
  CHECK_FALSE(mayReturn(State.Groups[Group], announcementOf(2, 3)));
}

// Guards against an announcement of another writer without an incarnation that
// takes the place of the upstream's own: control then ignored that the upstream
// was leaving, and acknowledged it.
TEST_CASE("control: an announcement without an incarnation does not replace "
          "one that has it") {
  control_state State;
  applyCommand(State, revision(1),
               makeAnnouncementCommand(announcementOf(1, 7)));
  applyCommand(State, revision(2),
               makeAnnouncementCommand(announcementOf(1, 0)));
  auto &Group = State.Groups[::Group];
  CHECK(Group.Upstreams.at(upstream_id("u1")).Incarnation.Value == 7);
  CHECK(Group.Departed.empty());
  CHECK_FALSE(Group.Dirty);
  auto Leaving = announcementOf(1, 7);
  Leaving.Leaving = true;
  CHECK_FALSE(isOutdated(Group, Leaving));
  applyCommand(State, revision(3), makeAnnouncementCommand(Leaving));
  CHECK(Group.Upstreams.at(upstream_id("u1")).Leaving);
  Leaving.Gone = true;
  applyCommand(State, revision(4), makeAnnouncementCommand(Leaving));
  applyCommand(State, revision(5),
               makeAnnouncementCommand(announcementOf(1, 0)));
  CHECK(Group.Upstreams.empty());
}
