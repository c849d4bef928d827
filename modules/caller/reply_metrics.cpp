#include "modules/caller/reply_metrics.h"

namespace teasellock {

const char *outcomeName(wire::statement_outcome::type Outcome) {
  switch (Outcome) {
  case wire::statement_outcome::answered:
    return "answered";
  case wire::statement_outcome::not_run:
    return "not_run";
  default:
    return "unknown";
  }
}

reply_metrics::reply_metrics(metrics &Metrics)
    : Metrics(Metrics), ReadsByReplica(Metrics.counterOf(
                            "teasellock_reads_total", {{"by", "replica"}})),
      ReadsByPrimary(
          Metrics.counterOf("teasellock_reads_total", {{"by", "primary"}})) {}

void reply_metrics::countReply(statement_class Class,
                               const wire::statement_reply &Reply,
                               duration Elapsed) {
  auto &Counter = StatementCounters[{Class, Reply.outcome}];
  if (!Counter)
    Counter = &Metrics.counterOf(
        "teasellock_statements_total",
        {{"class", toString(Class)}, {"outcome", outcomeName(Reply.outcome)}});
  Counter->add();
  auto &Histogram = Latencies[Class];
  if (!Histogram)
    Histogram = &Metrics.histogramOf("teasellock_statement_seconds",
                                     {{"class", toString(Class)}});
  Histogram->observe(Elapsed);
  if (Class == statement_class::Read &&
      Reply.outcome == wire::statement_outcome::answered)
    (Reply.by_replica ? ReadsByReplica : ReadsByPrimary).add();
}

} // namespace teasellock
