#pragma once

#include "core/endpoint.h"
#include "core/position.h"
#include "modules/control/gen/control_messages_types.h"
#include "modules/table/table_row.h"

#include <optional>
#include <vector>

namespace teasellock {

/// What an upstream says of itself through the platform's call.
struct upstream_announcement {
  group_id Group;
  upstream_id Upstream;
  endpoint Address;
  availability_zone_id AvailabilityZone;
  region_id Region;
  /// Statements it executes at once.
  std::uint32_t Slots = 1;
  /// Connections it accepts in all.
  std::uint32_t Connections = 1;
  /// No new work may be sent to it.
  bool Leaving = false;
  /// Which run of the upstream's process this is; zero when it is not told.
  incarnation Incarnation;
  /// It takes itself for the primary.
  bool ClaimsPrimary = false;
  /// It has left for good.
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
  /// Connections it may hold to each upstream.
  std::uint32_t Connections = 0;
  /// Statements it may run at once on each upstream.
  std::uint32_t Slots = 0;
  /// Grows with each decision on the group's shares.
  std::uint64_t BudgetEpoch = 0;

  bool operator==(const gateway_share &) const = default;
};

/// What every VM knows of a group.
struct group_view {
  group_id Group;
  revision Revision;
  table_row Row;
  term Term;
  /// Nothing while no primary may be written to.
  std::optional<upstream_id> Primary;
  std::vector<upstream_announcement> Upstreams;
  std::vector<gateway_share> Gateways;
  /// Highest position known to be acknowledged.
  position Watermark;
  /// The operators deleted the row.
  bool Removed = false;
};

wire::position toWire(const position &Position);
position fromWire(const wire::position &Position);
wire::table_row toWire(const table_row &Row);
table_row fromWire(const wire::table_row &Row);
wire::announcement toWire(const upstream_announcement &Announcement);
/// Throws error when the address can't be read.
upstream_announcement fromWire(const wire::announcement &Announcement);
wire::gateway_share toWire(const gateway_share &Share);
gateway_share fromWire(const wire::gateway_share &Share);
wire::group_view toWire(const group_view &View);
group_view fromWire(const wire::group_view &View);

} // namespace teasellock
