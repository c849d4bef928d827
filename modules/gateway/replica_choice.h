/// Which replica serves a read.
#pragma once

#include "core/position.h"
#include "core/time.h"
#include "modules/table/table_row.h"

#include <optional>
#include <vector>

namespace teasellock {

/// A replica that answers probes and is not leaving.
struct replica_candidate {
  upstream_id Upstream;
  availability_zone_id AvailabilityZone;
  region_id Region;
  position Replayed;
  /// How old its data may be at most; nothing when that is not known.
  std::optional<duration> Age;
  double Weight = 1;
  /// Statements running or queued there, and how many may run at once.
  std::uint32_t InFlight = 0;
  std::uint32_t Slots = 1;
};

/// What a read asks of the replica that serves it.
struct read_demand {
  position Floor;
  /// The default kind has none: it asks for the session's own writes only.
  std::optional<duration> MostAge;
  availability_zone_id AvailabilityZone;
  region_id Region;
};

/// The age a kind tolerates. The default kind "" has no bound unless the table
/// names one: only the session's floor matters. A kind that is not in the table
/// counts as the default kind.
std::optional<duration> toleratedAge(const table_row &Row,
                                     const read_kind &Kind);

/// The weight of an upstream: by its name, else by its zone, else 1.
double weightOf(const table_row &Row, const upstream_id &Upstream,
                const availability_zone_id &Zone);

/// Whether the replica may serve the read at all.
bool isEligible(const replica_candidate &Candidate, const read_demand &Demand);

/// The index of the best eligible replica: same region first, then one with a
/// free slot, then same zone, then the lowest load for its weight.
std::optional<std::size_t>
chooseReplica(const std::vector<replica_candidate> &Candidates,
              const read_demand &Demand);

} // namespace teasellock
