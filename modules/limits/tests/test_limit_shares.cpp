#include "modules/limits/limit_shares.h"

#include <cmath>
#include <doctest/doctest.h>
#include <set>

using namespace teasellock;

namespace {

const time_point Start(std::chrono::seconds(100));
using statuses = std::array<share_status, LimitShares>;

statuses reachable() {
  statuses Shares;
  for (auto &Share : Shares)
    Share.IsReachable = true;
  return Shares;
}

caller_progress newCaller() {
  caller_progress Caller;
  Caller.Deadline = Start + fromMilliseconds(300);
  return Caller;
}

} // namespace

// Guards against shares that one VM counts although others could: the failure
// of that VM would take several away.
TEST_CASE("limits: the shares of an organisation are in different slots") {
  for (const char *Name : {"", "a", "miny420"}) {
    std::set<std::uint32_t> Slots;
    for (std::uint32_t Share = 0; Share < LimitShares; ++Share)
      Slots.insert(slotOfShare(organisation_id(Name), Share));
    CHECK(Slots.size() == LimitShares);
    CHECK(*Slots.rbegin() < LimiterSlotCount);
  }
}

// Guards against shares that together grant more than the limit, or do not let
// a burst be used up.
TEST_CASE("limits: shares add up to the limit") {
  for (double Burst : {1.0, 5.0, 242.0}) {
    auto Share = shareOf({242, Burst});
    CHECK(Share.RatePerSecond * LimitShares == 242);
    CHECK(Share.Burst * LimitShares <= Burst + LimitShares - 1);
    CHECK(std::floor(Share.Burst) * LimitShares >= Burst);
  }
  CHECK((shareOf({0, 0}) == operation_limit{0, 0}));
}

TEST_CASE("limits: limiters are asked in turn, and waited for while others are "
          "left") {
  auto Caller = newCaller();
  for (std::uint32_t Share : {2U, 3U, 0U}) {
    CHECK((chooseShare(Caller, reachable(), 2, Start) ==
           share_choice{Share, Start + ShareWaitTimeout}));
    Caller.Asked[Share] = true;
  }
  CHECK((chooseShare(Caller, reachable(), 2, Start) ==
         share_choice{1, Caller.Deadline}));
  Caller.Asked[1] = true;
  CHECK(chooseShare(Caller, reachable(), 2, Start) == std::nullopt);
}

// Guards against callers that wait for a limiter behind a network partition.
TEST_CASE("limits: limiters that can't be reached or are silent are asked "
          "last") {
  auto Shares = reachable();
  Shares[0].IsReachable = false;
  Shares[1].SilentUntil = Start + fromMilliseconds(1);
  auto Caller = newCaller();
  for (std::uint32_t Share : {2U, 3U, 0U, 1U}) {
    auto Choice = chooseShare(Caller, Shares, 0, Start);
    REQUIRE(Choice);
    CHECK(Choice->Share == Share);
    Caller.Asked[Share] = true;
  }
  auto Later = chooseShare(newCaller(), Shares, 0, Start + fromMilliseconds(1));
  REQUIRE(Later);
  CHECK(Later->Share == 1);
}

// Guards against refusals that come late because a limiter can't be reached.
TEST_CASE("limits: after a refusal only limiters that answer are asked") {
  auto Shares = reachable();
  Shares[3].IsReachable = false;
  auto Caller = newCaller();
  Caller.Asked = {true, true, false, false};
  Caller.LimitReached = true;
  auto Choice = chooseShare(Caller, Shares, 0, Start);
  REQUIRE(Choice);
  CHECK(Choice->Share == 2);
  Caller.Asked[2] = true;
  CHECK(chooseShare(Caller, Shares, 0, Start) == std::nullopt);
}

TEST_CASE("limits: no limiter is asked after the caller's deadline") {
  auto Caller = newCaller();
  CHECK(chooseShare(Caller, reachable(), 0, Caller.Deadline) == std::nullopt);
}
