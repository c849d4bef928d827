/// What a gateway reports of its load on one upstream.
#pragma once

#include "core/ids.h"
#include "core/metrics.h"

namespace teasellock {

/// The metrics of one upstream: statements in flight, their limit, and all
/// statements sent, whose rates give the upstream's share. The gauges fall to
/// zero when the gateway does not use the upstream any more.
class load_metrics {
public:
  load_metrics(metrics &Metrics, const group_id &Group,
               const upstream_id &Upstream);
  ~load_metrics();
  load_metrics(const load_metrics &) = delete;
  load_metrics &operator=(const load_metrics &) = delete;

  void countStatement() { Statements.add(); }
  void update(std::uint32_t NowInFlight, std::uint32_t NowLimit);

private:
  gauge &InFlight;
  gauge &Limit;
  counter &Statements;
};

} // namespace teasellock
