#pragma once

#include "core/endpoint.h"
#include "core/event_loop.h"
#include "core/ids.h"
#include "core/metrics.h"
#include "core/timer_service.h"
#include "core/trace.h"

#include <optional>

namespace teasellock {

/// Who this process is.
struct vm_identity {
  vm_id Vm;
  incarnation Incarnation;
  availability_zone_id AvailabilityZone;
  region_id Region;
  /// Where other VMs reach it.
  endpoint Internal;
  /// Where it listens for them, if that is another address: behind a proxy or
  /// an address translation.
  std::optional<endpoint> InternalListen = std::nullopt;
};

/// What every task of the process is given. Outlives all tasks.
struct daemon_context {
  event_loop &Loop;
  timer_service &Timers;
  metrics &Metrics;
  tracer &Tracer;
  vm_identity Self;
};

} // namespace teasellock
