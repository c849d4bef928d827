#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teasellock::bench {

/// Reads served by replicas and by primaries, summed over daemons.
struct read_counts {
  double Replica = 0;
  double Primary = 0;
};

/// Sums teasellock_reads_total in a Prometheus text.
read_counts sumReads(const std::string &PrometheusText);

/// Fetches /metrics from all daemons and sums their reads. A failed request is
/// logged and counts as zero.
read_counts fetchReads(const std::vector<endpoint> &Daemons);

/// Returns the resident memory of a process in bytes. Throws error if it can't
/// be read.
std::int64_t residentBytes(std::int64_t Pid);

} // namespace teasellock::bench
