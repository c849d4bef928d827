#include "bench/bench_settings.h"
#include "bench/entry_metrics.h"
#include "bench/idle_connections.h"
#include "core/error.h"
#include "core/event_log.h"

#include <iostream>

using namespace teasellock;
using namespace teasellock::bench;

namespace {

constexpr duration SettleTime = std::chrono::seconds(1);

/// Starts an asynchronous step and runs the loop until it calls back.
void waitFor(event_loop &Loop,
             const std::function<void(std::function<void()>)> &Step) {
  bool Done = false;
  Loop.post([&] {
    Step([&] {
      Done = true;
      Loop.stop();
    });
  });
  while (!Done)
    Loop.run();
}

class benchmark {
public:
  explicit benchmark(bench_settings Given)
      : Settings(std::move(Given)), Timers(Loop), Csv(Settings.Csv) {}

  int run() {
    if (Settings.Direct)
      runDirect();
    if (Settings.Phase.Targets.empty())
      return Failures > 0;
    if (Settings.Idle > 0)
      openIdle();
    runEntries();
    std::cout << "failures=" << Failures << std::endl;
    return Failures > 0;
  }

private:
  void runDirect() {
    phase_settings Phase = Settings.Phase;
    Phase.Name = "direct";
    Phase.Targets = {*Settings.Direct};
    Phase.Groups.resize(1);
    Phase.Connections = Settings.DirectConnections;
    Phase.RoamShare = 0;
    Phase.TrackGaps = false;
    runPhase(Phase, "direct_");
  }

  void runEntries() {
    read_counts Before = fetchReads(Settings.Metrics);
    runPhase(Settings.Phase, "");
    if (Settings.Metrics.empty())
      return;
    read_counts After = fetchReads(Settings.Metrics);
    double Replica = After.Replica - Before.Replica;
    double Primary = After.Primary - Before.Primary;
    std::cout << "reads_by_replica=" << Replica << '\n'
              << "reads_by_primary=" << Primary << '\n';
    if (Replica + Primary > 0)
      std::cout << "replica_read_share=" << Replica / (Replica + Primary)
                << '\n';
  }

  void runPhase(const phase_settings &Phase, const std::string &Prefix) {
    load_phase Run(Loop, Timers, Phase, Csv);
    waitFor(Loop,
            [&Run](std::function<void()> Done) { Run.run(std::move(Done)); });
    printStatistics(Prefix, Run.statistics());
    for (const auto &[Group, Gap] : Run.longestGaps())
      std::cout << Prefix << "gap_ms_" << Group << '=' << toMilliseconds(Gap)
                << '\n';
    Failures +=
        violationCount(Run.statistics()) + Run.statistics().UnverifiedSessions;
  }

  void openIdle() {
    std::int64_t Before =
        Settings.EntryPid ? residentBytes(Settings.EntryPid) : 0;
    Idle.emplace(Loop, Timers, Settings.Phase.Targets,
                 Settings.Phase.Groups.front());
    waitFor(Loop, [this](std::function<void()> Done) {
      Idle->open(Settings.Idle, std::move(Done));
    });
    timer_subscription Settled;
    waitFor(Loop, [this, &Settled](std::function<void()> Done) {
      Settled = Timers.after(SettleTime, std::move(Done));
    });
    std::cout << "idle_opened=" << Idle->openedCount() << '\n'
              << "idle_failed=" << Idle->failedCount() << '\n';
    if (!Settings.EntryPid || Idle->openedCount() == 0)
      return;
    std::int64_t Grown = residentBytes(Settings.EntryPid) - Before;
    std::cout << "idle_bytes_per_connection="
              << Grown / static_cast<std::int64_t>(Idle->openedCount())
              << std::endl;
  }

  bench_settings Settings;
  event_loop Loop;
  timer_service Timers;
  csv_output Csv;
  std::optional<idle_connections> Idle;
  std::uint64_t Failures = 0;
};

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App("Generates load on teasellock and checks its guarantees.");
  bench_flags Flags;
  declareFlags(App, Flags);
  CLI11_PARSE(App, Count, Arguments);
  try {
    startEventLog(severity::Warning);
    return benchmark(toSettings(Flags)).run();
  } catch (const error &Error) {
    std::cerr << Error.what() << std::endl;
    return 2;
  }
}
