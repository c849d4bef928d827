#include "modules/control/member_changes.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

time_point at(std::int64_t Milliseconds) {
  return time_point(fromMilliseconds(Milliseconds));
}

control_member store(std::uint64_t Store, const std::string &Vm,
                     bool Voter = true) {
  control_member Member;
  Member.Store = store_id(Store);
  Member.Vm = vm_id(Vm);
  Member.Address = {"10.0.0." + std::to_string(Store), 7000};
  Member.IsVoter = Voter;
  return Member;
}

membership_input threeVoters(std::int64_t ReportedMs) {
  membership_input Input;
  Input.TargetVoters = 3;
  Input.Members = {store(1, "a"), store(2, "b"), store(3, "c")};
  for (const auto &Member : Input.Members)
    Input.ReportedStores[Member.Store] = {Member, at(ReportedMs)};
  return Input;
}

} // namespace

TEST_CASE("control: a group of one member grows to the target number of "
          "voters") {
  membership_input Input;
  Input.TargetVoters = 3;
  Input.Members = {store(1, "a")};
  Input.ReportedStores[store_id(1)] = {store(1, "a"), at(1000)};
  CHECK_FALSE(decideMemberChange(Input, at(1000)));
  Input.ReportedStores[store_id(2)] = {store(2, "b"), at(1000)};
  auto Change = decideMemberChange(Input, at(1000));
  REQUIRE(Change);
  CHECK((Change->Kind == member_change::kind::AddVoter));
  CHECK((Change->New.Store == store_id(2)));
}

TEST_CASE("control: a complete group adds further stores as non-voters") {
  auto Input = threeVoters(1000);
  CHECK_FALSE(decideMemberChange(Input, at(1000)));
  Input.ReportedStores[store_id(4)] = {store(4, "d"), at(1000)};
  auto Change = decideMemberChange(Input, at(1000));
  REQUIRE(Change);
  CHECK((Change->Kind == member_change::kind::Add));
  Input.Members.push_back(store(4, "d", false));
  CHECK_FALSE(decideMemberChange(Input, at(1000)));
}

TEST_CASE("control: the new store of a VM that lost its disk replaces the old "
          "one at once") {
  auto Input = threeVoters(1000);
  Input.ReportedStores[store_id(9)] = {store(9, "c"), at(1000)};
  auto Change = decideMemberChange(Input, at(1000));
  REQUIRE(Change);
  CHECK((Change->Kind == member_change::kind::Replace));
  CHECK((Change->Old == store_id(3)));
  CHECK((Change->New.Store == store_id(9)));
}

TEST_CASE("control: a non-voter replaces a voter only once that one is lost") {
  auto Input = threeVoters(1000);
  Input.Members.push_back(store(4, "d", false));
  auto Now = at(1000) + VoterLossTimeout;
  for (std::uint64_t Store : {1, 2, 4})
    Input.ReportedStores[store_id(Store)] = {
        store(Store, std::string(1, "abcd"[Store - 1])), Now};
  CHECK_FALSE(decideMemberChange(Input, Now));
  auto Change = decideMemberChange(Input, Now + fromMilliseconds(1));
  REQUIRE(Change);
  CHECK((Change->Kind == member_change::kind::Replace));
  CHECK((Change->Old == store_id(3)));
}

TEST_CASE("control: a new leader gives every voter time to be reported") {
  auto Input = threeVoters(0);
  Input.LeadingSince = at(50000);
  Input.ReportedStores[store_id(4)] = {store(4, "d"), at(50000)};
  auto Change = decideMemberChange(Input, at(50000));
  REQUIRE(Change);
  CHECK((Change->Kind == member_change::kind::Add));
}

TEST_CASE("control: a non-voter that is gone is removed") {
  auto Input = threeVoters(1000);
  Input.Members.push_back(store(4, "d", false));
  Input.ReportedStores[store_id(4)] = {store(4, "d"), at(1000)};
  auto Now = at(1001) + NonVoterLossTimeout;
  for (const auto &Member : threeVoters(0).Members)
    Input.ReportedStores[Member.Store].ReportedAt = Now;
  auto Change = decideMemberChange(Input, Now);
  REQUIRE(Change);
  CHECK((Change->Kind == member_change::kind::Remove));
  CHECK((Change->Old == store_id(4)));
}
