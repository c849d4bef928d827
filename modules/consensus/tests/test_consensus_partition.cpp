#include "modules/consensus/tests/simulated_group.h"

#include <doctest/doctest.h>
#include <random>

using namespace teasellock;

namespace {

constexpr int Rounds = 40;
constexpr int Groups = 20;

/// How often a follower that comes back from a long partition ends the term of
/// a leader that works.
int depositions(const simulation_rules &Rules) {
  int Count = 0;
  for (std::uint64_t Seed = 1; Seed <= Groups; ++Seed) {
    simulated_group Group(Rules, Seed);
    std::mt19937_64 Random(Seed);
    Group.found();
    for (int Round = 0; Round < Rounds; ++Round) {
      int Leader = Group.workingLeader();
      REQUIRE(Leader >= 0);
      int Silent = (Leader + 1 + static_cast<int>(Random() % 2)) % 3;
      std::uint64_t Term = Group.termOf(Leader);
      Group.partition(1 << Silent);
      Group.runCalm(static_cast<int>(Random() % 10000));
      if (Random() % 2 == 0)
        Group.propose(Leader);
      Group.heal();
      Group.tick(Silent, static_cast<int>(Random() % 100));
      Group.runCalm(3000);
      if (Group.workingLeader() != Leader || Group.termOf(Leader) != Term)
        ++Count;
    }
  }
  return Count;
}

} // namespace

TEST_CASE("consensus: a member back from a long partition deposes nobody") {
  CHECK(depositions({}) == 0);
}

TEST_CASE("consensus: without pre-vote a returning member deposes leaders") {
  simulation_rules Rules;
  Rules.Decisions.PreVote = false;
  CHECK(depositions(Rules) > 0);
}

TEST_CASE("consensus: if votes are granted while a leader is heard a returning "
          "member deposes leaders") {
  simulation_rules Rules;
  Rules.Decisions.RefuseVotesWhileLeaderIsHeard = false;
  CHECK(depositions(Rules) > 0);
}

TEST_CASE("consensus: a leader cut off from the others steps down") {
  simulated_group Group({}, 1);
  Group.found();
  int Leader = Group.workingLeader();
  Group.partition(1 << Leader);
  Group.runCalm(5000);
  int Next = Group.workingLeader();
  CHECK(Next != Leader);
  Group.propose(Next);
  Group.runCalm(500);
  CHECK(Group.mustRecover());
}
