/// A row of the operators' table, which has one row for each database group.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <map>

namespace teasellock {

/// Whether decisions about a group are executed automatically or proposed to
/// operators for approval.
enum class operating_mode { Auto, Manual };

/// The operating parameters of one database group.
struct table_row {
  group_id Group;
  operating_mode Mode = operating_mode::Auto;
  /// Replicas that must have flushed a write before it is acknowledged.
  std::uint32_t AckReplicas = 1;
  /// Number of VMs that act as gateway: hold connections to the group's
  /// upstreams.
  std::uint32_t GatewayCount = 2;
  /// Weight in the distribution of reads, by name of upstream or availability
  /// zone; 1 if missing.
  std::map<std::string, double> ReadWeights;
  /// Maximum connections to each upstream from all gateways together; 0: as
  /// announced by the upstream.
  std::uint32_t MaxConnections = 0;
  /// Maximum concurrent statements on each upstream; 0: as announced by the
  /// upstream.
  std::uint32_t MaxSlots = 0;
  /// Maximum number of statements in one gateway's queue for the group.
  std::uint32_t QueueLimit = 1000;
  /// Maximum time that a statement waits in that queue.
  duration QueueTimeout = fromMilliseconds(2000);
  /// Maximum time that a read waits for a replica to reach the floor of its
  /// session.
  duration CatchupTimeout = fromMilliseconds(50);
  /// How long a primary must be unreachable before another is promoted.
  duration FailureTimeout = fromMilliseconds(600);
  /// How long the upstream may send nothing during a statement before the
  /// statement is checked.
  duration SilenceTimeout = fromMilliseconds(5000);
  /// Maximum tolerated age of the data that a read sees, by read kind. For a
  /// kind that is not listed, a replica only has to have reached the floor of
  /// the session.
  std::map<read_kind, duration> MaxReadAges;

  bool operator==(const table_row &) const = default;
};

} // namespace teasellock
