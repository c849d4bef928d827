#include "modules/membership/member_state.h"

#include "core/compression.h"
#include "modules/deployment/deployment_patch.h"
#include "modules/link/codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

wire::group_view viewAt(std::int64_t Revision) {
  wire::group_view View;
  View.group = "g";
  View.revision = Revision;
  View.term = Revision;
  return View;
}

wire::renewal_reply replyAt(std::int64_t Revision) {
  wire::renewal_reply Reply;
  Reply.granted = true;
  Reply.lease_ms = 2000;
  Reply.revision = Revision;
  return Reply;
}

const time_point Start{fromMilliseconds(1000)};

} // namespace

TEST_CASE("membership: views and the applied revision never go back, whatever "
          "the order of replies") {
  bool Passed = rc::check("views", [] {
    member_state State;
    auto Revisions =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50));
    revision Highest;
    for (int Revision : Revisions) {
      auto Reply = replyAt(Revision);
      Reply.groups.push_back(viewAt(Revision - Revision % 3));
      auto Changed = applyRenewalReply(State, Reply, Start);
      RC_ASSERT(State.Applied >= Highest);
      Highest = State.Applied;
      const auto &Views = State.Views;
      if (!Views.empty())
        RC_ASSERT(Views.begin()->second.Revision <= State.Applied);
      static_cast<void>(Changed);
    }
    if (!Revisions.empty())
      RC_ASSERT(Highest.Value == static_cast<std::uint64_t>(*std::max_element(
                                     Revisions.begin(), Revisions.end())));
  });
  CHECK(Passed);
}

TEST_CASE("membership: an answer that is behind changes no view and grants no "
          "lease") {
  member_state State;
  auto Reply = replyAt(9);
  Reply.groups.push_back(viewAt(9));
  applyRenewalReply(State, Reply, Start);
  auto Behind = replyAt(4);
  Behind.groups.push_back(viewAt(4));
  CHECK(
      applyRenewalReply(State, Behind, Start + fromMilliseconds(5000)).empty());
  CHECK((State.Views.at(group_id("g")).Revision == revision(9)));
  CHECK_FALSE(isLeaseValid(State, Start + fromMilliseconds(2000)));
}

TEST_CASE("membership: the lease counts from before the renewal was sent") {
  member_state State;
  CHECK_FALSE(isLeaseValid(State, Start));
  applyRenewalReply(State, replyAt(1), Start);
  CHECK(isLeaseValid(State, Start + fromMilliseconds(1999)));
  CHECK_FALSE(isLeaseValid(State, Start + fromMilliseconds(2000)));
  auto Refused = replyAt(2);
  Refused.granted = false;
  applyRenewalReply(State, Refused, Start + fromMilliseconds(1000));
  CHECK_FALSE(isLeaseValid(State, Start + fromMilliseconds(2500)));
}

TEST_CASE(
    "membership: a share of an earlier incarnation of this VM is removed") {
  member_state State;
  State.Self = vm_id("me");
  State.Incarnation = incarnation(2);
  auto Reply = replyAt(3);
  auto View = viewAt(3);
  for (std::int64_t Incarnation : {1, 2}) {
    wire::gateway_share Share;
    Share.vm = "me";
    Share.incarnation = Incarnation;
    Share.address = "10.0.0.1:1";
    View.gateways.push_back(Share);
  }
  Reply.groups.push_back(View);
  applyRenewalReply(State, Reply, Start);
  const auto &VisibleShares = State.Views.at(group_id("g")).Gateways;
  REQUIRE(VisibleShares.size() == 1);
  CHECK((VisibleShares.front().Incarnation == incarnation(2)));
}

TEST_CASE("membership: a promote request of an earlier term is refused") {
  member_state State;
  auto Reply = replyAt(3);
  auto View = viewAt(3);
  View.primary = "b";
  Reply.groups.push_back(View);
  applyRenewalReply(State, Reply, Start);
  wire::promote Order;
  Order.group = "g";
  Order.upstream = "a";
  Order.term = 2;
  CHECK_FALSE(promotionRefusal(State, Order).empty());
  Order.term = 3;
  CHECK_FALSE(promotionRefusal(State, Order).empty());
  Order.upstream = "b";
  CHECK(promotionRefusal(State, Order).empty());
  Order.term = 4;
  CHECK(promotionRefusal(State, Order).empty());
}

// Guards against a VM that fetches a large deployment again and again because
// the reply with it was overtaken by a small one.
TEST_CASE("membership: a deployment is taken from an outdated reply too, but "
          "never an older version") {
  member_state State;
  State.Applied = revision(9);
  auto Reply = replyAt(7);
  wire::deployment Deployment;
  Deployment.version = 4;
  Reply.__set_newer_deployment(Deployment);
  applyRenewalReply(State, Reply, Start);
  CHECK((State.Deployment.Version == deployment_version(4)));
  CHECK((State.Applied == revision(9)));
  CHECK_FALSE(isLeaseValid(State, Start));
  Reply.newer_deployment.version = 3;
  applyRenewalReply(State, Reply, Start);
  CHECK((State.Deployment.Version == deployment_version(4)));
}

TEST_CASE("membership: patches of the deployment are applied, and malformed "
          "ones change nothing") {
  member_state State;
  deployment Deployment;
  Deployment.Version = deployment_version(4);
  Deployment.Routes.resize(3);
  wire::deployment_patches Patches;
  Patches.patches = {makePatch(deployment(), Deployment)};
  auto Reply = replyAt(7);
  Reply.__set_deployment_patches(compress(encode(Patches)));
  Reply.deployment_patches.pop_back();
  CHECK_THROWS_AS(applyRenewalReply(State, Reply, Start), error);
  CHECK((State.Deployment == deployment()));
  CHECK((State.Applied == revision()));
  Reply.deployment_patches = compress(encode(Patches));
  applyRenewalReply(State, Reply, Start);
  CHECK((State.Deployment == Deployment));
}

// Guards against a VM that starts over with the pages of views because a reply
// without them has reset its cursor.
TEST_CASE("membership: a reply whose views are pending keeps revision, cursor "
          "and lease") {
  member_state State;
  State.Applied = revision(9);
  State.AfterRevision = revision(10);
  State.AfterGroup = group_id("g");
  State.LeaseEnd = Start;
  auto Reply = replyAt(9);
  Reply.views_pending = true;
  Reply.lease_ms = 0;
  applyRenewalReply(State, Reply, Start + fromMilliseconds(5));
  CHECK((State.Applied == revision(9)));
  CHECK((State.AfterRevision == revision(10)));
  CHECK((State.AfterGroup == group_id("g")));
  CHECK((State.LeaseEnd == Start));
}

TEST_CASE("membership: the assignment of limiters never goes back, and the "
          "limiter lease counts from before the renewal was sent") {
  member_state State;
  State.Self = vm_id("own");
  State.Incarnation = incarnation(2);
  wire::renewal_reply Reply;
  Reply.__set_limiter_lease_ms(10000);
  wire::limiter_assignment Assignment;
  Assignment.revision = 7;
  Assignment.slots.resize(LimiterSlotCount);
  Assignment.slots[3].vm = "own";
  Assignment.slots[3].incarnation = 2;
  Assignment.slots[3].address = "10.0.0.1:1";
  Reply.__set_limiters(Assignment);
  CHECK_FALSE(applyLimiters(State, Reply, Start));
  CHECK((State.Limiters.LeaseEnd == time_point()));
  Reply.granted = true;
  CHECK(applyLimiters(State, Reply, Start));
  CHECK((State.Limiters.LeaseEnd == Start + fromMilliseconds(10000)));
  CHECK(holdsLimiterSlot(State));
  // An earlier reply that arrives late.
  Reply.limiters.revision = 6;
  Reply.limiters.slots[3].vm = "other";
  CHECK_FALSE(applyLimiters(State, Reply, Start - fromMilliseconds(500)));
  CHECK((State.Limiters.LeaseEnd == Start + fromMilliseconds(10000)));
  CHECK(holdsLimiterSlot(State));
  // A later process of this VM does not act on the slots of an earlier one.
  State.Incarnation = incarnation(3);
  CHECK_FALSE(holdsLimiterSlot(State));
}

TEST_CASE("membership: a renewal has no limiter revision before an assignment "
          "of limiters is applied") {
  member_state State;
  CHECK_FALSE(describeMember(State, {}).__isset.limiter_revision);
  State.Limiters.Revision = revision(7);
  CHECK(describeMember(State, {}).limiter_revision == 7);
}
