#include "modules/consensus/tests/simulated_group.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

enum class fuzz_kind {
  Tick,
  Calm,
  Elect,
  Deliver,
  Drop,
  Duplicate,
  Crash,
  CrashSoon,
  Restart,
  Wipe,
  Partition,
  Isolate,
  Heal,
  Propose,
  Replace,
  Change,
};

struct fuzz_step {
  fuzz_kind Kind = fuzz_kind::Calm;
  int First = 0;
  int Second = 0;
};

void showValue(const fuzz_step &Step, std::ostream &Out) {
  Out << static_cast<int>(Step.Kind) << '(' << Step.First << ',' << Step.Second
      << ')';
}

rc::Gen<fuzz_step> stepOf(rc::Gen<fuzz_kind> Kind) {
  return rc::gen::construct<fuzz_step>(
      std::move(Kind), rc::gen::inRange(0, 1000), rc::gen::inRange(0, 1000));
}

/// Everything that may happen.
rc::Gen<fuzz_step> anyStep() {
  using kind = fuzz_kind;
  return stepOf(rc::gen::weightedElement<fuzz_kind>({{6, kind::Tick},
                                                     {6, kind::Calm},
                                                     {24, kind::Deliver},
                                                     {3, kind::Drop},
                                                     {3, kind::Duplicate},
                                                     {2, kind::Crash},
                                                     {2, kind::CrashSoon},
                                                     {5, kind::Restart},
                                                     {1, kind::Wipe},
                                                     {2, kind::Partition},
                                                     {2, kind::Isolate},
                                                     {3, kind::Heal},
                                                     {9, kind::Propose},
                                                     {2, kind::Replace},
                                                     {1, kind::Change}}));
}

/// Leader after leader that reaches only some of the others.
rc::Gen<fuzz_step> electionStep() {
  using kind = fuzz_kind;
  return stepOf(rc::gen::weightedElement<fuzz_kind>({{6, kind::Elect},
                                                     {24, kind::Deliver},
                                                     {4, kind::Drop},
                                                     {2, kind::Tick},
                                                     {1, kind::Calm},
                                                     {2, kind::Propose},
                                                     {4, kind::Change}}));
}

void take(simulated_group &Group, const fuzz_step &Step) {
  switch (Step.Kind) {
  case fuzz_kind::Tick:
    return Group.tick(Step.First, Step.Second);
  case fuzz_kind::Calm:
    return Group.runCalm(Step.First);
  case fuzz_kind::Elect:
    return Group.elect(Step.First);
  case fuzz_kind::Deliver:
    return Group.deliver(Step.First);
  case fuzz_kind::Drop:
    return Group.drop(Step.First);
  case fuzz_kind::Duplicate:
    return Group.duplicate(Step.First);
  case fuzz_kind::Crash:
    return Group.crash(Step.First);
  case fuzz_kind::CrashSoon:
    return Group.crashSoon(Step.First, Step.Second);
  case fuzz_kind::Restart:
    return Group.restart(Step.First);
  case fuzz_kind::Wipe:
    return Group.wipe(Step.First);
  case fuzz_kind::Partition:
    return Group.partition(Step.First);
  case fuzz_kind::Isolate:
    return Group.partition(1 << (Step.First % simulated_group::VmCount));
  case fuzz_kind::Heal:
    return Group.heal();
  case fuzz_kind::Propose:
    return Group.propose(Step.First);
  case fuzz_kind::Replace:
    return Group.replace(Step.First, Step.Second);
  case fuzz_kind::Change:
    return Group.changeAtRandom(Step.First, Step.Second);
  }
}

/// Leaders that feed a member which lost its disk and then go silent.
rc::Gen<fuzz_step> lossStep() {
  using kind = fuzz_kind;
  return stepOf(rc::gen::weightedElement<fuzz_kind>({{5, kind::Elect},
                                                     {30, kind::Deliver},
                                                     {2, kind::Drop},
                                                     {3, kind::Tick},
                                                     {1, kind::Calm},
                                                     {2, kind::Isolate},
                                                     {2, kind::Heal},
                                                     {6, kind::Propose},
                                                     {2, kind::Wipe}}));
}

struct fuzz_figures {
  std::size_t Runs = 0;
  std::size_t Steps = 0;
  std::size_t Committed = 0;
  /// Runs that lost a voter in the middle of a change that needed it.
  std::size_t Stuck = 0;
};

constexpr std::uint64_t Seed = 20261204;
constexpr int StepsOfARun = 300;

/// Runs the fuzz; the description of the first violation, or nothing.
std::optional<std::string> fuzz(const simulation_rules &Rules, int Runs,
                                const rc::Gen<fuzz_step> &Step,
                                bool MustRecover, fuzz_figures &Figures) {
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = Runs;
  Params.disableShrinking = true;
  auto Property = [&] {
    auto Steps = *rc::gen::resize(
        StepsOfARun,
        rc::gen::container<std::vector<fuzz_step>>(StepsOfARun, Step));
    auto GroupSeed = *rc::gen::arbitrary<std::uint64_t>();
    Figures.Runs += 1;
    try {
      simulated_group Group(Rules, GroupSeed);
      Group.found();
      for (const fuzz_step &Step : Steps) {
        take(Group, Step);
        Figures.Steps += 1;
      }
      if (MustRecover && !Group.mustRecover())
        Figures.Stuck += 1;
      Figures.Committed += Group.committedCount();
    } catch (const violation &Found) {
      RC_FAIL(Found.What);
    }
  };
  auto Result =
      rc::detail::checkTestable(Property, rc::detail::TestMetadata(), Params);
  rc::detail::FailureResult Failure;
  if (Result.is<rc::detail::SuccessResult>())
    return std::nullopt;
  if (!Result.match(Failure))
    return "the fuzz itself failed";
  return "run " + std::to_string(Figures.Runs) + ": " + Failure.description;
}

void mustFind(const std::string &Rule, const simulation_rules &Rules,
              const rc::Gen<fuzz_step> &Step = anyStep(), int Runs = 1000) {
  fuzz_figures Figures;
  std::optional<std::string> Found = fuzz(Rules, Runs, Step, false, Figures);
  MESSAGE("without '" << Rule << "': " << Figures.Steps << " steps, "
                      << Found.value_or("nothing found"));
  CHECK_MESSAGE(Found.has_value(), "the fuzz misses a weakened rule: " << Rule);
}

} // namespace

TEST_CASE("consensus: fuzz finds no broken promise") {
  fuzz_figures Figures;
  std::optional<std::string> Found = fuzz({}, 1000, anyStep(), true, Figures);
  MESSAGE(Figures.Runs << " runs, " << Figures.Steps << " steps, "
                       << Figures.Committed << " entries committed, "
                       << Figures.Stuck << " without a quorum at the end");
  CHECK_MESSAGE(!Found.has_value(), Found.value_or(""));
  CHECK(Figures.Committed > Figures.Runs * 10);
  CHECK(Figures.Stuck * 20 < Figures.Runs);
}

TEST_CASE("consensus: fuzz of elections finds no broken promise") {
  fuzz_figures Figures;
  simulation_rules Rules;
  Rules.Founders = 4;
  std::optional<std::string> Found =
      fuzz(Rules, 500, electionStep(), true, Figures);
  MESSAGE(Figures.Runs << " runs, " << Figures.Steps << " steps, "
                       << Figures.Committed << " entries committed");
  CHECK_MESSAGE(!Found.has_value(), Found.value_or(""));
}

TEST_CASE("consensus: fuzz of lost disks finds no broken promise") {
  fuzz_figures Figures;
  std::optional<std::string> Found = fuzz({}, 300, lossStep(), true, Figures);
  MESSAGE(Figures.Runs << " runs, " << Figures.Steps << " steps, "
                       << Figures.Committed << " entries committed, "
                       << Figures.Stuck << " without a quorum at the end");
  CHECK_MESSAGE(!Found.has_value(), Found.value_or(""));
}

TEST_CASE("consensus: fuzz finds votes that are not synced") {
  simulation_rules Rules;
  Rules.SyncVotes = false;
  mustFind("sync votes", Rules);
}

TEST_CASE("consensus: fuzz finds entries of old terms committed by count") {
  simulation_rules Rules;
  Rules.Decisions.CommitOwnTermOnly = false;
  mustFind("commit own term only", Rules, electionStep(), 4000);
}

TEST_CASE("consensus: fuzz finds wiped stores that keep their identity") {
  simulation_rules Rules;
  Rules.WipedIsStranger = false;
  mustFind("a wiped disk is a stranger", Rules, lossStep(), 4000);
}

TEST_CASE("consensus: fuzz finds a member replaced in one step") {
  simulation_rules Rules;
  Rules.Decisions.ChangeOneMemberAtATime = false;
  mustFind("change one member at a time", Rules);
}

TEST_CASE("consensus: fuzz finds a change before the own commit") {
  simulation_rules Rules;
  Rules.Decisions.ChangeAfterOwnCommit = false;
  Rules.Founders = 4;
  mustFind("change after own commit", Rules, electionStep(), 20000);
}
