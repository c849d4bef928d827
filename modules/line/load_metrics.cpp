#include "modules/line/load_metrics.h"

namespace teasellock {

namespace {

metric_labels labelsOf(const group_id &Group, const upstream_id &Upstream) {
  return {{"group", Group.Value}, {"upstream", Upstream.Value}};
}

} // namespace

load_metrics::load_metrics(metrics &Metrics, const group_id &Group,
                           const upstream_id &Upstream)
    : InFlight(Metrics.gaugeOf("teasellock_gateway_upstream_in_flight",
                               labelsOf(Group, Upstream))),
      Limit(Metrics.gaugeOf("teasellock_gateway_upstream_in_flight_limit",
                            labelsOf(Group, Upstream))),
      Statements(
          Metrics.counterOf("teasellock_gateway_upstream_statements_total",
                            labelsOf(Group, Upstream))) {}

load_metrics::~load_metrics() { update(0, 0); }

void load_metrics::update(std::uint32_t NowInFlight, std::uint32_t NowLimit) {
  InFlight.set(NowInFlight);
  Limit.set(NowLimit);
}

} // namespace teasellock
