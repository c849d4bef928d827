#pragma once

#include "modules/gateway/upstream_health.h"
#include "modules/upstream/upstream_connection.h"

#include <functional>
#include <memory>

namespace teasellock {

/// The probe interval and the time within which a probe must be answered. Half
/// of the timeout is for the existing connection, half for a new one.
struct probe_settings {
  duration Period;
  duration Timeout;
};

/// Probes one upstream over a dedicated connection, so that probes never wait
/// for statements.
class upstream_prober {
public:
  /// Starts probing. Probed is called at the end of each probe.
  upstream_prober(daemon_context &Context, upstream_target Target,
                  probe_settings Settings,
                  std::function<void(const probe_result &)> Probed);
  ~upstream_prober();

  /// Requests a probe that starts now or, if one is in progress, right after
  /// it. Requests are coalesced.
  void requestProbe();

  /// Requests a probe after Span, unless one starts earlier.
  void requestProbeAfter(duration Span);

  /// Executes hidden operations on the probe connection, between probes.
  /// Failures are only logged, with Step.
  void enqueueOperations(std::vector<upstream_operation> Operations,
                         const std::string &Step);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace teasellock
