#pragma once

#include "modules/gateway/upstream_health.h"
#include "modules/upstream/upstream_connection.h"

#include <functional>
#include <memory>

namespace teasellock {

/// How often an upstream is probed and how long an answer may take.
struct probe_settings {
  duration Period;
  duration Timeout;
};

/// Probes one upstream over a connection of its own, so that probes never wait
/// behind statements.
class upstream_prober {
public:
  upstream_prober(daemon_context &Context, upstream_target Target,
                  probe_settings Settings,
                  std::function<void(const probe_result &)> Probed);
  ~upstream_prober();

  /// Asks for a probe that starts now or, when one is on its way, right after
  /// it. Requests are coalesced.
  void want();

  /// Asks for a probe after a span, unless one starts earlier.
  void wantAfter(duration Span);

  /// Runs hidden operations on the probe connection, between probes. Failures
  /// are logged, not reported.
  void runBetween(std::vector<upstream_operation> Operations,
                  const std::string &Step);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace teasellock
