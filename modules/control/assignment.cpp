#include "modules/control/assignment.h"

#include "modules/control/budget.h"
#include "modules/control/leases.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace teasellock {

namespace {

/// Many VMs are silent if these are more than FewVms and more than one in
/// ManyParts of all VMs. VMs rarely fail by the dozen, and moving all groups at
/// once costs more than waiting.
constexpr std::size_t ManyParts = 4;
constexpr std::size_t FewVms = 3;
/// Factor of VmTimeout while many VMs are silent.
constexpr int ManyPatience = 3;
/// Connections that a gateway needs to be useful.
constexpr std::uint32_t LeastConnections = 6;

/// Two gateways must remain after the loss of one.
constexpr std::size_t LeastAutomaticGateways = 3;

/// The input of an assignment decision.
struct assignment_input {
  const control_state &State;
  const leader_state &Leader;
  const decision_settings &Settings;
  time_point Now;
};

/// Reports whether so many VMs are silent at once that they have more likely
/// lost contact with control than failed: after a change of leader or in a
/// partition.
bool manyUnheard(const assignment_input &Input) {
  std::size_t Unheard = 0;
  std::size_t All = 0;
  for (const auto &[Name, Vm] : Input.State.Vms) {
    if (!Vm.Gateway || Vm.Draining)
      continue;
    ++All;
    Unheard +=
        !heardWithin(Input.Leader, Name, Input.Settings.VmTimeout, Input.Now);
  }
  return Unheard * ManyParts > All && Unheard > FewVms;
}

bool isGone(const assignment_input &Input, const vm_id &Vm) {
  if (heardWithin(Input.Leader, Vm, Input.Settings.VmTimeout, Input.Now))
    return false;
  duration Patience = Input.Settings.VmTimeout;
  if (manyUnheard(Input))
    Patience *= ManyPatience;
  // A new leader gives every VM the same time to send a renewal.
  return Input.Now - Input.Leader.LeadingSince >= Patience &&
         !heardWithin(Input.Leader, Vm, Patience, Input.Now);
}

bool isDraining(const assignment_input &Input, const vm_id &Vm) {
  auto Found = Input.State.Vms.find(Vm);
  return Found != Input.State.Vms.end() && Found->second.Draining;
}

/// Returns the number of gateways of a group whose row does not set it: every
/// VM has about one group, and each group has enough gateways to lose one. More
/// than one gateway per zone would only divide queues and connections further.
std::size_t automaticGateways(const control_state &State) {
  std::size_t Part =
      State.Index.GatewayVms / std::max<std::size_t>(State.Index.Groups, 1);
  return std::max(LeastAutomaticGateways, std::min(Part, State.Index.Zones));
}

std::size_t wantedGateways(const control_state &State,
                           const group_state &Group) {
  auto Limits = limitsOf(Group);
  // If the row does not set the number, upstreams queue the statements that
  // exceed their slots, so only connections are scarce: each gateway needs one
  // for probes and some for statements.
  if (Group.Row.Gateways == 0)
    return std::max<std::size_t>(
        std::min<std::size_t>(automaticGateways(State),
                              Limits.Connections / LeastConnections),
        1);
  std::size_t Wanted = Group.Row.Gateways;
  // Every gateway needs a connection and a slot of its own.
  std::size_t Useful = std::min(Limits.Connections, Limits.Slots);
  return std::max<std::size_t>(std::min(Wanted, Useful), 1);
}

std::size_t loadOf(const control_state &State, const vm_id &Vm) {
  auto Found = State.Index.Loads.find(Vm);
  return Found == State.Index.Loads.end() ? 0 : Found->second;
}

/// Returns the number of groups above which a VM is overloaded. It does not
/// depend on the current assignment, because otherwise groups that move would
/// change the limit.
std::size_t loadLimit(const control_state &State, const group_state &Group) {
  std::size_t Vms = std::max<std::size_t>(State.Index.GatewayVms, 1);
  std::size_t All = State.Index.Groups * wantedGateways(State, Group);
  return (All + Vms - 1) / Vms + 1;
}

/// Returns the rank of a VM as a new gateway; smaller is better. VMs that are
/// not overloaded come first, then those in zones with few gateways of the
/// group, in the zones and regions of its upstreams, and with few groups.
auto rankOf(const control_state &State, const group_state &Group,
            const vm_record &Vm) {
  std::size_t Load = loadOf(State, Vm.Vm);
  std::size_t SameZone = 0;
  std::size_t UpstreamsInZone = 0;
  std::size_t UpstreamsInRegion = 0;
  for (const auto &Share : Group.Gateways)
    SameZone += Share.AvailabilityZone == Vm.AvailabilityZone;
  for (const auto &[Name, Upstream] : Group.Upstreams) {
    UpstreamsInZone += Upstream.AvailabilityZone == Vm.AvailabilityZone;
    UpstreamsInRegion += Upstream.Region == Vm.Region;
  }
  return std::tuple(Load >= loadLimit(State, Group), SameZone,
                    UpstreamsInZone == 0,
                    Group.Upstreams.size() - UpstreamsInRegion, Load, Vm.Vm);
}

/// Reports whether a VM still reports the group although it is no longer a
/// holder, so that it may still hold connections to the upstreams.
bool stillReports(const assignment_input &Input, const group_state &Group,
                  const vm_record &Vm) {
  auto Seen = Input.Leader.Vms.find(Vm.Vm);
  return Seen != Input.Leader.Vms.end() &&
         Seen->second.Incarnation == Vm.Incarnation &&
         Seen->second.Groups.contains(Group.Group) &&
         !findHolder(Group, Vm.Vm, Vm.Incarnation);
}

const vm_record *bestCandidate(const assignment_input &Input,
                               const group_state &Group) {
  const vm_record *Best = nullptr;
  for (const auto &[Name, Vm] : Input.State.Vms) {
    if (Vm.Draining || !Vm.Gateway || findShare(Group, Name) ||
        stillReports(Input, Group, Vm) ||
        !heardWithin(Input.Leader, Name, Input.Settings.VmTimeout, Input.Now))
      continue;
    if (!Best ||
        rankOf(Input.State, Group, Vm) < rankOf(Input.State, Group, *Best))
      Best = &Vm;
  }
  return Best;
}

void addHolder(group_state &Group, const gateway_share &Share) {
  share_holder Holder;
  Holder.Vm = Share.Vm;
  Holder.Incarnation = Share.Incarnation;
  // Without a primary the gateway cannot acknowledge writes; the end of the
  // promotion clears the mark.
  Holder.Fenced = Group.Promotion.has_value();
  Group.Holders.push_back(Holder);
}

/// Assigns the group to a VM. A holder that is assigned again before it has
/// released the group keeps its entry.
void addGateway(group_state &Group, const vm_record &Vm) {
  gateway_share Share;
  Share.Vm = Vm.Vm;
  Share.Incarnation = Vm.Incarnation;
  Share.Address = Vm.Address;
  Share.AvailabilityZone = Vm.AvailabilityZone;
  Share.Region = Vm.Region;
  Group.Gateways.push_back(Share);
  for (auto &Holder : Group.Holders) {
    if (Holder.Vm != Vm.Vm || Holder.Incarnation != Vm.Incarnation)
      continue;
    Holder.RemovedAt = revision();
    Holder.Epoch = Group.BudgetEpoch + 1;
    Holder.Fenced = Holder.Fenced && Group.Promotion.has_value();
    return;
  }
  addHolder(Group, Share);
}

void markRemoved(group_state &Group, const gateway_share &Share) {
  for (auto &Holder : Group.Holders)
    if (Holder.Vm == Share.Vm && Holder.Incarnation == Share.Incarnation)
      Holder.RemovedAt = revision(ThisRevision);
}

void removeGateway(group_state &Group, const vm_id &Vm) {
  auto Found =
      std::find_if(Group.Gateways.begin(), Group.Gateways.end(),
                   [&](const gateway_share &Share) { return Share.Vm == Vm; });
  if (Found == Group.Gateways.end())
    return;
  markRemoved(Group, *Found);
  Group.Gateways.erase(Found);
}

/// Transfers the shares of earlier incarnations to the current incarnations of
/// the same VMs, unchanged. A later incarnation shows that the earlier one and
/// its connections have ended. With promotion_method::Fence, acknowledgements
/// depend on the lease, which must end first; see replaceRestarted.
void inheritShares(const assignment_input &Input, group_state &Group) {
  for (auto &Share : Group.Gateways) {
    auto Vm = Input.State.Vms.find(Share.Vm);
    if (Vm == Input.State.Vms.end() ||
        Vm->second.Incarnation <= Share.Incarnation)
      continue;
    for (auto &Holder : Group.Holders)
      if (Holder.Vm == Share.Vm && Holder.Incarnation == Share.Incarnation)
        Holder.Incarnation = Vm->second.Incarnation;
    Share.Incarnation = Vm->second.Incarnation;
    Share.Address = Vm->second.Address;
  }
}

/// Assigns the group again to VMs that restarted; the new incarnation starts
/// with an empty share.
void replaceRestarted(const assignment_input &Input, group_state &Group) {
  std::vector<vm_record> Restarted;
  for (const auto &Share : Group.Gateways) {
    auto Vm = Input.State.Vms.find(Share.Vm);
    if (Vm != Input.State.Vms.end() &&
        Vm->second.Incarnation != Share.Incarnation)
      Restarted.push_back(Vm->second);
  }
  for (const auto &Vm : Restarted) {
    removeGateway(Group, Vm.Vm);
    addGateway(Group, Vm);
  }
}

bool hasReported(const assignment_input &Input, const group_state &Group,
                 const gateway_share &Share) {
  auto Vm = Input.Leader.Vms.find(Share.Vm);
  return Vm != Input.Leader.Vms.end() &&
         Vm->second.Incarnation == Share.Incarnation &&
         Vm->second.Groups.contains(Group.Group);
}

/// Reports whether another VM should take over the group because this one is
/// overloaded.
bool mayRelieve(const assignment_input &Input, const group_state &Group,
                const gateway_share &Share) {
  std::size_t Limit = loadLimit(Input.State, Group);
  if (loadOf(Input.State, Share.Vm) <= Limit || Group.Row.Gateways > 0)
    return false;
  // Only one group moves at a time; otherwise all would move to the same VM.
  auto Last = Input.State.Index.LastGroups.find(Share.Vm);
  if (Last == Input.State.Index.LastGroups.end() || Last->second != Group.Group)
    return false;
  const auto *Other = bestCandidate(Input, Group);
  return Other && loadOf(Input.State, Other->Vm) + 1 < Limit;
}

/// The group's gateways by what happens to them.
struct gateway_census {
  /// Without a renewal for too long.
  std::vector<vm_id> Gone;
  /// Draining or overloaded; removed once the others are ready.
  std::vector<vm_id> Draining;
  std::vector<vm_id> Staying;
  /// All that stay have reported the group.
  bool Ready = true;
};

gateway_census countGateways(const assignment_input &Input,
                             const group_state &Group) {
  gateway_census Census;
  bool Relieved = false;
  for (const auto &Share : Group.Gateways) {
    if (isGone(Input, Share.Vm)) {
      Census.Gone.push_back(Share.Vm);
    } else if (isDraining(Input, Share.Vm) ||
               (!Relieved && mayRelieve(Input, Group, Share))) {
      Relieved = true;
      Census.Draining.push_back(Share.Vm);
    } else {
      Census.Staying.push_back(Share.Vm);
      Census.Ready = Census.Ready && hasReported(Input, Group, Share);
    }
  }
  return Census;
}

void assignGateways(const assignment_input &Input, group_state &Group) {
  if (Input.Settings.Method == promotion_method::Pause)
    inheritShares(Input, Group);
  else
    replaceRestarted(Input, Group);
  std::size_t Wanted = wantedGateways(Input.State, Group);
  auto Census = countGateways(Input, Group);
  std::size_t Staying = Census.Staying.size();
  std::size_t Added = 0;
  while (Staying + Added < Wanted) {
    const auto *Vm = bestCandidate(Input, Group);
    if (!Vm)
      break;
    addGateway(Group, *Vm);
    ++Added;
  }
  // Lost gateways are removed as soon as another one is assigned, draining ones
  // only once the others are ready.
  std::size_t Surplus =
      Group.Gateways.size() > Wanted ? Group.Gateways.size() - Wanted : 0;
  for (const auto &Vm : Census.Gone)
    if (Surplus > 0 || Staying + Added > 0) {
      removeGateway(Group, Vm);
      Surplus -= Surplus > 0;
    }
  bool Ready = Census.Ready && Added == 0 && Staying > 0;
  for (const auto &Vm : Census.Draining)
    if (Ready && Staying >= std::min(Wanted, Group.Gateways.size() - 1)) {
      removeGateway(Group, Vm);
      Surplus -= Surplus > 0;
    }
  for (; Surplus > 0 && Census.Staying.size() > Wanted; --Surplus) {
    auto Most = std::max_element(Census.Staying.begin(), Census.Staying.end(),
                                 [&](const vm_id &Left, const vm_id &Right) {
                                   return loadOf(Input.State, Left) <
                                          loadOf(Input.State, Right);
                                 });
    removeGateway(Group, *Most);
    Census.Staying.erase(Most);
  }
}

/// Whether a holder may still acknowledge writes or hold connections: it may,
/// it has released the group, or its lease or incarnation has ended.
enum class holder_fate { Stays, Released, Ended };

holder_fate fateOf(const assignment_input &Input, const group_state &Group,
                   const share_holder &Holder) {
  if (Holder.RemovedAt == revision() ||
      Holder.RemovedAt == revision(ThisRevision))
    return holder_fate::Stays;
  gateway_run Run(Holder.Vm, Holder.Incarnation);
  // A later incarnation of the VM shows that this one and its connections have
  // ended. With promotion_method::Fence, acknowledgements depend on the lease,
  // which must end first.
  auto Record = Input.State.Vms.find(Holder.Vm);
  if (Input.Settings.Method == promotion_method::Pause &&
      Record != Input.State.Vms.end() &&
      Record->second.Incarnation > Holder.Incarnation)
    return holder_fate::Ended;
  if (leaseEnd(Input.Leader, Run, Input.Settings) <= Input.Now)
    return holder_fate::Ended;
  auto Vm = Input.Leader.Vms.find(Holder.Vm);
  bool Heard = Vm != Input.Leader.Vms.end() &&
               Vm->second.Incarnation == Holder.Incarnation &&
               Vm->second.Applied >= Holder.RemovedAt;
  if (Heard && !Vm->second.Groups.contains(Group.Group))
    return holder_fate::Released;
  return holder_fate::Stays;
}

/// Removes holders that can neither acknowledge writes nor hold connections.
/// What they acknowledged last is unknown until the primary has been probed
/// again.
void releaseHolders(const assignment_input &Input, group_state &Group,
                    std::string &Reason) {
  if (Group.Promotion)
    return;
  std::erase_if(Group.Holders, [&](const share_holder &Holder) {
    auto Fate = fateOf(Input, Group, Holder);
    if (Fate == holder_fate::Stays)
      return false;
    Reason += Holder.Vm.Value + (Fate == holder_fate::Released
                                     ? " has released the group; "
                                     : " has lost its lease without releasing "
                                       "the group; ");
    // With promotion_method::Pause, no promotion depends on what a gateway
    // acknowledged.
    if (!Holder.Fenced && Input.Settings.Method == promotion_method::Fence) {
      Group.Dirty = true;
      Group.DirtySince = revision(ThisRevision);
    }
    return true;
  });
}

std::string gatewaysText(const group_state &Group) {
  std::string Text;
  for (const auto &Share : Group.Gateways)
    Text += (Text.empty() ? "" : ",") + Share.Vm.Value;
  return Text.empty() ? "none" : Text;
}

bool sameVms(const group_state &Left, const group_state &Right) {
  return gatewaysText(Left) == gatewaysText(Right);
}

} // namespace

group_decision decideAssignment(const control_state &State,
                                const group_state &Group,
                                const leader_state &Leader,
                                const decision_settings &Settings,
                                time_point Now) {
  assignment_input Input{State, Leader, Settings, Now};
  group_decision Decision;
  group_state Next = Group;
  releaseHolders(Input, Next, Decision.Reason);
  group_state Assigned = Next;
  if (Group.Removed)
    while (!Assigned.Gateways.empty())
      removeGateway(Assigned, vm_id(Assigned.Gateways.back().Vm));
  else if (!Group.Upstreams.empty())
    assignGateways(Input, Assigned);
  std::string Id = "assign-" + Group.Group.Value + "-" + gatewaysText(Assigned);
  bool Moves = !sameVms(Group, Assigned) && !Group.Gateways.empty();
  if (Moves && Group.Row.Mode == operating_mode::Hand &&
      !Leader.Approved.contains(Id)) {
    Decision.Proposal = proposal{Id, Group.Group, "assign",
                                 "gateways " + gatewaysText(Group) + " -> " +
                                     gatewaysText(Assigned)};
    Assigned = Next;
  }
  confirmShares(Assigned, Leader);
  divideBudget(Assigned);
  if (Assigned == Group)
    return Decision;
  Decision.Kind = "assign";
  Decision.Reason += "gateways " + gatewaysText(Group) + " -> " +
                     gatewaysText(Assigned) + ", budget epoch " +
                     std::to_string(Assigned.BudgetEpoch);
  Decision.Next = std::move(Assigned);
  return Decision;
}

bool isReleased(const control_state &State, const vm_id &Vm) {
  for (const auto &[Name, Group] : State.Groups) {
    if (findShare(Group, Vm))
      return false;
    for (const auto &Holder : Group.Holders)
      if (Holder.Vm == Vm)
        return false;
  }
  return true;
}

} // namespace teasellock
