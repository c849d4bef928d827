#include "modules/control/control_state.h"

#include "core/compression.h"
#include "modules/control/control_codec.h"

#include <algorithm>
#include <set>

namespace teasellock {

namespace {

group_state &groupOf(control_state &State, const group_id &Name) {
  auto &Group = State.Groups[Name];
  Group.Group = Name;
  Group.Row.Group = Name;
  return Group;
}

void recordEditOutcome(control_state &State, edit_outcome Answer) {
  State.EditOutcomes.push_back(std::move(Answer));
  if (State.EditOutcomes.size() > MaxRememberedEdits)
    State.EditOutcomes.pop_front();
}

void applyRow(group_state &Group, const table_row &Row, revision Index) {
  if (!Group.Removed && Group.Row == Row)
    return;
  Group.Row = Row;
  Group.Removed = false;
  Group.MinAckReplicas = std::min(Group.MinAckReplicas, Row.AckReplicas);
  Group.Revision = Index;
}

void removeMissingRows(control_state &State, const std::set<group_id> &Kept,
                       revision Index) {
  for (auto &[Name, Group] : State.Groups) {
    if (Group.Removed || Kept.contains(Name))
      continue;
    Group.Removed = true;
    Group.Revision = Index;
  }
}

void applyRows(control_state &State, const std::vector<wire::table_row> &Rows,
               revision Index) {
  std::set<group_id> Kept;
  for (const auto &Wire : Rows) {
    table_row Row = fromWire(Wire);
    Kept.insert(Row.Group);
    bool Known = State.Groups.contains(Row.Group);
    auto &Group = groupOf(State, Row.Group);
    if (!Known || Group.Term == term())
      Group.MinAckReplicas = Row.AckReplicas;
    applyRow(Group, Row, Index);
  }
  removeMissingRows(State, Kept, Index);
}

void applyEdit(control_state &State, revision Index,
               const wire::table_edit &Edit) {
  edit_id Id(Edit.edit_id);
  if (findEditOutcome(State, Id))
    return;
  auto Base = static_cast<std::uint64_t>(Edit.base_version);
  if (Base != State.TableVersion.Value) {
    recordEditOutcome(State, {Id, false, State.TableVersion, State.LastEdit});
    return;
  }
  applyRows(State, Edit.rows, Index);
  ++State.TableVersion.Value;
  State.LastEdit = Id;
  recordEditOutcome(State, {Id, true, State.TableVersion, Id});
}

void applyVm(control_state &State, const vm_record &Vm) {
  auto Found = State.Vms.find(Vm.Vm);
  if (Found != State.Vms.end() && Vm.Incarnation < Found->second.Incarnation)
    return;
  State.Vms[Vm.Vm] = Vm;
}

bool isSameIncarnation(const departed_upstream &Departed,
                       const upstream_announcement &Announcement) {
  return Departed.Upstream == Announcement.Upstream &&
         Departed.Incarnation == Announcement.Incarnation;
}

/// Records the departure. A departed replica may have been the only one to hold
/// a write that it had confirmed, so the group becomes dirty: no promotion
/// takes place until another replica is known to hold it. If it was chosen to
/// replace a primary, that primary may be known to hold it.
void recordDeparture(group_state &Group, const upstream_announcement &Departed,
                     revision Index) {
  rememberDeparture(Group, Departed, false);
  if (Group.Primary == Departed.Upstream)
    return;
  if (Group.Promotion && Group.Promotion->LastChosen == Departed.Upstream &&
      Group.Promotion->ChosenIncarnation == Departed.Incarnation) {
    Group.Promotion->HasLostChosen = true;
    return;
  }
  Group.Dirty = true;
  Group.DirtySince = Index;
}

void applyAnnouncement(control_state &State, revision Index,
                       const upstream_announcement &Announcement,
                       bool HasReturned) {
  auto &Group = groupOf(State, Announcement.Group);
  if (HasReturned && mayReturn(Group, Announcement))
    std::erase_if(Group.Departed, [&](const departed_upstream &Departed) {
      return isSameIncarnation(Departed, Announcement);
    });
  if (isOutdated(Group, Announcement))
    return;
  auto Known = Group.Upstreams.find(Announcement.Upstream);
  bool WasKnown = Known != Group.Upstreams.end();
  if (WasKnown && (Announcement.Gone ||
                   Known->second.Incarnation != Announcement.Incarnation))
    recordDeparture(Group, Known->second, Index);
  if (Announcement.Gone) {
    // No order can promote an upstream that has certainly ended. One that has
    // started again under its id may still be promoted.
    Group.OpenOrders.erase(Announcement.Upstream);
    Group.Upstreams.erase(Announcement.Upstream);
    if (WasKnown)
      Group.Revision = Index;
    return;
  }
  auto &Record = Group.Upstreams[Announcement.Upstream];
  if (Record == Announcement)
    return;
  bool Restarted = Record.Incarnation != Announcement.Incarnation;
  bool Leaving =
      Record.Leaving && !Restarted && Announcement.Incarnation != incarnation();
  Record = Announcement;
  // An incarnation that is leaving cannot revoke this.
  Record.Leaving = Record.Leaving || Leaving;
  Group.Revision = Index;
}

void applyDeployment(control_state &State, revision Index,
                     const wire::deployment_change &Change) {
  auto Next = fromWire(Change.content);
  if (Next.Version <= State.Deployment.Deployment.Version)
    return;
  applyRows(State, Change.rows, Index);
  State.Deployment = {std::move(Next), Change.document, Index};
}

void resolveRevision(revision &Value, revision Index) {
  if (Value.Value == CommandRevision)
    Value = Index;
}

void applyGroup(control_state &State, revision Index, group_state Next) {
  auto Found = State.Groups.find(Next.Group);
  if (Found == State.Groups.end() || Found->second.Revision != Next.Revision)
    return;
  resolveRevision(Next.DirtySince, Index);
  if (Next.Promotion)
    resolveRevision(Next.Promotion->FirstOrderedAt, Index);
  for (auto &Holder : Next.Holders)
    resolveRevision(Holder.RemovedAt, Index);
  Next.Revision = Index;
  Found->second = std::move(Next);
}

void applyLimiters(control_state &State, revision Index,
                   limiter_assignment Next) {
  if (State.Limiters.Revision != Next.Revision)
    return;
  for (auto &Slot : Next.Slots)
    if (Slot.Former)
      resolveRevision(Slot.Former->RemovedAt, Index);
  Next.Revision = Next.Slots.empty() ? revision() : Index;
  State.Limiters = std::move(Next);
}

} // namespace

void rememberDeparture(group_state &Group,
                       const upstream_announcement &Departed, bool WasSilent) {
  Group.Departed.push_back(
      {Departed.Upstream, Departed.Incarnation, WasSilent});
  if (Group.Departed.size() > MaxRememberedDepartures)
    Group.Departed.pop_front();
}

group_index buildGroupIndex(const control_state &State) {
  group_index Index;
  Index.LatestRevision = State.Deployment.Revision;
  for (const auto &[Name, Group] : State.Groups) {
    Index.LatestRevision = std::max(Index.LatestRevision, Group.Revision);
    if (Group.Dirty)
      Index.DirtyGroups.push_back(Name);
    for (const auto &Share : Group.Gateways) {
      ++Index.GroupCounts[Share.Vm];
      Index.LastGroups[Share.Vm] = Name;
    }
    Index.ServedGroupCount += !Group.Removed;
  }
  std::set<availability_zone_id> Zones;
  for (const auto &[Name, Vm] : State.Vms) {
    if (!Vm.Gateway || Vm.Draining)
      continue;
    ++Index.GatewayVmCount;
    Zones.insert(Vm.AvailabilityZone);
  }
  Index.ZoneCount = Zones.size();
  return Index;
}

void applyCommand(control_state &State, revision Index,
                  const wire::control_command &Command) {
  State.AppliedRevision = Index;
  if (Command.__isset.edit)
    applyEdit(State, Index, Command.edit);
  if (Command.__isset.vm)
    applyVm(State, fromWire(Command.vm));
  if (Command.__isset.announcement)
    applyAnnouncement(State, Index, fromWire(Command.announcement),
                      Command.announcement.returned);
  if (Command.__isset.group)
    applyGroup(State, Index, fromWire(Command.group));
  if (Command.__isset.change)
    applyDeployment(State, Index, Command.change);
  if (Command.__isset.limiters)
    applyLimiters(State, Index, fromWire(Command.limiters));
  State.Index = buildGroupIndex(State);
}

wire::control_command makeEditCommand(const edit_id &Edit, table_version Base,
                                      const std::vector<table_row> &Rows) {
  wire::table_edit Wire;
  Wire.edit_id = Edit.Value;
  Wire.base_version = static_cast<std::int64_t>(Base.Value);
  for (const auto &Row : Rows)
    Wire.rows.push_back(toWire(Row));
  wire::control_command Result;
  Result.__set_edit(Wire);
  return Result;
}

wire::control_command makeVmCommand(const vm_record &Vm) {
  wire::control_command Result;
  Result.__set_vm(toWire(Vm));
  return Result;
}

wire::control_command
makeAnnouncementCommand(const upstream_announcement &Announcement,
                        bool HasReturned) {
  wire::control_command Result;
  Result.__set_announcement(toWire(Announcement));
  Result.announcement.returned = HasReturned;
  return Result;
}

wire::control_command
makeDeploymentCommand(const deployment_proposal &Proposal) {
  wire::deployment_change Change;
  Change.content = toWire(Proposal.Deployment);
  for (const auto &Row : toTableRows(Proposal))
    Change.rows.push_back(toWire(Row));
  // Compressed because the log carries a configuration of hundreds of routes
  // many times.
  Change.document = compress(Proposal.Document);
  wire::control_command Result;
  Result.__set_change(std::move(Change));
  return Result;
}

bool isOutdated(const group_state &Group,
                const upstream_announcement &Announcement) {
  // An announcement without an incarnation never replaces one that has it.
  auto Known = Group.Upstreams.find(Announcement.Upstream);
  if (Known != Group.Upstreams.end() &&
      Known->second.Incarnation > Announcement.Incarnation)
    return true;
  // Processes that left without an incarnation cannot be distinguished from
  // later ones.
  return std::any_of(Group.Departed.begin(), Group.Departed.end(),
                     [&](const departed_upstream &Departed) {
                       return Departed.Upstream == Announcement.Upstream &&
                              Departed.Incarnation != incarnation() &&
                              Departed.Incarnation >= Announcement.Incarnation;
                     });
}

bool mayReturn(const group_state &Group,
               const upstream_announcement &Announcement) {
  group_state Others = Group;
  std::size_t Silent =
      std::erase_if(Others.Departed, [&](const departed_upstream &Departed) {
        return Departed.WasSilent && isSameIncarnation(Departed, Announcement);
      });
  return Silent > 0 && !isOutdated(Others, Announcement);
}

wire::control_command makeGroupCommand(const group_state &Next) {
  wire::control_command Result;
  Result.__set_group(toWire(Next));
  return Result;
}

wire::control_command makeLimiterCommand(const limiter_assignment &Next) {
  wire::control_command Result;
  Result.__set_limiters(toWire(Next));
  return Result;
}

group_view viewOf(const group_state &Group) {
  group_view View;
  View.Group = Group.Group;
  View.Revision = Group.Revision;
  View.Row = Group.Row;
  View.Term = Group.Term;
  View.Primary = Group.Primary;
  for (const auto &[Name, Upstream] : Group.Upstreams)
    View.Upstreams.push_back(Upstream);
  View.Gateways = Group.Gateways;
  View.Watermark = Group.Watermark;
  View.Removed = Group.Removed;
  return View;
}

const edit_outcome *findEditOutcome(const control_state &State,
                                    const edit_id &Edit) {
  auto Found = std::find_if(
      State.EditOutcomes.rbegin(), State.EditOutcomes.rend(),
      [&](const edit_outcome &Answer) { return Answer.Edit == Edit; });
  return Found == State.EditOutcomes.rend() ? nullptr : &*Found;
}

std::vector<table_row> tableRows(const control_state &State) {
  std::vector<table_row> Rows;
  for (const auto &[Name, Group] : State.Groups)
    if (!Group.Removed)
      Rows.push_back(Group.Row);
  return Rows;
}

const gateway_share *findShare(const group_state &Group, const vm_id &Vm) {
  for (const auto &Share : Group.Gateways)
    if (Share.Vm == Vm)
      return &Share;
  return nullptr;
}

const share_holder *findHolder(const group_state &Group, const vm_id &Vm,
                               incarnation Incarnation) {
  for (const auto &Holder : Group.Holders)
    if (Holder.Vm == Vm && Holder.Incarnation == Incarnation)
      return &Holder;
  return nullptr;
}

} // namespace teasellock
