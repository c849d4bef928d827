#pragma once

#include "core/metrics.h"
#include "modules/caller/statement_class.h"
#include "modules/gateway/gen/gateway_messages_types.h"

#include <map>
#include <utility>

namespace teasellock {

/// Returns the outcome's name in metrics and traces: "answered", "not_run" or
/// "unknown".
const char *outcomeName(wire::statement_outcome::type Outcome);

/// The metrics of statement replies. Each metric is looked up once per class
/// and outcome.
class reply_metrics {
public:
  explicit reply_metrics(metrics &Metrics);

  /// Counts a request by its last reply. Elapsed: the time since the request
  /// was submitted.
  void countReply(statement_class Class, const wire::statement_reply &Reply,
                  duration Elapsed);

private:
  metrics &Metrics;
  counter &ReadsByReplica;
  counter &ReadsByPrimary;
  std::map<std::pair<statement_class, wire::statement_outcome::type>, counter *>
      StatementCounters;
  std::map<statement_class, latency_histogram *> Latencies;
};

} // namespace teasellock
