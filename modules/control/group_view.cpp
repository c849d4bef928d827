#include "modules/control/group_view.h"

namespace teasellock {

namespace {

std::int64_t toSigned(std::uint64_t Number) {
  return static_cast<std::int64_t>(Number);
}

std::uint64_t toUnsigned(std::int64_t Number) {
  return static_cast<std::uint64_t>(Number);
}

// Counts from other VMs are never negative; a malformed one becomes zero.
std::uint32_t toCount(std::int32_t Number) {
  return Number < 0 ? 0 : static_cast<std::uint32_t>(Number);
}

} // namespace

wire::position toWire(const position &Position) {
  wire::position Result;
  Result.term = toSigned(Position.Term.Value);
  Result.offset = toSigned(Position.Offset);
  return Result;
}

position fromWire(const wire::position &Position) {
  return {term(toUnsigned(Position.term)), toUnsigned(Position.offset)};
}

wire::table_row toWire(const table_row &Row) {
  wire::table_row Result;
  Result.group = Row.Group.Value;
  Result.automatic = Row.Mode == operating_mode::Auto;
  Result.ack_replicas = static_cast<std::int32_t>(Row.AckReplicas);
  Result.gateways = static_cast<std::int32_t>(Row.GatewayCount);
  Result.weights = Row.ReadWeights;
  Result.max_connections = static_cast<std::int32_t>(Row.MaxConnections);
  Result.max_slots = static_cast<std::int32_t>(Row.MaxSlots);
  Result.queue_limit = static_cast<std::int32_t>(Row.QueueLimit);
  Result.queue_ms = toMilliseconds(Row.QueueTimeout);
  Result.catchup_ms = toMilliseconds(Row.CatchupTimeout);
  Result.failure_ms = toMilliseconds(Row.FailureTimeout);
  Result.silence_ms = toMilliseconds(Row.SilenceTimeout);
  for (const auto &[Kind, Age] : Row.MaxReadAges)
    Result.read_age_ms[Kind.Value] = toMilliseconds(Age);
  return Result;
}

table_row fromWire(const wire::table_row &Row) {
  table_row Result;
  Result.Group = group_id(Row.group);
  Result.Mode = Row.automatic ? operating_mode::Auto : operating_mode::Manual;
  Result.AckReplicas = toCount(Row.ack_replicas);
  Result.GatewayCount = toCount(Row.gateways);
  Result.ReadWeights = Row.weights;
  Result.MaxConnections = toCount(Row.max_connections);
  Result.MaxSlots = toCount(Row.max_slots);
  Result.QueueLimit = toCount(Row.queue_limit);
  Result.QueueTimeout = fromMilliseconds(Row.queue_ms);
  Result.CatchupTimeout = fromMilliseconds(Row.catchup_ms);
  Result.FailureTimeout = fromMilliseconds(Row.failure_ms);
  Result.SilenceTimeout = fromMilliseconds(Row.silence_ms);
  for (const auto &[Kind, Age] : Row.read_age_ms)
    Result.MaxReadAges[read_kind(Kind)] = fromMilliseconds(Age);
  return Result;
}

wire::announcement toWire(const upstream_announcement &Announcement) {
  wire::announcement Result;
  Result.group = Announcement.Group.Value;
  Result.upstream = Announcement.Upstream.Value;
  Result.address = toString(Announcement.Address);
  Result.availability_zone = Announcement.AvailabilityZone.Value;
  Result.region = Announcement.Region.Value;
  Result.slots = static_cast<std::int32_t>(Announcement.Slots);
  Result.connections = static_cast<std::int32_t>(Announcement.Connections);
  Result.leaving = Announcement.Leaving;
  Result.incarnation = toSigned(Announcement.Incarnation.Value);
  Result.primary = Announcement.ClaimsPrimary;
  Result.gone = Announcement.Gone;
  return Result;
}

upstream_announcement fromWire(const wire::announcement &Announcement) {
  upstream_announcement Result;
  Result.Group = group_id(Announcement.group);
  Result.Upstream = upstream_id(Announcement.upstream);
  Result.Address = parseEndpoint(Announcement.address);
  Result.AvailabilityZone =
      availability_zone_id(Announcement.availability_zone);
  Result.Region = region_id(Announcement.region);
  Result.Slots = toCount(Announcement.slots);
  Result.Connections = toCount(Announcement.connections);
  Result.Leaving = Announcement.leaving;
  Result.Incarnation = incarnation(toUnsigned(Announcement.incarnation));
  Result.ClaimsPrimary = Announcement.primary;
  Result.Gone = Announcement.gone;
  return Result;
}

wire::gateway_share toWire(const gateway_share &Share) {
  wire::gateway_share Result;
  Result.vm = Share.Vm.Value;
  Result.incarnation = toSigned(Share.Incarnation.Value);
  Result.address = toString(Share.Address);
  Result.availability_zone = Share.AvailabilityZone.Value;
  Result.region = Share.Region.Value;
  Result.connections = static_cast<std::int32_t>(Share.Connections);
  Result.slots = static_cast<std::int32_t>(Share.Slots);
  Result.budget_epoch = toSigned(Share.BudgetEpoch);
  return Result;
}

gateway_share fromWire(const wire::gateway_share &Share) {
  gateway_share Result;
  Result.Vm = vm_id(Share.vm);
  Result.Incarnation = incarnation(toUnsigned(Share.incarnation));
  Result.Address = parseEndpoint(Share.address);
  Result.AvailabilityZone = availability_zone_id(Share.availability_zone);
  Result.Region = region_id(Share.region);
  Result.Connections = toCount(Share.connections);
  Result.Slots = toCount(Share.slots);
  Result.BudgetEpoch = toUnsigned(Share.budget_epoch);
  return Result;
}

wire::group_view toWire(const group_view &View) {
  wire::group_view Result;
  Result.group = View.Group.Value;
  Result.revision = toSigned(View.Revision.Value);
  Result.row = toWire(View.Row);
  Result.term = toSigned(View.Term.Value);
  if (View.Primary)
    Result.primary = View.Primary->Value;
  for (const auto &Upstream : View.Upstreams)
    Result.upstreams.push_back(toWire(Upstream));
  for (const auto &Share : View.Gateways)
    Result.gateways.push_back(toWire(Share));
  Result.watermark = toWire(View.Watermark);
  Result.removed = View.Removed;
  return Result;
}

group_view fromWire(const wire::group_view &View) {
  group_view Result;
  Result.Group = group_id(View.group);
  Result.Revision = revision(toUnsigned(View.revision));
  Result.Row = fromWire(View.row);
  Result.Term = term(toUnsigned(View.term));
  if (!View.primary.empty())
    Result.Primary = upstream_id(View.primary);
  for (const auto &Upstream : View.upstreams)
    Result.Upstreams.push_back(fromWire(Upstream));
  for (const auto &Share : View.gateways)
    Result.Gateways.push_back(fromWire(Share));
  Result.Watermark = fromWire(View.watermark);
  Result.Removed = View.removed;
  return Result;
}

} // namespace teasellock
