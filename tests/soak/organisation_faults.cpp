#include "tests/soak/organisation_faults.h"

#include <algorithm>
#include <csignal>

namespace teasellock::soak {

namespace {

constexpr std::int64_t MinKeyChangeGapMs = 500;
constexpr std::int64_t MaxKeyChangeGapMs = 3000;
constexpr std::int64_t MinLimiterGapMs = 1000;
constexpr std::int64_t MaxLimiterGapMs = 5000;
constexpr std::int64_t MinCutMs = 1000;
constexpr std::int64_t MaxCutMs = 6000;
/// Longer than the limiter lease of 10 s with the leader's margin, after which
/// another VM gets the slots.
constexpr std::int64_t FreezeMs = 12500;

bool isFreeze(fault_kind Kind) {
  return Kind == fault_kind::FreezeEntry || Kind == fault_kind::FreezeControl;
}

/// Every other general fault, so that VMs are reached by control between them.
std::vector<fault> generateFewerFaults(std::uint64_t Seed, duration Span) {
  std::vector<fault> Faults;
  std::size_t Number = 0;
  for (auto &Fault : generateFaults(Seed, Span))
    if (++Number % 2 == 0 && !isFreeze(Fault.Kind) && Fault.StartOffset < Span)
      Faults.push_back(Fault);
  return Faults;
}

bool endsEntries(fault_kind Kind) {
  return Kind == fault_kind::KillEntry || Kind == fault_kind::KillEveryEntry ||
         Kind == fault_kind::StopEntry;
}

bool endsControl(fault_kind Kind) {
  return Kind == fault_kind::KillControl ||
         Kind == fault_kind::KillEveryControl ||
         Kind == fault_kind::WipeControl || Kind == fault_kind::TearLog;
}

/// Runs with an even seed freeze a limiter once, if there is time; in these no
/// entry is killed, since this would end the freeze. In every second of these
/// no control process is killed either: a new leader assigns the slots of a
/// silent VM only after another lease time. In the others limiters are killed.
/// In all of them their links are cut.
void addLimiterFaults(std::vector<fault> &Faults, std::uint64_t Seed,
                      duration Span) {
  std::mt19937_64 Random(Seed + 3);
  auto Draw = [&](std::int64_t Min, std::int64_t Max) {
    return std::uniform_int_distribution<std::int64_t>(Min, Max)(Random);
  };
  std::int64_t SpareMs = toMilliseconds(Span) - FreezeMs;
  bool Freezes = Seed % 2 == 0 && SpareMs >= 0;
  if (Freezes) {
    std::erase_if(Faults, [&](const auto &Fault) {
      return endsEntries(Fault.Kind) ||
             (Seed % 4 == 2 && endsControl(Fault.Kind));
    });
    Faults.push_back({fromMilliseconds(Draw(0, SpareMs)),
                      fromMilliseconds(FreezeMs), fault_kind::FreezeLimiter,
                      Random()});
  }
  for (duration At{};;) {
    At += fromMilliseconds(Draw(MinLimiterGapMs, MaxLimiterGapMs));
    if (At >= Span)
      return;
    bool Kills = Draw(0, 1) == 0 && !Freezes;
    Faults.push_back({At, fromMilliseconds(Draw(MinCutMs, MaxCutMs)),
                      Kills ? fault_kind::KillLimiter : fault_kind::CutLimiter,
                      Random()});
  }
}

std::function<void()> beginLimiterFault(soak_deployment &Deployment,
                                        const fault &Fault) {
  std::size_t Entry = Deployment.limiterOf(
      Fault.TargetSelector % Deployment.Roster->organisations().size());
  auto &Vm = Deployment.Entries[Entry];
  bool Kills = Fault.Kind == fault_kind::KillLimiter;
  auto Now = Deployment.now();
  Deployment.OrganisationOracle->recordDisturbance(
      Entry, Now, Now + (Kills ? RestartTime : Fault.Duration));
  if (Kills) {
    Vm.Process->sendSignal(SIGKILL);
    return nullptr;
  }
  if (Fault.Kind == fault_kind::FreezeLimiter) {
    Vm.Process->sendSignal(SIGSTOP);
    return [&Vm] { Vm.Process->sendSignal(SIGCONT); };
  }
  Vm.Relay->dropBytes(relay_drop::Both);
  return [&Vm] { Vm.Relay->dropBytes(relay_drop::None); };
}

} // namespace

std::vector<fault> generateOrganisationFaults(std::uint64_t Seed,
                                              duration Span) {
  auto Faults = generateFewerFaults(Seed, Span);
  std::mt19937_64 Random(Seed + 2);
  auto Draw = [&](std::int64_t Min, std::int64_t Max) {
    return fromMilliseconds(
        std::uniform_int_distribution<std::int64_t>(Min, Max)(Random));
  };
  for (duration At{};;) {
    At += Draw(MinKeyChangeGapMs, MaxKeyChangeGapMs);
    if (At >= Span)
      break;
    Faults.push_back({At, {}, fault_kind::ChangeKey, Random()});
  }
  addLimiterFaults(Faults, Seed, Span);
  for (auto &Fault : Faults)
    Fault.Duration = std::min(Fault.Duration, Span - Fault.StartOffset);
  return Faults;
}

std::function<void()> beginOrganisationFault(soak_deployment &Deployment,
                                             const fault &Fault) {
  if (Fault.Kind != fault_kind::ChangeKey)
    return beginLimiterFault(Deployment, Fault);
  Deployment.changeKey();
  return nullptr;
}

} // namespace teasellock::soak
