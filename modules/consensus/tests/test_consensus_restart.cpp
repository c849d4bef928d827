#include "modules/consensus/tests/simulated_group.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

/// A recovered follower of a group of three, and what it replies.
struct restarted_voter {
  consensus_state State;
  consensus_input Input{time_point(std::chrono::hours(1)), 4711};

  restarted_voter() {
    recovered_log Recovered;
    Recovered.Store = store_id(1);
    Recovered.HardState = {5, store_id(), 77};
    auto Snapshot = std::make_shared<log_snapshot>();
    Snapshot->Index = 3;
    Snapshot->Term = 5;
    for (std::uint64_t Store = 1; Store <= 3; ++Store)
      Snapshot->Members.push_back({store_id(Store), vm_id("v"), {}});
    Recovered.Snapshot = Snapshot;
    State = startConsensus(std::move(Recovered), consensus_timing(), Input);
    Input.Now += fromMilliseconds(50);
  }

  template <typename Reply> Reply handle(const consensus_message &Message) {
    consensus_effects Effects;
    handleMessage(State, Message, Input, Effects);
    REQUIRE(Effects.Send.size() == 1);
    return std::get<Reply>(Effects.Send[0].Message);
  }

  wire::vote_request request(bool IsPreVote) const {
    wire::vote_request Request;
    Request.term = 6;
    Request.candidate = 2;
    Request.last_index = 3;
    Request.last_term = 5;
    Request.trial = IsPreVote;
    Request.cluster = 77;
    Request.recipient = 1;
    return Request;
  }
};

} // namespace

TEST_CASE("consensus: after a restart of all members, a leader is elected "
          "within 0.3 s of the last start") {
  constexpr std::uint64_t Runs = 200;
  for (std::uint64_t Seed = 1; Seed <= Runs; ++Seed) {
    simulated_group Group({}, Seed);
    Group.initialise();
    Group.restartAll(0);
    CHECK(Group.runUntilLeader() <= 300);
  }
}

TEST_CASE("consensus: a voter that has just started votes only if the request "
          "names its start, and not after it has followed a leader") {
  restarted_voter Voter;
  auto Trial = Voter.handle<wire::vote_reply>(Voter.request(true));
  CHECK_FALSE(Trial.granted);
  CHECK(Trial.waits_after_start);
  REQUIRE(bool(Trial.__isset.fresh_start));
  auto Request = Voter.request(false);
  CHECK_FALSE(Voter.handle<wire::vote_reply>(Request).granted);
  // A process that started earlier answered the pre-vote.
  Request.__set_known_start(Trial.fresh_start + 2);
  CHECK_FALSE(Voter.handle<wire::vote_reply>(Request).granted);
  Request.__set_known_start(Trial.fresh_start);
  SUBCASE("no leader") {
    auto Reply = Voter.handle<wire::vote_reply>(Request);
    CHECK(Reply.granted);
    CHECK(Reply.waits_after_start);
    CHECK(Reply.asked_term == 6);
  }
  SUBCASE("a leader") {
    wire::append_request Heartbeat;
    Heartbeat.term = 5;
    Heartbeat.leader = 3;
    Heartbeat.previous_index = 3;
    Heartbeat.previous_term = 5;
    Heartbeat.cluster = 77;
    Heartbeat.recipient = 1;
    Voter.handle<wire::append_reply>(Heartbeat);
    auto Reply = Voter.handle<wire::vote_reply>(Request);
    CHECK_FALSE(Reply.granted);
    CHECK_FALSE(bool(Reply.__isset.fresh_start));
  }
}

TEST_CASE("consensus: a leader that is no voter any more steps down once that "
          "is committed") {
  simulated_group Group({}, 1);
  Group.initialise();
  int Leader = Group.currentLeader();
  REQUIRE(Leader >= 0);
  // Odd numbers make the member with that number modulo the count of VMs a
  // non-voter, and multiples of three remove it.
  int Choice = Leader;
  while (Choice % 2 == 0 || Choice % 3 == 0)
    Choice += simulated_group::VmCount;
  Group.proposeRandomMembership(Leader, Choice);
  Group.runWithoutFaults(2000);
  CHECK(Group.currentLeader() >= 0);
  CHECK(Group.currentLeader() != Leader);
}
