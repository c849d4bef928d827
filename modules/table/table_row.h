/// The operators' table: a row for each database group.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <map>

namespace teasellock {

/// Whether the system acts by itself on a group or proposes to operators.
enum class operating_mode { Auto, Hand };

/// What an operator declares of one database group.
struct table_row {
  group_id Group;
  operating_mode Mode = operating_mode::Auto;
  /// Replicas that must have flushed a write before it is acknowledged.
  std::uint32_t AckReplicas = 1;
  /// VMs that hold connections to the group's upstreams.
  std::uint32_t Gateways = 2;
  /// Share of reads by upstream or availability zone name; 1 when not named.
  std::map<std::string, double> Weights;
  /// Cap on connections to each upstream over all gateways; 0: as announced.
  std::uint32_t MaxConnections = 0;
  /// Cap on statements at once on each upstream; 0: as announced.
  std::uint32_t MaxSlots = 0;
  /// Statements that may wait in one gateway's queue for the group.
  std::uint32_t QueueLimit = 1000;
  /// How long a statement may wait in that queue.
  duration QueueTimeout = fromMilliseconds(2000);
  /// How long a read waits for a replica to reach its session's floor.
  duration CatchupTimeout = fromMilliseconds(50);
  /// How long a primary may be unreachable before it is replaced.
  duration FailureTimeout = fromMilliseconds(600);
  /// How long a statement may stay silent before its back-end is checked.
  duration SilenceTimeout = fromMilliseconds(5000);
  /// Tolerated age of each read kind. A kind not named tolerates none beyond
  /// the session's own writes being visible.
  std::map<read_kind, duration> ReadAges;

  bool operator==(const table_row &) const = default;
};

} // namespace teasellock
