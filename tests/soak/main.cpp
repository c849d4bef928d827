#include "core/event_log.h"
#include "tests/soak/organisation_faults.h"
#include "tests/soak/test_program.h"

#include <csignal>
#include <iostream>

using namespace teasellock;
using namespace teasellock::soak;

namespace {

constexpr duration StartTimeout = std::chrono::seconds(15);
/// Every caller must be served again within this time after the last fault.
constexpr duration RecoveryTimeout = std::chrono::seconds(12);
/// After the callers have left, nothing of their transactions may remain at the
/// upstreams for longer than this. Entries end idle transactions after 3 s.
constexpr duration LeavingTimeout = std::chrono::seconds(8);
constexpr duration CheckPeriod = std::chrono::milliseconds(100);
/// Last part of the faults' time of a run with organisations: keys change and
/// nothing fails. Control reaches each VM for the last two seconds.
constexpr duration QuietTime = std::chrono::seconds(8);
/// Accepted number of process exits that no signal of the test explains.
constexpr std::size_t MaxUnexpectedExits = 0;

struct soak_options {
  deployment_options Deployment;
  double Seconds = 20;
  bool Faults = true;
};

/// Runs one seed, from the start of the processes to the report.
class soak_test {
public:
  soak_test(daemon_context &Context, const soak_options &Options)
      : Context(Context), Options(Options),
        Deployment(Context, Oracle, Options.Deployment),
        StartedAt(Context.Timers.now()) {
    CheckTimer = Context.Timers.every(CheckPeriod, [this] { check(); });
  }

  /// Prints the result. Returns the exit code: zero if no guarantee was
  /// violated.
  int report();

private:
  enum class phase { Starting, Faults, Quiet, Recovering, Leaving };

  /// How long faults are injected.
  duration faultTime() const {
    auto Total = std::chrono::milliseconds(
        static_cast<std::int64_t>(Options.Seconds * 1000));
    return Deployment.Roster ? Total - QuietTime : Total;
  }
  duration elapsed() const { return Context.Timers.now() - StartedAt; }
  void check();
  void startFaults();
  void begin(const fault &Fault);
  void endFaults();
  void startQuiet();
  void startRecovery();
  void checkRecovery();
  bool hasWritten(std::size_t Group) const;
  void startLeaving();
  void checkLeaving();
  void checkOrganisations();
  void reportOrganisations() const;

  daemon_context &Context;
  const soak_options &Options;
  oracle Oracle;
  soak_deployment Deployment;
  phase Phase = phase::Starting;
  time_point StartedAt;
  timer_subscription CheckTimer;
  std::vector<timer_subscription> FaultTimers;
  std::vector<std::function<void()>> UndoActions;
  /// Log length of each group's primary when the last fault ended.
  std::vector<std::size_t> LogSizes;
};

void soak_test::check() {
  switch (Phase) {
  case phase::Starting:
    if (Deployment.isDeployed())
      return startFaults();
    if (elapsed() < StartTimeout)
      return;
    Oracle.reportViolation("start", "no deployment was accepted in time");
    return Context.Loop.stop();
  case phase::Faults:
    if (elapsed() >= faultTime())
      Deployment.Roster ? startQuiet() : startRecovery();
    return;
  case phase::Quiet:
    if (elapsed() >= QuietTime)
      startRecovery();
    return;
  case phase::Recovering:
    return checkRecovery();
  case phase::Leaving:
    return checkLeaving();
  }
}

void soak_test::startFaults() {
  Phase = phase::Faults;
  StartedAt = Context.Timers.now();
  Deployment.startCallers();
  if (!Options.Faults)
    return;
  // The callers open their sessions before the first fault.
  constexpr duration Lead = std::chrono::seconds(1);
  auto Generate =
      Deployment.Roster ? generateOrganisationFaults : generateFaults;
  for (const auto &Fault :
       Generate(Options.Deployment.Seed, faultTime() - Lead))
    FaultTimers.push_back(Context.Timers.after(
        Lead + Fault.StartOffset, [this, Fault] { begin(Fault); }));
}

void soak_test::begin(const fault &Fault) {
  auto End = beginFault(Deployment, Fault);
  if (!End)
    return;
  std::size_t Index = UndoActions.size();
  UndoActions.push_back(std::move(End));
  FaultTimers.push_back(Context.Timers.after(Fault.Duration, [this, Index] {
    if (auto End = std::exchange(UndoActions[Index], nullptr))
      End();
  }));
}

void soak_test::endFaults() {
  FaultTimers.clear();
  for (auto &End : UndoActions)
    if (End)
      std::exchange(End, nullptr)();
}

void soak_test::startQuiet() {
  Phase = phase::Quiet;
  StartedAt = Context.Timers.now();
  endFaults();
  Deployment.changeKeys();
  event("soak.quiet");
}

void soak_test::startRecovery() {
  Phase = phase::Recovering;
  StartedAt = Context.Timers.now();
  endFaults();
  if (Deployment.Roster)
    Deployment.restoreKeys();
  for (const auto &Group : Deployment.Groups)
    LogSizes.push_back(Group->primaryLog().size());
  Deployment.moderateCallers();
  event("soak.recovering");
}

void soak_test::checkRecovery() {
  auto Served = [&](const auto &Caller) {
    // Operations in progress when the last fault ended don't count.
    constexpr duration Settled = std::chrono::seconds(3);
    return Caller->lastSuccess() > StartedAt + Settled;
  };
  bool AllRecovered =
      std::all_of(Deployment.Callers.begin(), Deployment.Callers.end(), Served);
  for (auto Version : Deployment.reportedVersions())
    AllRecovered = AllRecovered && Version >= Deployment.acknowledgedVersion();
  for (std::size_t Group = 0; Group < LogSizes.size(); ++Group)
    AllRecovered = AllRecovered && hasWritten(Group);
  if (AllRecovered)
    return startLeaving();
  if (elapsed() < RecoveryTimeout)
    return;
  for (std::size_t Index = 0; Index < Deployment.Callers.size(); ++Index)
    if (!Served(Deployment.Callers[Index]))
      Oracle.reportViolation("recover", "caller " + std::to_string(Index + 1) +
                                            " is not served again");
  for (std::size_t Group = 0; Group < LogSizes.size(); ++Group)
    if (!hasWritten(Group))
      Oracle.reportViolation("write", "group " + std::to_string(Group + 1) +
                                          " takes no write at the end");
  for (auto Version : Deployment.reportedVersions())
    if (Version < Deployment.acknowledgedVersion())
      Oracle.reportViolation(
          "config", "version " + std::to_string(Version) +
                        " at the end, acknowledged was " +
                        std::to_string(Deployment.acknowledgedVersion()));
  Context.Loop.stop();
}

/// Reports whether the group has committed a write since the last fault ended.
bool soak_test::hasWritten(std::size_t Group) const {
  return Deployment.Groups[Group]->primaryLog().size() > LogSizes[Group];
}

void soak_test::startLeaving() {
  Phase = phase::Leaving;
  StartedAt = Context.Timers.now();
  for (auto &Caller : Deployment.Callers)
    Caller->stop();
  event("soak.leaving");
}

/// Checks that upstreams hold no transaction or statement of a caller any more.
void soak_test::checkLeaving() {
  std::size_t Left = 0;
  for (const auto &Group : Deployment.Groups)
    Left += Group->openTransactions() + Group->busyConnections();
  if (Left > 0 && elapsed() < LeavingTimeout)
    return;
  if (Left > 0)
    Oracle.reportViolation("left", std::to_string(Left) +
                                       " transactions or statements are open "
                                       "after all callers have left");
  Context.Loop.stop();
}

/// Checks the logs, and that answers after changes of keys were judged.
void soak_test::checkOrganisations() {
  auto &Keys = *Deployment.OrganisationOracle;
  checkLogs(Keys, Options.Deployment.Folder);
  if (Keys.judgedRefusals() == 0 || Keys.judgedAdmissions() == 0)
    Oracle.reportViolation("keys", "no answer after a change was judged");
}

/// Prints how many statements were executed for each organisation, and the
/// most operations in a window beside the allowed number.
void soak_test::reportOrganisations() const {
  const auto &Oracle = *Deployment.OrganisationOracle;
  std::cout << "executed";
  for (const auto &[Name, Executed] : Oracle.executions()) {
    std::cout << " " << Name << "=" << Executed.Statements;
    if (Executed.Bound > 0)
      std::cout << " (" << Executed.Peak << " of " << Executed.Bound << ")";
  }
  std::cout << " judged_refusals=" << Oracle.judgedRefusals()
            << " judged_admissions=" << Oracle.judgedAdmissions() << "\n";
}

int soak_test::report() {
  if (Deployment.OrganisationOracle)
    checkOrganisations();
  caller_counts Sum;
  for (const auto &Caller : Deployment.Callers) {
    Sum.Succeeded += Caller->counts().Succeeded;
    Sum.Refused += Caller->counts().Refused;
    Sum.Unknown += Caller->counts().Unknown;
    Sum.ConnectionsLost += Caller->counts().ConnectionsLost;
  }
  std::size_t Ends = 0;
  for (const auto *Vms : {&Deployment.Entries, &Deployment.Controls})
    for (const auto &Vm : *Vms)
      Ends += Vm.Process->unexpectedExits();
  std::uint64_t Promotions = 0;
  for (const auto &Group : Deployment.Groups)
    Promotions += Group->promotions();
  std::cout << "seed=" << Options.Deployment.Seed
            << " broken=" << Oracle.violations().size()
            << " served=" << Sum.Succeeded << " refused=" << Sum.Refused
            << " unknown=" << Sum.Unknown << " cut_off=" << Sum.ConnectionsLost
            << " writes_acknowledged=" << Oracle.acknowledgedWrites()
            << " promotions=" << Promotions << " unexpected_ends=" << Ends
            << "\n";
  if (Deployment.OrganisationOracle)
    reportOrganisations();
  for (const auto &Line : Oracle.violations())
    std::cout << "  " << Line << "\n";
  return Oracle.violations().empty() && Ends <= MaxUnexpectedExits &&
                 Sum.Succeeded > 0
             ? 0
             : 1;
}

void declareFlags(CLI::App &App, soak_options &Options) {
  auto &Deployment = Options.Deployment;
  declareDeploymentFlags(App, Deployment);
  App.add_option("--seed", Deployment.Seed,
                 "seed of the random faults and load");
  App.add_option("--seconds", Options.Seconds, "duration of the faults")
      ->check(CLI::Range(5.0, 3600.0));
  App.add_option("--entries", Deployment.Entries)->check(CLI::Range(1, 150));
  App.add_option("--controls", Deployment.Controls)->check(CLI::Range(3, 7));
  App.add_option("--groups", Deployment.Groups)->check(CLI::Range(1, 40));
  App.add_option("--callers", Deployment.Callers)->check(CLI::Range(1, 2000));
  App.add_flag("--organisations", Deployment.HasOrganisations,
               "a deployment with organisations, keys and limits");
  App.add_flag("!--calm", Options.Faults, "no faults");
}

int run(daemon_context &Context, const soak_options &Options) {
  Context.Loop.onSignal(SIGTERM, [&Context] { Context.Loop.stop(); });
  Context.Loop.onSignal(SIGINT, [&Context] { Context.Loop.stop(); });
  soak_test Run(Context, Options);
  Context.Loop.run();
  return Run.report();
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App{"teasellock_soak: tests the programs under random faults."};
  soak_options Options;
  declareFlags(App, Options);
  CLI11_PARSE(App, Count, Arguments);
  return runTest(
      "teasellock_soak", severity::Info, Options.Deployment,
      [&](daemon_context &Context) { return run(Context, Options); });
}
