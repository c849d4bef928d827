/// Random fault schedules, reproducible from a seed.
#pragma once

#include "tests/soak/deployment.h"

namespace teasellock::soak {

/// The faults that the test injects.
enum class fault_kind {
  KillEntry,
  KillEveryEntry,
  FreezeEntry,
  StopEntry,
  KillControl,
  KillEveryControl,
  FreezeControl,
  WipeControl,
  TearLog,
  CutVm,
  DelayVm,
  ResetVm,
  SilenceLinks,
  ReloadEntry,
  CrashUpstream,
  SilenceUpstream,
  CutPrimary,
  LagReplicas,
  LeavingPrimary,
  LoseOrders,
  SilenceUpstreams,
  ResetUpstreams,
  ChangeDeployment,
  /// The primary announces that it is leaving and is down for under a second
  /// meanwhile.
  BlinkingPrimary,
  /// A replica that was down starts while the failed primary is replaced.
  JoiningReplica,
  /// A key is removed, moved or added. Only in runs with organisations, as are
  /// all further ones.
  ChangeKey,
  /// Faults of a VM that counts an organisation's operations. It is frozen for
  /// longer than its limiter lease.
  KillLimiter,
  CutLimiter,
  FreezeLimiter,
};

/// Time in which a killed process has started again.
inline constexpr duration RestartTime = std::chrono::milliseconds(500);

/// Returns the name of a kind, for logs.
const char *toString(fault_kind Kind);

/// One fault: when it begins, counted from the start of the schedule, how long
/// it lasts, and a random number that selects its target.
struct fault {
  duration StartOffset{};
  duration Duration{};
  fault_kind Kind = fault_kind::KillEntry;
  std::uint64_t TargetSelector = 0;
};

/// Generates the faults of a time span. Faults may overlap and repeat.
std::vector<fault> generateFaults(std::uint64_t Seed, duration Span);

/// Begins a fault. Returns the function that ends it; an empty function if the
/// fault needs no end.
std::function<void()> beginFault(soak_deployment &Deployment,
                                 const fault &Fault);

} // namespace teasellock::soak
