#include "modules/control/control_codec.h"

#include "modules/control/limiter_codec.h"
#include "modules/link/codec.h"

namespace teasellock {

namespace {

std::int64_t toSigned(std::uint64_t Number) {
  return static_cast<std::int64_t>(Number);
}

std::uint64_t toUnsigned(std::int64_t Number) {
  return static_cast<std::uint64_t>(Number);
}

std::uint32_t toCount(std::int32_t Number) {
  return Number < 0 ? 0 : static_cast<std::uint32_t>(Number);
}

std::string nameOf(const std::optional<upstream_id> &Upstream) {
  return Upstream ? Upstream->Value : std::string();
}

std::optional<upstream_id> upstreamOf(const std::string &Name) {
  if (Name.empty())
    return std::nullopt;
  return upstream_id(Name);
}

wire::share_holder toWire(const share_holder &Holder) {
  wire::share_holder Result;
  Result.vm = Holder.Vm.Value;
  Result.incarnation = toSigned(Holder.Incarnation.Value);
  Result.connections = static_cast<std::int32_t>(Holder.Connections);
  Result.slots = static_cast<std::int32_t>(Holder.Slots);
  Result.epoch = toSigned(Holder.Epoch);
  Result.fenced = Holder.Fenced;
  Result.removed_at = toSigned(Holder.RemovedAt.Value);
  return Result;
}

share_holder fromWire(const wire::share_holder &Holder) {
  share_holder Result;
  Result.Vm = vm_id(Holder.vm);
  Result.Incarnation = incarnation(toUnsigned(Holder.incarnation));
  Result.Connections = toCount(Holder.connections);
  Result.Slots = toCount(Holder.slots);
  Result.Epoch = toUnsigned(Holder.epoch);
  Result.Fenced = Holder.fenced;
  Result.RemovedAt = revision(toUnsigned(Holder.removed_at));
  return Result;
}

wire::promotion_record toWire(const promotion_state &Promotion) {
  wire::promotion_record Result;
  Result.ordering = Promotion.Phase == promotion_phase::Ordering;
  Result.reason = Promotion.Reason;
  Result.fenced_term = toSigned(Promotion.FencedTerm.Value);
  Result.deposed = nameOf(Promotion.Deposed);
  Result.wanted = nameOf(Promotion.Requested);
  Result.forced = Promotion.Forced;
  Result.chosen = nameOf(Promotion.Chosen);
  Result.chosen_position = toWire(Promotion.ChosenPosition);
  Result.attempt = static_cast<std::int32_t>(Promotion.Attempt);
  Result.planned = Promotion.Planned;
  Result.last_chosen = nameOf(Promotion.LastChosen);
  Result.may_have_led = Promotion.MayHaveLed;
  Result.has_lost_chosen = Promotion.HasLostChosen;
  Result.deposed_incarnation = toSigned(Promotion.DeposedIncarnation.Value);
  Result.first_ordered_at = toSigned(Promotion.FirstOrderedAt.Value);
  Result.chosen_incarnation = toSigned(Promotion.ChosenIncarnation.Value);
  return Result;
}

promotion_state fromWire(const wire::promotion_record &Record) {
  promotion_state Result;
  Result.Phase =
      Record.ordering ? promotion_phase::Ordering : promotion_phase::Fencing;
  Result.Reason = Record.reason;
  Result.FencedTerm = term(toUnsigned(Record.fenced_term));
  Result.Deposed = upstreamOf(Record.deposed);
  Result.Requested = upstreamOf(Record.wanted);
  Result.Forced = Record.forced;
  Result.Chosen = upstreamOf(Record.chosen);
  Result.ChosenPosition = teasellock::fromWire(Record.chosen_position);
  Result.Attempt = toCount(Record.attempt);
  Result.Planned = Record.planned;
  Result.LastChosen = upstreamOf(Record.last_chosen);
  Result.MayHaveLed = Record.may_have_led;
  Result.HasLostChosen = Record.has_lost_chosen;
  Result.DeposedIncarnation =
      incarnation(toUnsigned(Record.deposed_incarnation));
  Result.FirstOrderedAt = revision(toUnsigned(Record.first_ordered_at));
  Result.ChosenIncarnation = incarnation(toUnsigned(Record.chosen_incarnation));
  return Result;
}

limiter_slot fromWire(const wire::limiter_slot &Record) {
  limiter_slot Result;
  Result.Holder = teasellock::fromWire(Record.holder);
  if (!Record.former_vm.empty())
    Result.Former = {vm_id(Record.former_vm),
                     incarnation(toUnsigned(Record.former_incarnation)),
                     revision(toUnsigned(Record.removed_at))};
  return Result;
}

} // namespace

wire::limiter_record toWire(const limiter_assignment &Assignment) {
  wire::limiter_record Result;
  Result.revision = toSigned(Assignment.Revision.Value);
  for (const auto &Slot : Assignment.Slots) {
    wire::limiter_slot Record;
    Record.holder = toWire(Slot.Holder);
    if (Slot.Former) {
      Record.former_vm = Slot.Former->Vm.Value;
      Record.former_incarnation = toSigned(Slot.Former->Incarnation.Value);
      Record.removed_at = toSigned(Slot.Former->RemovedAt.Value);
    }
    Result.slots.push_back(std::move(Record));
  }
  return Result;
}

limiter_assignment fromWire(const wire::limiter_record &Record) {
  limiter_assignment Result;
  Result.Revision = revision(toUnsigned(Record.revision));
  for (const auto &Slot : Record.slots)
    Result.Slots.push_back(fromWire(Slot));
  return Result;
}

wire::vm_record toWire(const vm_record &Vm) {
  wire::vm_record Result;
  Result.vm = Vm.Vm.Value;
  Result.incarnation = toSigned(Vm.Incarnation.Value);
  Result.address = toString(Vm.Address);
  Result.availability_zone = Vm.AvailabilityZone.Value;
  Result.region = Vm.Region.Value;
  Result.draining = Vm.Draining;
  Result.gateway = Vm.Gateway;
  return Result;
}

vm_record fromWire(const wire::vm_record &Vm) {
  vm_record Result;
  Result.Vm = vm_id(Vm.vm);
  Result.Incarnation = incarnation(toUnsigned(Vm.incarnation));
  Result.Address = parseEndpoint(Vm.address);
  Result.AvailabilityZone = availability_zone_id(Vm.availability_zone);
  Result.Region = region_id(Vm.region);
  Result.Draining = Vm.draining;
  Result.Gateway = Vm.gateway;
  return Result;
}

wire::group_record toWire(const group_state &Group) {
  wire::group_record Result;
  Result.group = Group.Group.Value;
  Result.revision = toSigned(Group.Revision.Value);
  Result.row = toWire(Group.Row);
  Result.term = toSigned(Group.Term.Value);
  Result.primary = nameOf(Group.Primary);
  for (const auto &[Name, Upstream] : Group.Upstreams)
    Result.upstreams.push_back(toWire(Upstream));
  for (const auto &Share : Group.Gateways)
    Result.gateways.push_back(toWire(Share));
  for (const auto &Holder : Group.Holders)
    Result.holders.push_back(toWire(Holder));
  Result.watermark = toWire(Group.Watermark);
  Result.dirty = Group.Dirty;
  Result.dirty_since = toSigned(Group.DirtySince.Value);
  Result.unsettled_orders = !Group.OpenOrders.empty();
  for (const auto &[Name, Count] : Group.OpenOrders) {
    wire::open_order Order;
    Order.upstream = Name.Value;
    Order.count = static_cast<std::int32_t>(Count);
    Result.open_orders.push_back(std::move(Order));
  }
  Result.order_number = toSigned(Group.OrderNumber);
  Result.least_ack_replicas = static_cast<std::int32_t>(Group.MinAckReplicas);
  Result.budget_epoch = toSigned(Group.BudgetEpoch);
  if (Group.Promotion)
    Result.__set_promotion(toWire(*Group.Promotion));
  Result.removed = Group.Removed;
  for (const auto &Departed : Group.Departed) {
    wire::departed_upstream Record;
    Record.upstream = Departed.Upstream.Value;
    Record.incarnation = toSigned(Departed.Incarnation.Value);
    Record.was_silent = Departed.WasSilent;
    Result.departed.push_back(std::move(Record));
  }
  return Result;
}

group_state fromWire(const wire::group_record &Record) {
  group_state Result;
  Result.Group = group_id(Record.group);
  Result.Revision = revision(toUnsigned(Record.revision));
  Result.Row = fromWire(Record.row);
  Result.Term = term(toUnsigned(Record.term));
  Result.Primary = upstreamOf(Record.primary);
  for (const auto &Upstream : Record.upstreams)
    Result.Upstreams[upstream_id(Upstream.upstream)] = fromWire(Upstream);
  for (const auto &Share : Record.gateways)
    Result.Gateways.push_back(fromWire(Share));
  for (const auto &Holder : Record.holders)
    Result.Holders.push_back(fromWire(Holder));
  Result.Watermark = fromWire(Record.watermark);
  Result.Dirty = Record.dirty;
  Result.DirtySince = revision(toUnsigned(Record.dirty_since));
  for (const auto &Order : Record.open_orders)
    Result.OpenOrders[upstream_id(Order.upstream)] = toCount(Order.count);
  Result.OrderNumber = toUnsigned(Record.order_number);
  Result.MinAckReplicas = toCount(Record.least_ack_replicas);
  Result.BudgetEpoch = toUnsigned(Record.budget_epoch);
  if (Record.__isset.promotion)
    Result.Promotion = fromWire(Record.promotion);
  // A record of an earlier build does not list its orders.
  if (Result.OpenOrders.empty() && Record.unsettled_orders)
    Result.OpenOrders[upstream_id()] = 1;
  if (Result.OpenOrders.empty() && Result.OrderNumber == 0 &&
      Result.Promotion && Result.Promotion->Chosen)
    Result.OpenOrders[*Result.Promotion->Chosen] = Result.Promotion->Attempt;
  Result.Removed = Record.removed;
  for (const auto &Departed : Record.departed)
    Result.Departed.push_back({upstream_id(Departed.upstream),
                               incarnation(toUnsigned(Departed.incarnation)),
                               Departed.was_silent});
  return Result;
}

std::string encodeSnapshot(const control_state &State) {
  wire::control_snapshot Result;
  Result.applied = toSigned(State.AppliedRevision.Value);
  Result.table_version = toSigned(State.TableVersion.Value);
  Result.last_edit = State.LastEdit.Value;
  for (const auto &[Name, Vm] : State.Vms)
    Result.vms.push_back(toWire(Vm));
  for (const auto &[Name, Group] : State.Groups)
    Result.groups.push_back(toWire(Group));
  for (const auto &Answer : State.EditOutcomes) {
    wire::edit_record Record;
    Record.edit_id = Answer.Edit.Value;
    Record.accepted = Answer.Accepted;
    Record.version = toSigned(Answer.Version.Value);
    Record.winning_edit = Answer.WinningEdit.Value;
    Result.edits.push_back(Record);
  }
  if (State.Deployment.Revision != revision()) {
    wire::deployment_change Change;
    Change.content = toWire(State.Deployment.Deployment);
    Change.document = State.Deployment.Document;
    Result.__set_in_force(std::move(Change));
    Result.deployment_revision = toSigned(State.Deployment.Revision.Value);
  }
  if (!State.Limiters.Slots.empty())
    Result.__set_limiters(toWire(State.Limiters));
  return encode(Result);
}

control_state decodeSnapshot(const std::string &Text) {
  auto Snapshot = decode<wire::control_snapshot>(Text, "snapshot");
  control_state Result;
  Result.AppliedRevision = revision(toUnsigned(Snapshot.applied));
  Result.TableVersion = table_version(toUnsigned(Snapshot.table_version));
  Result.LastEdit = edit_id(Snapshot.last_edit);
  for (const auto &Vm : Snapshot.vms)
    Result.Vms[vm_id(Vm.vm)] = fromWire(Vm);
  for (const auto &Group : Snapshot.groups)
    Result.Groups[group_id(Group.group)] = fromWire(Group);
  if (Snapshot.__isset.in_force) {
    Result.Deployment.Deployment = fromWire(Snapshot.in_force.content);
    Result.Deployment.Document = std::move(Snapshot.in_force.document);
    Result.Deployment.Revision =
        revision(toUnsigned(Snapshot.deployment_revision));
  }
  if (Snapshot.__isset.limiters)
    Result.Limiters = fromWire(Snapshot.limiters);
  Result.Index = buildGroupIndex(Result);
  for (const auto &Record : Snapshot.edits)
    Result.EditOutcomes.push_back({edit_id(Record.edit_id), Record.accepted,
                                   table_version(toUnsigned(Record.version)),
                                   edit_id(Record.winning_edit)});
  return Result;
}

} // namespace teasellock
