#include "modules/control/open_orders.h"
#include "modules/control/pause_progress.h"
#include "modules/control/pause_promotion.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

const upstream_id First("u0");
const upstream_id Second("u1");

/// A group with a primary and a replica, which one gateway reaches.
struct group_fixture {
  control_state State;
  leader_state Leader;
  decision_settings Settings;
  time_point Now{fromMilliseconds(100000)};
  std::uint64_t Index = 0;

  group_fixture() {
    Leader.LeadingSince = Now - fromMilliseconds(60000);
    auto &Group = group();
    Group.Group = group_id("g");
    Group.Removed = false;
    Group.Term = term(4);
    Group.Primary = First;
    auto &Share = Group.Gateways.emplace_back();
    Share.Vm = vm_id("gateway");
    Share.Address = {"10.0.0.9", 7000};
    for (const auto &Name : {First, Second}) {
      auto &Upstream = Group.Upstreams[Name];
      Upstream.Group = Group.Group;
      Upstream.Upstream = Name;
      Upstream.Incarnation = incarnation(1);
      Upstream.Address = {"10.0.0.1", 5432};
    }
    report(First, term(4));
  }

  group_state &group() { return State.Groups[group_id("g")]; }

  /// The gateway reports that this upstream leads the term.
  void report(const upstream_id &Primary, term Term) {
    auto &Vm = Leader.Vms[vm_id("gateway")];
    Vm.LastReceivedAt = Now;
    auto &Report = Vm.Groups[group().Group];
    Report.ReceivedAt = Now;
    for (const auto &Name : {First, Second}) {
      auto &Seen = Report.Upstreams[Name];
      Seen.Upstream = Name;
      Seen.Reachable = true;
      Seen.IsReplica = Name != Primary;
      Seen.Replayed = Seen.Received = {Term, 7};
    }
  }

  /// Decides, and commits the change if there is one. An overtaken change is
  /// proposed but has no effect.
  group_decision decide(bool IsOvertaken = false) {
    Leader.Vms[vm_id("gateway")].LastReceivedAt = Now;
    auto Decision = decidePausePromotion(group(), Leader, Settings, Now);
    recordOrderDecided(Decision, Leader);
    recordPausingBegins(Decision, Leader);
    if (Decision.Next && !IsOvertaken)
      applyCommand(State, revision(++Index), makeGroupCommand(*Decision.Next));
    return Decision;
  }

  /// Decides, and sends the order that is due; returns whether there was one.
  bool sendOrder() {
    auto Decision = decide();
    if (!Decision.Order)
      return false;
    recordPlatformOrderSent(group(), Leader, Now);
    return true;
  }

  void answer(promotion_answer Answer) {
    recordPlatformAnswer(group().Group, Leader, group().OrderNumber, Answer,
                         Now);
  }

  void changeLeader() {
    Leader = leader_state();
    Leader.LeadingSince = Now;
    report(*group().Primary, group().Term);
  }

  void restartAll() {
    State = decodeSnapshot(encodeSnapshot(State));
    changeLeader();
  }

  /// The gateway has paused the upstream, which announced itself after that.
  void confirmPause(const upstream_id &Name) {
    recordPausesSent(group(), Leader, {{vm_id("gateway"), incarnation()}}, Now);
    wire::fence_reply Reply;
    Reply.term = static_cast<std::int64_t>(group().Term.Value);
    auto &Seen = Reply.upstreams.emplace_back();
    Seen.upstream = Name.Value;
    Seen.reachable = Seen.paused = Seen.replica = true;
    Seen.received = toWire(position{term(4), 7});
    recordPauseReply(group(), Leader, Reply, Now, Now);
    Leader.LastAnnouncements[{group().Group, Name}] = {
        group().Upstreams.at(Name).Incarnation, Now};
  }

  /// The upstream was chosen, and has been paused.
  promotion_state &choose(const upstream_id &Chosen,
                          const upstream_id &Deposed) {
    group().Primary.reset();
    auto &Promotion = group().Promotion.emplace();
    Promotion.Phase = promotion_phase::Ordering;
    Promotion.FencedTerm = term(4);
    Promotion.Deposed = Deposed;
    Promotion.DeposedIncarnation = incarnation(1);
    Promotion.Chosen = Promotion.LastChosen = Chosen;
    Promotion.ChosenIncarnation = incarnation(1);
    Promotion.ChosenPosition = {term(4), 7};
    confirmPause(Chosen);
    return Promotion;
  }

  /// The upstream starts again under its id.
  void restart(const upstream_id &Name) {
    auto Announcement = group().Upstreams.at(Name);
    ++Announcement.Incarnation.Value;
    applyCommand(State, revision(++Index),
                 makeAnnouncementCommand(Announcement));
  }

  /// The order for the second upstream was sent by two leaders, and it leads
  /// after the first of them.
  void promoteTwice() {
    choose(Second, First).Planned = true;
    addOrder(group(), Second);
    REQUIRE(decide().Kind == "promote_again");
    REQUIRE(sendOrder());
    answer(promotion_answer::Accepted);
    report(Second, term(5));
    REQUIRE(decide().Kind == "promoted");
    REQUIRE((group().Primary == Second));
  }
};

} // namespace

// Guards against the loss of commits by an order that takes effect twice: the
// upstream was demoted after the first time, led again after the second one,
// and the order for its successor discarded what was written meanwhile.
TEST_CASE("control: a primary is not demoted while a further order for it may "
          "take effect") {
  group_fixture Fixture;
  Fixture.promoteTwice();
  Fixture.group().Upstreams[Second].Leaving = true;
  CHECK(Fixture.group().OpenOrders.at(Second) == 1);
  CHECK_FALSE(Fixture.decide().Next);
  Fixture.Now += Fixture.Settings.OrderEffectTimeout - fromMilliseconds(1);
  CHECK_FALSE(Fixture.decide().Next);
  Fixture.Now += fromMilliseconds(1);
  CHECK(Fixture.decide().Kind == "orders_ended");
  CHECK(Fixture.decide().Kind == "handover");
  CHECK(Fixture.group().Promotion->Planned);
}

// Guards against a mark that nothing ends: no primary of the group was demoted
// any more, so that hand-overs waited for upstreams that had left.
TEST_CASE("control: open orders end under this leader, under the next one, and "
          "after a restart of all") {
  group_fixture Fixture;
  Fixture.promoteTwice();
  SUBCASE("this leader") {}
  SUBCASE("the next leader") { Fixture.changeLeader(); }
  SUBCASE("a restart of all") { Fixture.restartAll(); }
  SUBCASE("no answer at first") {
    Fixture.changeLeader();
    CHECK(Fixture.decide().Kind == "order_primary");
    CHECK(Fixture.sendOrder());
    Fixture.Now += Fixture.Settings.PlatformTimeout;
    CHECK(Fixture.decide().Kind == "order_primary");
  }
  if (auto Decision = Fixture.decide(); Decision.Kind == "order_primary")
    Fixture.decide();
  if (Fixture.sendOrder())
    Fixture.answer(promotion_answer::Accepted);
  Fixture.Now += Fixture.Settings.OrderEffectTimeout;
  CHECK(Fixture.decide().Kind == "orders_ended");
  CHECK(Fixture.group().OpenOrders.empty());
  CHECK_FALSE(Fixture.decide().Next);
}

// Guards against an open order that is counted although its effect was seen:
// the leader had forgotten the platform's answer when its change was overtaken
// by an announcement.
TEST_CASE("control: a change that is overtaken leaves no open order") {
  group_fixture Fixture;
  Fixture.group().Upstreams[First].Leaving = true;
  Fixture.choose(Second, First).Planned = true;
  CHECK(Fixture.decide().Kind == "promote_again");
  CHECK(Fixture.sendOrder());
  Fixture.answer(promotion_answer::Accepted);
  Fixture.report(Second, term(5));
  CHECK(Fixture.decide(true).Kind == "promoted");
  CHECK(Fixture.decide().Kind == "promoted");
  CHECK(Fixture.group().OpenOrders.empty());
}

// Guards against the loss of commits that are written to an upstream which
// leads while an accepted order for another one is still to take effect.
TEST_CASE(
    "control: no upstream is adopted or chosen while an order for another "
    "one may take effect") {
  group_fixture Fixture;
  Fixture.choose(First, upstream_id("gone"));
  CHECK(Fixture.decide().Kind == "promote_again");
  CHECK(Fixture.sendOrder());
  Fixture.answer(promotion_answer::Accepted);
  Fixture.report(Second, term(5));
  CHECK_FALSE(Fixture.decide().Next);
  Fixture.Now += Fixture.Settings.OrderEffectTimeout;
  Fixture.report(Second, term(5));
  CHECK(Fixture.decide().Kind == "promoted");
}

// Guards against open orders of an earlier build that are taken for none.
TEST_CASE("control: orders in records of an earlier build count as open") {
  group_fixture Fixture;
  auto Command = makeGroupCommand(Fixture.group());
  Command.group.unsettled_orders = true;
  applyCommand(Fixture.State, revision(++Fixture.Index), Command);
  CHECK(Fixture.group().OpenOrders.size() == 1);
  CHECK(Fixture.decide().Kind == "order_primary");
}

// Guards against the promotion of a process without a log: the one that was
// chosen has ended, and the order for its id is repeated.
TEST_CASE("control: the choice is made again if the chosen process has ended") {
  group_fixture Fixture;
  Fixture.choose(Second, First);
  REQUIRE(Fixture.decide().Kind == "promote_again");
  REQUIRE(Fixture.sendOrder());
  Fixture.answer(promotion_answer::Accepted);
  SUBCASE("this leader") {}
  SUBCASE("the next leader") {
    Fixture.State = decodeSnapshot(encodeSnapshot(Fixture.State));
    Fixture.Leader = leader_state();
    Fixture.Leader.LeadingSince = Fixture.Now;
  }
  Fixture.restart(Second);
  CHECK(Fixture.decide().Kind == "choose_again");
  auto &Promotion = *Fixture.group().Promotion;
  CHECK((Promotion.Phase == promotion_phase::Fencing));
  CHECK(Promotion.HasLostChosen);
  // The order may still promote the process that has the id now.
  CHECK(Fixture.group().OpenOrders.contains(Second));
  CHECK(Promotion.MayHaveLed);
}

// Guards against an order that is repeated for a process which has started
// under the id since and has not announced itself yet.
TEST_CASE("control: an order is repeated only once the chosen process has "
          "answered again") {
  for (bool Answers : {true, false})
    for (auto Answer : {std::optional<promotion_answer>(),
                        std::optional(promotion_answer::Unknown),
                        std::optional(promotion_answer::Accepted)}) {
      group_fixture Fixture;
      Fixture.choose(Second, First);
      REQUIRE(Fixture.decide().Kind == "promote_again");
      REQUIRE(Fixture.sendOrder());
      if (Answer)
        Fixture.answer(*Answer);
      Fixture.Now += Answer == promotion_answer::Accepted
                         ? Fixture.Settings.PromotionTimeout
                         : Fixture.Settings.PlatformTimeout;
      auto Waiting = Fixture.decide();
      CHECK_FALSE(Waiting.Next);
      CHECK(Waiting.FenceTargets.size() == 1);
      if (Answers)
        Fixture.confirmPause(Second);
      else
        Fixture.Now += fromMilliseconds(1000);
      CHECK(Fixture.decide().Kind ==
            (Answers ? "promote_again" : "choose_again"));
    }
}

// Guards against an order that ends earlier orders and promotes a process
// without a log, which has started under the primary's id.
TEST_CASE("control: no order is made for a primary that is not seen to lead") {
  group_fixture Fixture;
  Fixture.promoteTwice();
  Fixture.changeLeader();
  Fixture.report(First, term(5));
  auto Decision = Fixture.decide();
  CHECK(Decision.Kind != "order_primary");
}

// Guards against positions that were read before the replicas received more:
// an earlier promotion of the same term was abandoned, and they were resumed.
TEST_CASE("control: the answer to an earlier promotion does not count") {
  group_fixture Fixture;
  Fixture.choose(Second, First);
  auto &Progress = Fixture.Leader.PausePromotions.at(Fixture.group().Group);
  auto SentAt = Fixture.Now;
  Progress = pause_progress();
  Fixture.Now += fromMilliseconds(500);
  Progress.StartedAt = Fixture.Now;
  wire::fence_reply Late;
  Late.term = 4;
  auto &Seen = Late.upstreams.emplace_back();
  Seen.upstream = Second.Value;
  Seen.reachable = Seen.paused = Seen.replica = true;
  recordPauseReply(Fixture.group(), Fixture.Leader, Late, SentAt, Fixture.Now);
  CHECK(Progress.PausedReplicas.empty());
  recordPauseReply(Fixture.group(), Fixture.Leader, Late, Fixture.Now,
                   Fixture.Now);
  CHECK(Progress.PausedReplicas.contains(Second));
}
