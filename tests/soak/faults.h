/// A random series of faults, the same for the same seed.
#pragma once

#include "tests/soak/deployment.h"

namespace teasellock::soak {

/// What can go wrong.
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
};

/// The name of a kind, for logs.
const char *toString(fault_kind Kind);

/// One fault: when it begins, how long it lasts, and what the seed picked.
struct fault {
  duration At{};
  duration Length{};
  fault_kind Kind = fault_kind::KillEntry;
  std::uint64_t Pick = 0;
};

/// Draws faults over a span: several at once, some again right after.
std::vector<fault> drawFaults(std::uint64_t Seed, duration Span);

/// Begins a fault. What undoes it, if anything has to, is returned.
std::function<void()> beginFault(soak_deployment &Deployment,
                                 const fault &Fault);

} // namespace teasellock::soak
