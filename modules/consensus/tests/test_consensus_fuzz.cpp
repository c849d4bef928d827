#include "modules/consensus/tests/simulated_group.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

enum class fuzz_action {
  Tick,
  RunWithoutFaults,
  Elect,
  Deliver,
  Drop,
  Duplicate,
  Crash,
  CrashDuringOperation,
  Restart,
  RestartAll,
  Wipe,
  Partition,
  Isolate,
  Heal,
  Propose,
  Replace,
  Change,
};

struct fuzz_step {
  fuzz_action Action = fuzz_action::RunWithoutFaults;
  int First = 0;
  int Second = 0;
};

void showValue(const fuzz_step &Step, std::ostream &Out) {
  Out << static_cast<int>(Step.Action) << '(' << Step.First << ','
      << Step.Second << ')';
}

rc::Gen<fuzz_step> stepWithAction(rc::Gen<fuzz_action> Action) {
  return rc::gen::construct<fuzz_step>(
      std::move(Action), rc::gen::inRange(0, 1000), rc::gen::inRange(0, 1000));
}

/// Steps of all kinds.
rc::Gen<fuzz_step> anyStep() {
  using action = fuzz_action;
  return stepWithAction(
      rc::gen::weightedElement<fuzz_action>({{6, action::Tick},
                                             {6, action::RunWithoutFaults},
                                             {24, action::Deliver},
                                             {3, action::Drop},
                                             {3, action::Duplicate},
                                             {2, action::Crash},
                                             {2, action::CrashDuringOperation},
                                             {5, action::Restart},
                                             {1, action::Wipe},
                                             {2, action::Partition},
                                             {2, action::Isolate},
                                             {3, action::Heal},
                                             {9, action::Propose},
                                             {2, action::Replace},
                                             {1, action::Change}}));
}

/// Frequent elections of leaders that reach only some of the other members.
rc::Gen<fuzz_step> electionStep() {
  using action = fuzz_action;
  return stepWithAction(
      rc::gen::weightedElement<fuzz_action>({{6, action::Elect},
                                             {24, action::Deliver},
                                             {4, action::Drop},
                                             {2, action::Tick},
                                             {1, action::RunWithoutFaults},
                                             {2, action::Propose},
                                             {4, action::Change}}));
}

void applyStep(simulated_group &Group, const fuzz_step &Step) {
  switch (Step.Action) {
  case fuzz_action::Tick:
    return Group.tick(Step.First, Step.Second);
  case fuzz_action::RunWithoutFaults:
    return Group.runWithoutFaults(Step.First);
  case fuzz_action::Elect:
    return Group.elect(Step.First);
  case fuzz_action::Deliver:
    return Group.deliver(Step.First);
  case fuzz_action::Drop:
    return Group.drop(Step.First);
  case fuzz_action::Duplicate:
    return Group.duplicate(Step.First);
  case fuzz_action::Crash:
    return Group.crash(Step.First);
  case fuzz_action::CrashDuringOperation:
    return Group.crashDuringOperation(Step.First, Step.Second);
  case fuzz_action::Restart:
    return Group.restart(Step.First);
  case fuzz_action::RestartAll:
    // All VMs, or all but the leader.
    return Group.restartAll(Step.First % 2 == 0 ? 0 : Group.leaderMask());
  case fuzz_action::Wipe:
    return Group.wipe(Step.First);
  case fuzz_action::Partition:
    return Group.partition(Step.First);
  case fuzz_action::Isolate:
    return Group.partition(1 << (Step.First % simulated_group::VmCount));
  case fuzz_action::Heal:
    return Group.heal();
  case fuzz_action::Propose:
    return Group.propose(Step.First);
  case fuzz_action::Replace:
    return Group.replace(Step.First, Step.Second);
  case fuzz_action::Change:
    return Group.proposeRandomMembership(Step.First, Step.Second);
  }
}

/// Leaders that replicate to a member which has lost its disk and are then
/// isolated.
rc::Gen<fuzz_step> diskLossStep() {
  using action = fuzz_action;
  return stepWithAction(
      rc::gen::weightedElement<fuzz_action>({{5, action::Elect},
                                             {30, action::Deliver},
                                             {2, action::Drop},
                                             {3, action::Tick},
                                             {1, action::RunWithoutFaults},
                                             {2, action::Isolate},
                                             {2, action::Heal},
                                             {6, action::Propose},
                                             {2, action::Wipe}}));
}

/// Restarts of all or nearly all VMs at once.
rc::Gen<fuzz_step> restartStep() {
  using action = fuzz_action;
  return stepWithAction(
      rc::gen::weightedElement<fuzz_action>({{4, action::RestartAll},
                                             {12, action::Deliver},
                                             {6, action::RunWithoutFaults},
                                             {3, action::Drop},
                                             {2, action::Duplicate},
                                             {4, action::Tick},
                                             {1, action::Partition},
                                             {2, action::Isolate},
                                             {3, action::Heal},
                                             {2, action::Propose},
                                             {2, action::Replace},
                                             {2, action::Change}}));
}

struct fuzz_statistics {
  std::size_t Runs = 0;
  std::size_t Steps = 0;
  std::size_t Committed = 0;
  /// Runs that lost a voter during a membership change that needed it.
  std::size_t WithoutQuorum = 0;
};

constexpr std::uint64_t Seed = 20261204;
constexpr int StepsPerRun = 300;

/// Runs the fuzz test. Returns the description of the first violation, or
/// nullopt if there is none.
std::optional<std::string> fuzz(const simulation_rules &Rules, int Runs,
                                const rc::Gen<fuzz_step> &Step,
                                bool ExpectRecovery,
                                fuzz_statistics &Statistics) {
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = Runs;
  Params.disableShrinking = true;
  auto Property = [&] {
    auto Steps = *rc::gen::resize(
        StepsPerRun,
        rc::gen::container<std::vector<fuzz_step>>(StepsPerRun, Step));
    auto GroupSeed = *rc::gen::arbitrary<std::uint64_t>();
    Statistics.Runs += 1;
    try {
      simulated_group Group(Rules, GroupSeed);
      Group.initialise();
      for (const fuzz_step &Step : Steps) {
        applyStep(Group, Step);
        Statistics.Steps += 1;
      }
      if (ExpectRecovery && !Group.checkRecovery())
        Statistics.WithoutQuorum += 1;
      Statistics.Committed += Group.committedCount();
    } catch (const violation &Found) {
      RC_FAIL(Found.Description);
    }
  };
  auto Result =
      rc::detail::checkTestable(Property, rc::detail::TestMetadata(), Params);
  rc::detail::FailureResult Failure;
  if (Result.is<rc::detail::SuccessResult>())
    return std::nullopt;
  if (!Result.match(Failure))
    return "the fuzz test itself failed to run";
  return "run " + std::to_string(Statistics.Runs) + ": " + Failure.description;
}

void expectViolation(const std::string &Rule, const simulation_rules &Rules,
                     const rc::Gen<fuzz_step> &Step = anyStep(),
                     int Runs = 1000) {
  fuzz_statistics Statistics;
  std::optional<std::string> Found = fuzz(Rules, Runs, Step, false, Statistics);
  MESSAGE("without '" << Rule << "': " << Statistics.Steps << " steps, "
                      << Found.value_or("nothing found"));
  CHECK_MESSAGE(Found.has_value(),
                "the fuzz test finds no violation without the rule: " << Rule);
}

} // namespace

TEST_CASE("consensus: fuzz finds no violated invariant") {
  fuzz_statistics Statistics;
  std::optional<std::string> Found =
      fuzz({}, 1000, anyStep(), true, Statistics);
  MESSAGE(Statistics.Runs << " runs, " << Statistics.Steps << " steps, "
                          << Statistics.Committed << " entries committed, "
                          << Statistics.WithoutQuorum
                          << " without a quorum at the end");
  CHECK_MESSAGE(!Found.has_value(), Found.value_or(""));
  CHECK(Statistics.Committed > Statistics.Runs * 10);
  CHECK(Statistics.WithoutQuorum * 20 < Statistics.Runs);
}

TEST_CASE("consensus: fuzz of elections finds no violated invariant") {
  fuzz_statistics Statistics;
  simulation_rules Rules;
  Rules.InitialMemberCount = 4;
  std::optional<std::string> Found =
      fuzz(Rules, 500, electionStep(), true, Statistics);
  MESSAGE(Statistics.Runs << " runs, " << Statistics.Steps << " steps, "
                          << Statistics.Committed << " entries committed");
  CHECK_MESSAGE(!Found.has_value(), Found.value_or(""));
}

TEST_CASE("consensus: fuzz of lost disks finds no violated invariant") {
  fuzz_statistics Statistics;
  std::optional<std::string> Found =
      fuzz({}, 300, diskLossStep(), true, Statistics);
  MESSAGE(Statistics.Runs << " runs, " << Statistics.Steps << " steps, "
                          << Statistics.Committed << " entries committed, "
                          << Statistics.WithoutQuorum
                          << " without a quorum at the end");
  CHECK_MESSAGE(!Found.has_value(), Found.value_or(""));
}

TEST_CASE("consensus: fuzz of restarts of all VMs finds no violated "
          "invariant") {
  fuzz_statistics Statistics;
  std::optional<std::string> Found =
      fuzz({}, 1000, restartStep(), true, Statistics);
  MESSAGE(Statistics.Runs << " runs, " << Statistics.Steps << " steps, "
                          << Statistics.Committed << " entries committed");
  CHECK_MESSAGE(!Found.has_value(), Found.value_or(""));
}

TEST_CASE("consensus: fuzz finds an election without the wait after a start "
          "by only a quorum that has just started") {
  simulation_rules Rules;
  Rules.Consensus.RequireAllFreshStarts = false;
  expectViolation("all voters have just started", Rules, restartStep());
}

TEST_CASE("consensus: fuzz finds votes that are not synced") {
  simulation_rules Rules;
  Rules.SyncVotes = false;
  expectViolation("sync votes", Rules);
}

TEST_CASE("consensus: fuzz finds entries of old terms committed by a count of "
          "copies") {
  simulation_rules Rules;
  Rules.Consensus.CommitOwnTermOnly = false;
  expectViolation("commit own term only", Rules, electionStep(), 4000);
}

TEST_CASE("consensus: fuzz finds wiped stores that keep their id") {
  simulation_rules Rules;
  Rules.WipedStoreGetsNewId = false;
  expectViolation("a wiped store gets a new id", Rules, diskLossStep(), 4000);
}

TEST_CASE("consensus: fuzz finds a member replaced in one step") {
  simulation_rules Rules;
  Rules.Consensus.ChangeOneMemberAtATime = false;
  expectViolation("change one member at a time", Rules);
}

TEST_CASE("consensus: fuzz finds a membership change before a commit in the "
          "own term") {
  simulation_rules Rules;
  Rules.Consensus.RequireOwnCommitBeforeChange = false;
  Rules.InitialMemberCount = 4;
  expectViolation("change only after own commit", Rules, electionStep(), 20000);
}
