/// Chooses the replica that serves a read.
#pragma once

#include "core/position.h"
#include "core/time.h"
#include "modules/table/table_row.h"

#include <optional>
#include <vector>

namespace teasellock {

/// A reachable replica that is not leaving the group.
struct replica_candidate {
  upstream_id Upstream;
  availability_zone_id AvailabilityZone;
  region_id Region;
  position Replayed;
  /// An upper bound on the age of its data; empty when unknown.
  std::optional<duration> Age;
  double Weight = 1;
  /// Statements of this gateway that are executing on it or queued for it, and
  /// how many may execute at a time.
  std::uint32_t InFlight = 0;
  std::uint32_t Slots = 1;
};

/// What a read requires of the replica that serves it, and where the reader
/// is.
struct read_requirements {
  /// The lowest position that the replica must have replayed.
  position Floor;
  /// The greatest age of the data; empty for kinds without a bound, which only
  /// require that the session sees its own writes.
  std::optional<duration> MaxAge;
  availability_zone_id AvailabilityZone;
  region_id Region;
};

/// Returns the greatest age of data that a read kind accepts, or nothing for a
/// kind that the table does not list, such as usually the default kind "": then
/// only the session's floor matters.
std::optional<duration> maxReadAge(const table_row &Row, const read_kind &Kind);

/// Returns the weight that the table sets for the upstream, else for its
/// availability zone, else 1.
double weightOf(const table_row &Row, const upstream_id &Upstream,
                const availability_zone_id &Zone);

/// Reports whether the replica may serve the read: its weight is positive, it
/// has replayed the floor, and its data are recent enough.
bool isEligible(const replica_candidate &Candidate,
                const read_requirements &Requirements);

/// Returns the index of the best eligible replica, if any. Prefers the same
/// region, then a free slot, then the same availability zone, then the lowest
/// load relative to its weight.
std::optional<std::size_t>
chooseReplica(const std::vector<replica_candidate> &Candidates,
              const read_requirements &Requirements);

} // namespace teasellock
