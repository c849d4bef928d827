#pragma once

#include "core/endpoint.h"
#include "core/position.h"
#include "modules/control/gen/control_messages_types.h"
#include "modules/table/table_row.h"

#include <optional>
#include <vector>

namespace teasellock {

/// What an upstream announces about itself through the platform.
struct upstream_announcement {
  group_id Group;
  upstream_id Upstream;
  endpoint Address;
  availability_zone_id AvailabilityZone;
  region_id Region;
  /// Statements that it executes at once.
  std::uint32_t Slots = 1;
  /// Connections that it accepts in total.
  std::uint32_t Connections = 1;
  /// No new work may be sent to it.
  bool Leaving = false;
  /// Distinguishes successive processes of the upstream; zero if unknown.
  incarnation Incarnation;
  /// It considers itself the primary.
  bool ClaimsPrimary = false;
  /// It has left permanently.
  bool Gone = false;

  bool operator==(const upstream_announcement &) const = default;
};

/// One gateway's share of a group's limits.
struct gateway_share {
  vm_id Vm;
  incarnation Incarnation;
  endpoint Address;
  availability_zone_id AvailabilityZone;
  region_id Region;
  /// Connections that it may hold to each upstream.
  std::uint32_t Connections = 0;
  /// Statements that it may execute at once on each upstream.
  std::uint32_t Slots = 0;
  /// Number of the last decision that changed the group's shares.
  std::uint64_t BudgetEpoch = 0;

  bool operator==(const gateway_share &) const = default;
};

/// The part of a group's replicated state that every VM receives.
struct group_view {
  group_id Group;
  revision Revision;
  table_row Row;
  term Term;
  /// Empty while no primary may be written to.
  std::optional<upstream_id> Primary;
  std::vector<upstream_announcement> Upstreams;
  std::vector<gateway_share> Gateways;
  /// Highest position known to be acknowledged.
  position Watermark;
  /// The table has no row for the group.
  bool Removed = false;
};

// Conversions between these types and the wire types. Those from the wire
// types throw error if an address is malformed.
wire::position toWire(const position &Position);
position fromWire(const wire::position &Position);
wire::table_row toWire(const table_row &Row);
table_row fromWire(const wire::table_row &Row);
wire::announcement toWire(const upstream_announcement &Announcement);
upstream_announcement fromWire(const wire::announcement &Announcement);
wire::gateway_share toWire(const gateway_share &Share);
gateway_share fromWire(const wire::gateway_share &Share);
wire::group_view toWire(const group_view &View);
group_view fromWire(const wire::group_view &View);

} // namespace teasellock
