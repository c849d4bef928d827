/// Plays one crowd of misbehaving callers against an entry VM of a small
/// deployment of real processes. Checks that the process lives, that its memory
/// and descriptors stay under their bounds, and that an ordinary caller is
/// served afterwards. Checks no times. What the oracle says of the upstreams is
/// not used: it knows only the ordinary callers' statements.
#include "tests/misuse/scenarios.h"
#include "tests/soak/test_program.h"

#include <filesystem>
#include <fstream>
#include <iostream>

using namespace teasellock;
using namespace teasellock::misuse;

namespace {

constexpr duration CheckPeriod = std::chrono::milliseconds(100);
/// How long the crowd stays once it has sent everything or stopped making
/// progress.
constexpr duration CrowdPeriod = std::chrono::seconds(8);
/// A test that has not ended by then has found a process that hangs.
constexpr duration TestTimeout = std::chrono::seconds(90);
constexpr std::size_t Target = 0;

struct misuse_options {
  soak::deployment_options Deployment;
  std::string Scenario;
};

/// Returns the greatest resident size so far of a process, in KiB.
std::size_t peakResidentKib(pid_t Process) {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  std::string Line;
  while (std::getline(Status, Line))
    if (Line.starts_with("VmHWM:"))
      return std::stoul(Line.substr(Line.find_first_of("0123456789")));
  return 0;
}

std::size_t descriptorCount(pid_t Process) {
  std::filesystem::path Folder("/proc/" + std::to_string(Process) + "/fd");
  std::error_code Ignored;
  std::size_t Count = 0;
  for (auto Entry = std::filesystem::directory_iterator(Folder, Ignored);
       Entry != std::filesystem::directory_iterator(); ++Entry)
    ++Count;
  return Count;
}

class misuse_test {
public:
  misuse_test(daemon_context &Context, const misuse_options &Options,
              const scenario &Scenario)
      : Context(Context), Scenario(Scenario),
        Deployment(Context, Oracle, Options.Deployment),
        StartedAt(Context.Timers.now()) {
    CheckTimer = Context.Timers.every(CheckPeriod, [this] { check(); });
  }

  /// Prints the result. Returns the exit code: zero if all checks hold.
  int report() const;

private:
  enum class phase { Starting, Serving, Crowd, Afterwards };

  const soak::vm_process &process() const {
    return *Deployment.Entries[Target].Process;
  }
  bool isServedSince(time_point Start) const;
  void check();
  void startCrowd();
  void measure();

  daemon_context &Context;
  const scenario &Scenario;
  soak::oracle Oracle;
  soak::soak_deployment Deployment;
  phase Phase = phase::Starting;
  time_point StartedAt;
  time_point PhaseStartedAt;
  std::unique_ptr<crowd> Crowd;
  timer_subscription CheckTimer;
  process_bounds Bounds;
  std::size_t PeakResidentKib = 0;
  std::size_t MostDescriptors = 0;
  bool IsServedAfterwards = false;
};

bool misuse_test::isServedSince(time_point Start) const {
  return std::all_of(
      Deployment.Callers.begin(), Deployment.Callers.end(),
      [&](const auto &Caller) { return Caller->lastSuccess() > Start; });
}

void misuse_test::measure() {
  if (!process().isRunning())
    return;
  PeakResidentKib =
      std::max(PeakResidentKib, peakResidentKib(process().processId()));
  MostDescriptors =
      std::max(MostDescriptors, descriptorCount(process().processId()));
}

void misuse_test::startCrowd() {
  Phase = phase::Crowd;
  PhaseStartedAt = Context.Timers.now();
  auto Address = Scenario.UsesHttpPort ? Deployment.httpEndpoint(Target)
                                       : Deployment.callerEndpoint(Target);
  Crowd = std::make_unique<crowd>(Context.Loop, Context.Timers, Address,
                                  Scenario.Script, Scenario.Connections);
}

void misuse_test::check() {
  if (Context.Timers.now() - StartedAt > TestTimeout)
    return Context.Loop.stop();
  measure();
  if (Phase == phase::Starting && Deployment.isDeployed()) {
    Phase = phase::Serving;
    PhaseStartedAt = Context.Timers.now();
    return Deployment.startCallers();
  }
  if (Phase == phase::Serving && isServedSince(PhaseStartedAt))
    return startCrowd();
  bool CrowdIsOver = Phase == phase::Crowd &&
                     Context.Timers.now() - PhaseStartedAt > CrowdPeriod;
  if (CrowdIsOver) {
    Phase = phase::Afterwards;
    PhaseStartedAt = Context.Timers.now();
    Crowd.reset();
    return;
  }
  if (Phase == phase::Afterwards && isServedSince(PhaseStartedAt)) {
    IsServedAfterwards = true;
    Context.Loop.stop();
  }
}

int misuse_test::report() const {
  bool Lives = process().isRunning() && process().unexpectedExits() == 0;
  bool MemoryHolds = PeakResidentKib <= Bounds.MaxResidentKib;
  bool DescriptorsHold = MostDescriptors <= Bounds.MaxDescriptors;
  bool Passed = Lives && MemoryHolds && DescriptorsHold && IsServedAfterwards;
  std::cout << "scenario=" << Scenario.Name << " passed=" << Passed
            << " lives=" << Lives << " peak_resident_kib=" << PeakResidentKib
            << " most_descriptors=" << MostDescriptors
            << " served_afterwards=" << IsServedAfterwards << "\n";
  return Passed ? 0 : 1;
}

int run(daemon_context &Context, const misuse_options &Options,
        const scenario &Scenario) {
  misuse_test Test(Context, Options, Scenario);
  Context.Loop.run();
  return Test.report();
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App{"teasellock_misuse: callers that don't behave."};
  misuse_options Options;
  auto &Deployment = Options.Deployment;
  Deployment.Entries = 3;
  Deployment.Groups = 1;
  Deployment.Callers = 3;
  soak::declareDeploymentFlags(App, Deployment);
  App.add_option("--entry-settings", Deployment.EntrySettings,
                 "settings file of the entry VMs");
  App.add_option("--scenario", Options.Scenario, "name of the crowd")
      ->required();
  CLI11_PARSE(App, Count, Arguments);
  const auto *Scenario = findScenario(Options.Scenario);
  if (!Scenario) {
    std::cerr << "teasellock_misuse: unknown scenario\n";
    return 2;
  }
  return soak::runTest("teasellock_misuse", severity::Warning, Deployment,
                       [&](daemon_context &Context) {
                         return run(Context, Options, *Scenario);
                       });
}
