#include "tests/soak/faults.h"

#include "core/event_log.h"
#include "tests/soak/organisation_faults.h"

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace teasellock::soak {

namespace {

constexpr std::int64_t MaxGapMs = 1200;
constexpr std::int64_t MaxPromotionFaultGapMs = 8000;
constexpr std::int64_t MinDurationMs = 200;
constexpr std::int64_t MaxDurationMs = 4000;
/// Minimum time between two lost disks: the control group needs it to replace
/// the lost store.
constexpr duration DiskRecoveryPeriod = std::chrono::seconds(8);
constexpr duration LongDelay = std::chrono::milliseconds(250);
constexpr duration LongLag = std::chrono::milliseconds(2500);
constexpr duration NormalLag = std::chrono::milliseconds(20);
constexpr std::size_t TornBytes = 37;

constexpr std::array FaultNames = {
    "kill_entry",       "kill_every_entry",  "freeze_entry",
    "stop_entry",       "kill_control",      "kill_every_control",
    "freeze_control",   "wipe_control",      "tear_log",
    "cut_vm",           "delay_vm",          "reset_vm",
    "silence_links",    "reload_entry",      "crash_upstream",
    "silence_upstream", "cut_primary",       "lag_replicas",
    "leaving_primary",  "lose_orders",       "silence_upstreams",
    "reset_upstreams",  "change_deployment", "blinking_primary",
    "joining_replica",  "change_key",        "kill_limiter",
    "cut_limiter",      "freeze_limiter"};

/// When the primary of BlinkingPrimary goes down after it has announced that it
/// is leaving, and for how long.
constexpr duration BlinkDelay = std::chrono::milliseconds(450);
constexpr duration BlinkTime = std::chrono::milliseconds(700);
/// When the replica of JoiningReplica starts after the primary has failed: it
/// is replaced within about a second.
constexpr duration JoinDelay = std::chrono::milliseconds(700);

using undo_function = std::function<void()>;

std::size_t vmCount(const soak_deployment &Deployment) {
  return Deployment.Entries.size() + Deployment.Controls.size();
}

soak_vm &selectVm(soak_deployment &Deployment, std::uint64_t TargetSelector) {
  std::size_t Index = TargetSelector % vmCount(Deployment);
  std::size_t Entries = Deployment.Entries.size();
  return Index < Entries ? Deployment.Entries[Index]
                         : Deployment.Controls[Index - Entries];
}

void signalAll(std::vector<soak_vm> &Vms, int Signal) {
  for (auto &Vm : Vms)
    Vm.Process->sendSignal(Signal);
}

undo_function freeze(soak_vm &Vm) {
  Vm.Process->sendSignal(SIGSTOP);
  return [&Vm] { Vm.Process->sendSignal(SIGCONT); };
}

/// Kills the process and deletes its data folder before it restarts.
void wipe(soak_vm &Vm) {
  Vm.Process->sendSignal(SIGKILL);
  std::filesystem::remove_all(Vm.DataFolder);
  std::filesystem::create_directories(Vm.DataFolder);
}

/// Simulates a torn write: kills the process and appends invalid bytes to its
/// newest log file.
void tearLog(soak_vm &Vm) {
  Vm.Process->sendSignal(SIGKILL);
  std::filesystem::path Newest;
  for (const auto &Entry : std::filesystem::directory_iterator(Vm.DataFolder))
    if (Entry.is_regular_file() &&
        Entry.path().filename().string().starts_with("log") &&
        Entry.path() > Newest)
      Newest = Entry.path();
  if (!Newest.empty())
    std::ofstream(Newest, std::ios::app | std::ios::binary)
        << std::string(TornBytes, '\x5a');
}

undo_function cutVm(soak_vm &Vm, std::uint64_t TargetSelector) {
  constexpr std::array Cuts = {relay_drop::ToServer, relay_drop::FromServer,
                               relay_drop::Both};
  Vm.Relay->dropBytes(Cuts[(TargetSelector >> 8) % Cuts.size()]);
  return [&Vm] { Vm.Relay->dropBytes(relay_drop::None); };
}

undo_function failUpstream(upstream_group &Group, std::uint64_t TargetSelector,
                           upstream_fault Fault) {
  // Selects the primary with a probability of at least one half.
  std::size_t Upstream = (TargetSelector >> 8) % 2
                             ? Group.primaryIndex()
                             : (TargetSelector >> 16) % Group.size();
  Group.injectFault(Upstream, Fault);
  return [&Group, Upstream] { Group.recover(Upstream); };
}

/// Time in which a process has started again that drains for the grace
/// period of 3 s first.
constexpr duration DrainedRestartTime = std::chrono::seconds(4);

/// Tells the oracle which VMs control may not reach because of a fault.
void recordDisturbance(soak_deployment &Deployment, const fault &Fault,
                       time_point Now) {
  std::size_t Entries = Deployment.Entries.size();
  std::optional<std::size_t> Entry = Fault.TargetSelector % Entries;
  duration Length = RestartTime;
  switch (Fault.Kind) {
  case fault_kind::KillEntry:
    break;
  case fault_kind::StopEntry:
    Length = DrainedRestartTime;
    break;
  case fault_kind::FreezeEntry:
    Length = Fault.Duration;
    break;
  case fault_kind::CutVm:
  case fault_kind::DelayVm:
  case fault_kind::ResetVm:
    Entry = Fault.TargetSelector % vmCount(Deployment);
    if (*Entry >= Entries)
      Entry.reset();
    Length = Fault.Duration;
    break;
  case fault_kind::FreezeControl:
    Entry.reset();
    Length = Fault.Duration;
    break;
  case fault_kind::KillEveryEntry:
  case fault_kind::KillControl:
  case fault_kind::KillEveryControl:
  case fault_kind::WipeControl:
  case fault_kind::TearLog:
  case fault_kind::SilenceLinks:
    Entry.reset();
    break;
  default:
    return;
  }
  Deployment.OrganisationOracle->recordDisturbance(Entry, Now, Now + Length);
}

undo_function beginVmFault(soak_deployment &Deployment, const fault &Fault) {
  auto &Entry =
      Deployment.Entries[Fault.TargetSelector % Deployment.Entries.size()];
  auto &Control =
      Deployment.Controls[Fault.TargetSelector % Deployment.Controls.size()];
  auto &Vm = selectVm(Deployment, Fault.TargetSelector);
  switch (Fault.Kind) {
  case fault_kind::KillEntry:
    Entry.Process->sendSignal(SIGKILL);
    break;
  case fault_kind::KillEveryEntry:
    signalAll(Deployment.Entries, SIGKILL);
    break;
  case fault_kind::FreezeEntry:
    return freeze(Entry);
  case fault_kind::StopEntry:
    Entry.Process->sendSignal(SIGTERM);
    break;
  case fault_kind::KillControl:
    Control.Process->sendSignal(SIGKILL);
    break;
  case fault_kind::KillEveryControl:
    signalAll(Deployment.Controls, SIGKILL);
    break;
  case fault_kind::FreezeControl:
    return freeze(Control);
  case fault_kind::WipeControl:
    wipe(Control);
    break;
  case fault_kind::TearLog:
    tearLog(Control);
    break;
  case fault_kind::CutVm:
    return cutVm(Vm, Fault.TargetSelector);
  case fault_kind::DelayVm:
    Vm.Relay->setDelay(LongDelay);
    return [&Vm] { Vm.Relay->setDelay({}); };
  case fault_kind::ResetVm:
    Vm.Relay->resetConnections(0.6, Fault.TargetSelector);
    break;
  case fault_kind::SilenceLinks:
    for (auto &Each : Deployment.Entries)
      Each.Relay->silenceConnections();
    break;
  default:
    Entry.Process->sendSignal(SIGHUP);
  }
  return nullptr;
}

undo_function blink(soak_deployment &Deployment, upstream_group &Group) {
  std::size_t Upstream = Group.primaryIndex();
  Group.setLeaving(Upstream, true);
  Deployment.runLater(BlinkDelay, [&Group, Upstream] {
    Group.injectFault(Upstream, upstream_fault::Crashed);
  });
  Deployment.runLater(BlinkDelay + BlinkTime,
                      [&Group, Upstream] { Group.recover(Upstream); });
  return [&Group, Upstream] { Group.setLeaving(Upstream, false); };
}

undo_function joinReplica(soak_deployment &Deployment, upstream_group &Group) {
  std::size_t Primary = Group.primaryIndex();
  std::size_t Replica = (Primary + 1) % Group.size();
  Group.injectFault(Replica, upstream_fault::Crashed);
  Group.injectFault(Primary, upstream_fault::Crashed);
  Deployment.runLater(JoinDelay, [&Group, Replica] { Group.recover(Replica); });
  return [&Group, Primary] { Group.recover(Primary); };
}

undo_function beginUpstreamFault(soak_deployment &Deployment,
                                 const fault &Fault) {
  auto &Group =
      *Deployment.Groups[Fault.TargetSelector % Deployment.Groups.size()];
  switch (Fault.Kind) {
  case fault_kind::CrashUpstream:
    return failUpstream(Group, Fault.TargetSelector, upstream_fault::Crashed);
  case fault_kind::SilenceUpstream:
    return failUpstream(Group, Fault.TargetSelector, upstream_fault::Silent);
  case fault_kind::CutPrimary: {
    std::size_t Upstream = Group.primaryIndex();
    Group.cutReplication(Upstream, true);
    return [&Group, Upstream] { Group.cutReplication(Upstream, false); };
  }
  case fault_kind::LagReplicas:
    Group.setLag(LongLag);
    return [&Group] { Group.setLag(NormalLag); };
  case fault_kind::LeavingPrimary: {
    std::size_t Upstream = Group.primaryIndex();
    Group.setLeaving(Upstream, true);
    return [&Group, Upstream] { Group.setLeaving(Upstream, false); };
  }
  case fault_kind::BlinkingPrimary:
    return blink(Deployment, Group);
  case fault_kind::JoiningReplica:
    return joinReplica(Deployment, Group);
  case fault_kind::LoseOrders:
    Deployment.setPromotionLossProbability(0.5);
    return [&Deployment] { Deployment.setPromotionLossProbability(0); };
  case fault_kind::SilenceUpstreams:
    Group.silenceConnections();
    return nullptr;
  case fault_kind::ResetUpstreams:
    Group.resetConnections(0.5, Fault.TargetSelector);
    return nullptr;
  default:
    Deployment.changeDeployment();
    return nullptr;
  }
}

/// Adds faults around promotions. They have a generator of their own, so that
/// the other faults of a seed stay the same.
void addPromotionFaults(std::vector<fault> &Faults, std::uint64_t Seed,
                        duration Span) {
  std::mt19937_64 Random(Seed + 1);
  auto Draw = [&](std::int64_t Min, std::int64_t Max) {
    return std::uniform_int_distribution<std::int64_t>(Min, Max)(Random);
  };
  duration At{};
  while (At < Span) {
    At += fromMilliseconds(Draw(0, MaxPromotionFaultGapMs));
    fault Fault;
    Fault.StartOffset = At;
    Fault.Duration = fromMilliseconds(Draw(MinDurationMs, MaxDurationMs));
    Fault.Kind = Draw(0, 1) == 0 ? fault_kind::BlinkingPrimary
                                 : fault_kind::JoiningReplica;
    Fault.TargetSelector = Random();
    Faults.push_back(Fault);
  }
}

} // namespace

const char *toString(fault_kind Kind) {
  return FaultNames[static_cast<std::size_t>(Kind)];
}

std::vector<fault> generateFaults(std::uint64_t Seed, duration Span) {
  std::mt19937_64 Random(Seed);
  auto Draw = [&](std::int64_t Min, std::int64_t Max) {
    return std::uniform_int_distribution<std::int64_t>(Min, Max)(Random);
  };
  std::vector<fault> Faults;
  std::optional<duration> DiskLostAt;
  duration At{};
  while (At < Span) {
    At += fromMilliseconds(Draw(0, MaxGapMs));
    fault Fault;
    Fault.StartOffset = At;
    Fault.Duration = fromMilliseconds(Draw(MinDurationMs, MaxDurationMs));
    Fault.Kind = static_cast<fault_kind>(
        Draw(0, static_cast<std::int64_t>(fault_kind::ChangeDeployment)));
    Fault.TargetSelector = Random();
    bool LosesDisk = Fault.Kind == fault_kind::WipeControl;
    if (LosesDisk && DiskLostAt && At - *DiskLostAt < DiskRecoveryPeriod)
      Fault.Kind = fault_kind::ChangeDeployment;
    else if (LosesDisk)
      DiskLostAt = At;
    Faults.push_back(Fault);
  }
  addPromotionFaults(Faults, Seed, Span);
  return Faults;
}

std::function<void()> beginFault(soak_deployment &Deployment,
                                 const fault &Fault) {
  event("soak.fault")
      .with("kind", toString(Fault.Kind))
      .with("for_ms", toMilliseconds(Fault.Duration))
      .with("pick", Fault.TargetSelector);
  if (Deployment.OrganisationOracle)
    recordDisturbance(Deployment, Fault, Deployment.now());
  if (Fault.Kind >= fault_kind::ChangeKey)
    return beginOrganisationFault(Deployment, Fault);
  if (Fault.Kind < fault_kind::CrashUpstream)
    return beginVmFault(Deployment, Fault);
  return beginUpstreamFault(Deployment, Fault);
}

} // namespace teasellock::soak
