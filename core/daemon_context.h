#pragma once

#include "core/endpoint.h"
#include "core/event_loop.h"
#include "core/ids.h"
#include "core/metrics.h"
#include "core/timer_service.h"
#include "core/trace.h"

#include <optional>

namespace teasellock {

/// Identity and addresses of this process.
struct vm_identity {
  vm_id Vm;
  incarnation Incarnation;
  availability_zone_id AvailabilityZone;
  region_id Region;
  /// Address at which other VMs reach this process.
  endpoint InternalEndpoint;
  /// Address to listen at for other VMs if it differs from Internal, for
  /// instance behind a proxy or address translation.
  std::optional<endpoint> InternalListenEndpoint = std::nullopt;
};

/// Services shared by all tasks of the process. Outlives all of them.
struct daemon_context {
  event_loop &Loop;
  timer_service &Timers;
  metrics &Metrics;
  tracer &Tracer;
  vm_identity Self;
};

} // namespace teasellock
