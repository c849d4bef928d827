#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teasellock::bench {

/// How many reads were served by whom, summed over daemons.
struct read_counts {
  double Replica = 0;
  double Primary = 0;
};

/// Adds up teasellock_reads_total in a Prometheus text.
read_counts sumReads(const std::string &PrometheusText);

/// Fetches /metrics of all daemons. A daemon that does not answer counts
/// nothing and is logged.
read_counts fetchReads(const std::vector<endpoint> &Daemons);

/// Bytes of resident memory of a process. Throws error if it can't be read.
std::int64_t residentBytes(std::int64_t Pid);

} // namespace teasellock::bench
