#include "modules/consensus/tests/simulated_group.h"

#include <doctest/doctest.h>
#include <random>

using namespace teasellock;

namespace {

constexpr int Rounds = 40;
constexpr int Groups = 20;

/// Counts how often a follower that returns from a long partition deposes a
/// leader that a quorum follows.
int countDepositions(const simulation_rules &Rules) {
  int Count = 0;
  for (std::uint64_t Seed = 1; Seed <= Groups; ++Seed) {
    simulated_group Group(Rules, Seed);
    std::mt19937_64 Random(Seed);
    Group.initialise();
    for (int Round = 0; Round < Rounds; ++Round) {
      int Leader = Group.currentLeader();
      REQUIRE(Leader >= 0);
      int Isolated = (Leader + 1 + static_cast<int>(Random() % 2)) % 3;
      std::uint64_t Term = Group.termOf(Leader);
      Group.partition(1 << Isolated);
      Group.runWithoutFaults(static_cast<int>(Random() % 10000));
      if (Random() % 2 == 0)
        Group.propose(Leader);
      Group.heal();
      Group.tick(Isolated, static_cast<int>(Random() % 100));
      Group.runWithoutFaults(3000);
      if (Group.currentLeader() != Leader || Group.termOf(Leader) != Term)
        ++Count;
    }
  }
  return Count;
}

} // namespace

TEST_CASE("consensus: a member that returns from a long partition deposes no "
          "leader") {
  CHECK(countDepositions({}) == 0);
}

TEST_CASE("consensus: without pre-vote a returning member deposes leaders") {
  simulation_rules Rules;
  Rules.Consensus.PreVote = false;
  CHECK(countDepositions(Rules) > 0);
}

TEST_CASE("consensus: if votes are granted while a leader is active, a "
          "returning member deposes leaders") {
  simulation_rules Rules;
  Rules.Consensus.RefuseVotesWhileLeaderIsActive = false;
  CHECK(countDepositions(Rules) > 0);
}

TEST_CASE("consensus: a leader that is isolated from the others steps down") {
  simulated_group Group({}, 1);
  Group.initialise();
  int Leader = Group.currentLeader();
  Group.partition(1 << Leader);
  Group.runWithoutFaults(5000);
  int Next = Group.currentLeader();
  CHECK(Next != Leader);
  Group.propose(Next);
  Group.runWithoutFaults(500);
  CHECK(Group.checkRecovery());
}
