#include "modules/control/promotion_orders.h"
#include "modules/control/tests/promotion_simulation.h"

#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>

using namespace teasellock;
using testing::promotion_simulation;

namespace {

struct simulation_result {
  std::optional<int> Lost;
  std::uint64_t Promotions = 0;
  std::size_t Acknowledged = 0;
};

simulation_result simulate(const std::vector<std::uint32_t> &Choices,
                           const promotion_rules &Rules, bool FollowedTerm) {
  promotion_simulation Simulation(Rules, FollowedTerm);
  simulation_result Result;
  for (auto Choice : Choices) {
    Simulation.step(Choice);
    Result.Lost = Simulation.lostWrite();
    if (Result.Lost)
      break;
  }
  Result.Promotions = Simulation.promotions();
  Result.Acknowledged = Simulation.acknowledged();
  return Result;
}

std::vector<std::uint32_t> choicesOf(std::uint32_t Seed) {
  constexpr std::size_t Steps = 250;
  std::mt19937 Random(Seed);
  std::vector<std::uint32_t> Choices(Steps);
  for (auto &Choice : Choices)
    Choice = Random();
  return Choices;
}

constexpr std::uint32_t MaxSeeds = 20000;

/// Returns the first seed with which an acknowledged write is lost.
std::optional<std::uint32_t> losingSeed(const promotion_rules &Rules,
                                        bool FollowedTerm = false) {
  for (std::uint32_t Seed = 0; Seed < MaxSeeds; ++Seed)
    if (simulate(choicesOf(Seed), Rules, FollowedTerm).Lost)
      return Seed;
  return std::nullopt;
}

} // namespace

TEST_CASE("control: no acknowledged write is lost over promotions, crashes, "
          "lost leases and late messages") {
  bool Held = rc::check("the primary holds every acknowledged write", [] {
    auto Choices = choicesOf(*rc::gen::resize(
        rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
    Choices.resize(*rc::gen::resize(
        rc::kNominalSize, rc::gen::inRange<std::size_t>(1, Choices.size())));
    RC_ASSERT(!simulate(Choices, promotion_rules(), false).Lost);
  });
  CHECK(Held);
}

TEST_CASE("control: no acknowledged write is lost with fixed seeds") {
  constexpr std::uint32_t Seeds = 3000;
  std::uint64_t Promotions = 0;
  std::size_t Acknowledged = 0;
  for (std::uint32_t Seed = 0; Seed < Seeds; ++Seed) {
    auto Result = simulate(choicesOf(Seed), promotion_rules(), false);
    CAPTURE(Seed);
    REQUIRE_FALSE(Result.Lost.has_value());
    Promotions += Result.Promotions;
    Acknowledged += Result.Acknowledged;
  }
  MESSAGE("promotions " << Promotions << ", acknowledged " << Acknowledged);
  CHECK(Promotions > Seeds);
  CHECK(Acknowledged > Seeds);
}

TEST_CASE("control: a gateway that did not reply in a promotion and is "
          "reachable again is fenced in the next") {
  constexpr std::size_t Steps = 400;
  for (std::uint32_t Seed : {1006006u, 2012176u}) {
    std::mt19937 Random(Seed);
    std::vector<std::uint32_t> Choices(Steps);
    for (auto &Choice : Choices)
      Choice = Random();
    CHECK_FALSE(simulate(Choices, promotion_rules(), false).Lost.has_value());
  }
}

TEST_CASE("control: each part of the promotion rule is needed") {
  auto Loses = [](bool promotion_rules::*Part) {
    promotion_rules Rules;
    Rules.*Part = false;
    auto Seed = losingSeed(Rules);
    if (Seed)
      MESSAGE("lost with seed " << *Seed);
    return Seed.has_value();
  };
  SUBCASE("watermark") { CHECK(Loses(&promotion_rules::CheckWatermark)); }
  SUBCASE("quorum") { CHECK(Loses(&promotion_rules::RequireQuorum)); }
  SUBCASE("lease") {
    // Without leases there is no time from which positions are fresh.
    promotion_rules Rules;
    Rules.WaitForLeases = false;
    Rules.RequireFreshPositions = false;
    CHECK(losingSeed(Rules).has_value());
  }
  SUBCASE("term order") { CHECK(Loses(&promotion_rules::CompareTerms)); }
  SUBCASE("dirty") { CHECK(Loses(&promotion_rules::CheckDirty)); }
  SUBCASE("carry") { CHECK(Loses(&promotion_rules::RaiseWatermark)); }
  SUBCASE("term of the last record") {
    CHECK(losingSeed(promotion_rules(), true).has_value());
  }
}

namespace {

/// A group with two gateways: "heard" replied to the fence while "silent" still
/// held its lease.
struct partly_fenced_group {
  group_state Group;
  leader_state Leader;
  decision_settings Settings;
  time_point Start{fromMilliseconds(100000)};
  gateway_incarnation Replied{vm_id("heard"), incarnation(1)};
  gateway_incarnation Silent{vm_id("silent"), incarnation(1)};

  partly_fenced_group() {
    Group.Group = group_id("g");
    Group.Removed = false;
    Group.Term = term(1);
    Group.MinAckReplicas = 1;
    for (const char *Name : {"old", "left", "right"})
      Group.Upstreams[upstream_id(Name)].Upstream = upstream_id(Name);
    Group.Promotion = promotion_state();
    Group.Promotion->FencedTerm = term(1);
    Group.Promotion->Deposed = upstream_id("old");
    for (const auto &Gateway : {Replied, Silent}) {
      share_holder Holder;
      Holder.Vm = Gateway.first;
      Holder.Incarnation = Gateway.second;
      Group.Holders.push_back(Holder);
    }
    Leader.LeaseEnds[Replied] = Start + fromMilliseconds(5000);
    Leader.LeaseEnds[Silent] = Start + fromMilliseconds(2000);
  }

  void answer(std::uint64_t Left, std::uint64_t Right, time_point FenceSentAt) {
    wire::fence_reply Reply;
    Reply.term = 1;
    for (const auto &[Name, Offset] :
         {std::pair("left", Left), std::pair("right", Right)}) {
      wire::upstream_report Report;
      Report.upstream = Name;
      Report.reachable = true;
      Report.replica = true;
      Report.replayed = toWire(position{term(1), Offset});
      Reply.upstreams.push_back(Report);
    }
    recordFenceReply(Group, Leader, Replied, Reply, FenceSentAt);
  }

  std::optional<upstream_id> chosen(time_point Now) const {
    auto Decision = decidePromotion(Group, Leader, Settings, Now);
    if (!Decision.Next)
      return std::nullopt;
    return Decision.Next->Promotion->Chosen;
  }
};

} // namespace

TEST_CASE("control: positions probed before the lease of a silent gateway "
          "ended do not choose the candidate") {
  partly_fenced_group Scenario;
  time_point Later = Scenario.Start + fromMilliseconds(2100);
  Scenario.answer(10, 8, Scenario.Start);
  // The silent gateway acknowledges 12, flushed by "right", and loses its
  // lease.
  CHECK_FALSE(Scenario.chosen(Scenario.Start).has_value());
  CHECK_FALSE(Scenario.chosen(Later).has_value());
  auto Weaker = Scenario;
  Weaker.Settings.Rules.RequireFreshPositions = false;
  CHECK((Weaker.chosen(Later) == upstream_id("left")));
  Scenario.answer(10, 12, Later);
  CHECK((Scenario.chosen(Later) == upstream_id("right")));
}

TEST_CASE("control: a former gateway stays a holder until it no longer reports "
          "the group") {
  control_state State;
  leader_state Leader;
  decision_settings Settings;
  time_point Now{fromMilliseconds(100000)};
  Leader.LeadingSince = Now;
  group_state Group;
  Group.Group = group_id("g");
  Group.Removed = false;
  share_holder Holder;
  Holder.Vm = vm_id("former");
  Holder.Incarnation = incarnation(1);
  Holder.RemovedAt = revision(5);
  Group.Holders.push_back(Holder);
  auto &Vm = Leader.Vms[Holder.Vm];
  Vm.Incarnation = Holder.Incarnation;
  Vm.AppliedRevision = revision(4);
  auto Decide = [&] {
    return decideAssignment(State, Group, Leader, Settings, Now).Next;
  };
  CHECK_FALSE(Decide().has_value());
  Vm.AppliedRevision = revision(5);
  Vm.Groups[Group.Group] = {};
  CHECK_FALSE(Decide().has_value());
  Vm.Groups.clear();
  auto Next = Decide();
  REQUIRE(Next.has_value());
  CHECK(Next->Holders.empty());
  CHECK(Next->Dirty);
}
