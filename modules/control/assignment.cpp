#include "modules/control/assignment.h"

#include "modules/control/budget.h"
#include "modules/control/leases.h"
#include "modules/control/limiter_assignment.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace teasellock {

namespace {

/// Many VMs are silent if these are more than FewVms and more than one in
/// ManyVmsDivisor of all VMs. VMs rarely fail by the dozen, and moving all
/// groups at once costs more than waiting.
constexpr std::size_t ManyVmsDivisor = 4;
constexpr std::size_t FewVms = 3;
/// Factor of VmTimeout while many VMs are silent.
constexpr int ManyVmsTimeoutFactor = 3;
/// Connections that a gateway needs to be useful.
constexpr std::uint32_t MinGatewayConnections = 6;

/// The first gateways of a group are chosen this long after the election of the
/// leader at the latest.
constexpr duration MaxRegistrationTime = std::chrono::seconds(2);

/// Two gateways must remain after the loss of one.
constexpr std::size_t MinAutomaticGateways = 3;

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
bool areManyVmsSilent(const assignment_input &Input) {
  std::size_t Silent = 0;
  std::size_t All = 0;
  for (const auto &[Name, Vm] : Input.State.Vms) {
    if (!Vm.Gateway || Vm.Draining)
      continue;
    ++All;
    Silent += !hasRenewedWithin(Input.Leader, Name, Input.Settings.VmTimeout,
                                Input.Now);
  }
  return Silent * ManyVmsDivisor > All && Silent > FewVms;
}

bool isLost(const assignment_input &Input, const vm_id &Vm) {
  if (hasRenewedWithin(Input.Leader, Vm, Input.Settings.VmTimeout, Input.Now))
    return false;
  duration Timeout = Input.Settings.VmTimeout;
  if (areManyVmsSilent(Input))
    Timeout *= ManyVmsTimeoutFactor;
  // A new leader gives every VM the same time to send a renewal.
  return Input.Now - Input.Leader.LeadingSince >= Timeout &&
         !hasRenewedWithin(Input.Leader, Vm, Timeout, Input.Now);
}

bool isDraining(const assignment_input &Input, const vm_id &Vm) {
  auto Found = Input.State.Vms.find(Vm);
  return Found != Input.State.Vms.end() && Found->second.Draining;
}

/// Returns the number of gateways of a group whose row does not set it: every
/// VM has about one group, and each group has enough gateways to lose one. More
/// than one gateway per zone would only divide queues and connections further.
std::size_t automaticGateways(const control_state &State) {
  std::size_t PerGroup = State.Index.GatewayVmCount /
                         std::max<std::size_t>(State.Index.ServedGroupCount, 1);
  return std::max(MinAutomaticGateways,
                  std::min(PerGroup, State.Index.ZoneCount));
}

std::size_t wantedGateways(const control_state &State,
                           const group_state &Group) {
  auto Limits = limitsOf(Group);
  // If the row does not set the number, upstreams queue the statements that
  // exceed their slots, so only connections are scarce: each gateway needs one
  // for probes and some for statements.
  if (Group.Row.GatewayCount == 0)
    return std::max<std::size_t>(
        std::min<std::size_t>(automaticGateways(State),
                              Limits.Connections / MinGatewayConnections),
        1);
  std::size_t Wanted = Group.Row.GatewayCount;
  // Every gateway needs a connection and a slot of its own.
  std::size_t Useful = std::min(Limits.Connections, Limits.Slots);
  return std::max<std::size_t>(std::min(Wanted, Useful), 1);
}

std::size_t loadOf(const control_state &State, const vm_id &Vm) {
  auto Found = State.Index.GroupCounts.find(Vm);
  return Found == State.Index.GroupCounts.end() ? 0 : Found->second;
}

/// Returns the number of groups above which a VM is overloaded. It does not
/// depend on the current assignment, because otherwise groups that move would
/// change the limit.
std::size_t loadLimit(const control_state &State, const group_state &Group) {
  std::size_t Vms = std::max<std::size_t>(State.Index.GatewayVmCount, 1);
  std::size_t All = State.Index.ServedGroupCount * wantedGateways(State, Group);
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
bool isStillReporting(const assignment_input &Input, const group_state &Group,
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
        isStillReporting(Input, Group, Vm) ||
        !hasRenewedWithin(Input.Leader, Name, Input.Settings.VmTimeout,
                          Input.Now))
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
      Holder.RemovedAt = revision(CommandRevision);
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
bool shouldRelieve(const assignment_input &Input, const group_state &Group,
                   const gateway_share &Share) {
  std::size_t Limit = loadLimit(Input.State, Group);
  if (loadOf(Input.State, Share.Vm) <= Limit || Group.Row.GatewayCount > 0)
    return false;
  // Only one group moves at a time; otherwise all would move to the same VM.
  auto Last = Input.State.Index.LastGroups.find(Share.Vm);
  if (Last == Input.State.Index.LastGroups.end() || Last->second != Group.Group)
    return false;
  const auto *Other = bestCandidate(Input, Group);
  return Other && loadOf(Input.State, Other->Vm) + 1 < Limit;
}

/// The group's gateways by what happens to them.
struct gateway_classes {
  /// Without a renewal for too long.
  std::vector<vm_id> Lost;
  /// Draining or overloaded; removed once the others are ready.
  std::vector<vm_id> Draining;
  std::vector<vm_id> Staying;
  /// All that stay have reported the group.
  bool Ready = true;
};

gateway_classes classifyGateways(const assignment_input &Input,
                                 const group_state &Group) {
  gateway_classes Classes;
  bool Relieved = false;
  for (const auto &Share : Group.Gateways) {
    if (isLost(Input, Share.Vm)) {
      Classes.Lost.push_back(Share.Vm);
    } else if (isDraining(Input, Share.Vm) ||
               (!Relieved && shouldRelieve(Input, Group, Share))) {
      Relieved = true;
      Classes.Draining.push_back(Share.Vm);
    } else {
      Classes.Staying.push_back(Share.Vm);
      Classes.Ready = Classes.Ready && hasReported(Input, Group, Share);
    }
  }
  return Classes;
}

void assignGateways(const assignment_input &Input, group_state &Group) {
  if (Group.Gateways.empty() &&
      areVmsRegistering(Input.Leader, Input.Settings, Input.Now))
    return;
  if (Input.Settings.Method == promotion_method::Pause)
    inheritShares(Input, Group);
  else
    replaceRestarted(Input, Group);
  std::size_t Wanted = wantedGateways(Input.State, Group);
  auto Classes = classifyGateways(Input, Group);
  std::size_t Staying = Classes.Staying.size();
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
  for (const auto &Vm : Classes.Lost)
    if (Surplus > 0 || Staying + Added > 0) {
      removeGateway(Group, Vm);
      Surplus -= Surplus > 0;
    }
  bool Ready = Classes.Ready && Added == 0 && Staying > 0;
  for (const auto &Vm : Classes.Draining)
    if (Ready && Staying >= std::min(Wanted, Group.Gateways.size() - 1)) {
      removeGateway(Group, Vm);
      Surplus -= Surplus > 0;
    }
  for (; Surplus > 0 && Classes.Staying.size() > Wanted; --Surplus) {
    auto MostLoaded = std::max_element(
        Classes.Staying.begin(), Classes.Staying.end(),
        [&](const vm_id &Left, const vm_id &Right) {
          return loadOf(Input.State, Left) < loadOf(Input.State, Right);
        });
    removeGateway(Group, *MostLoaded);
    Classes.Staying.erase(MostLoaded);
  }
}

/// Whether a holder may still acknowledge writes or hold connections: it may,
/// it has released the group, or its lease or incarnation has ended.
enum class holder_status { Stays, Released, Expired };

holder_status statusOf(const assignment_input &Input, const group_state &Group,
                       const share_holder &Holder) {
  if (Holder.RemovedAt == revision() ||
      Holder.RemovedAt == revision(CommandRevision))
    return holder_status::Stays;
  gateway_incarnation Gateway(Holder.Vm, Holder.Incarnation);
  // A later incarnation of the VM shows that this one and its connections have
  // ended. With promotion_method::Fence, acknowledgements depend on the lease,
  // which must end first.
  auto Record = Input.State.Vms.find(Holder.Vm);
  if (Input.Settings.Method == promotion_method::Pause &&
      Record != Input.State.Vms.end() &&
      Record->second.Incarnation > Holder.Incarnation)
    return holder_status::Expired;
  if (leaseEnd(Input.Leader, Gateway, Input.Settings) <= Input.Now)
    return holder_status::Expired;
  auto Vm = Input.Leader.Vms.find(Holder.Vm);
  bool HasApplied = Vm != Input.Leader.Vms.end() &&
                    Vm->second.Incarnation == Holder.Incarnation &&
                    Vm->second.AppliedRevision >= Holder.RemovedAt;
  if (HasApplied && !Vm->second.Groups.contains(Group.Group))
    return holder_status::Released;
  return holder_status::Stays;
}

/// Removes holders that can neither acknowledge writes nor hold connections.
/// What they acknowledged last is unknown until the primary has been probed
/// again.
void releaseHolders(const assignment_input &Input, group_state &Group,
                    std::string &Reason) {
  if (Group.Promotion)
    return;
  std::erase_if(Group.Holders, [&](const share_holder &Holder) {
    auto Status = statusOf(Input, Group, Holder);
    if (Status == holder_status::Stays)
      return false;
    Reason += Holder.Vm.Value + (Status == holder_status::Released
                                     ? " has released the group; "
                                     : " has lost its lease without releasing "
                                       "the group; ");
    // With promotion_method::Pause, no promotion depends on what a gateway
    // acknowledged.
    if (!Holder.Fenced && Input.Settings.Method == promotion_method::Fence) {
      Group.Dirty = true;
      Group.DirtySince = revision(CommandRevision);
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

bool hasSameGateways(const group_state &Left, const group_state &Right) {
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
  bool Moves = !hasSameGateways(Group, Assigned) && !Group.Gateways.empty();
  if (Moves && Group.Row.Mode == operating_mode::Manual &&
      !Leader.ApprovedProposals.contains(Id)) {
    Decision.Proposal = operator_proposal{Id, Group.Group, "assign",
                                          "gateways " + gatewaysText(Group) +
                                              " -> " + gatewaysText(Assigned)};
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
  Decision.KeepsAnswers = true;
  return Decision;
}

bool areVmsRegistering(const leader_state &Leader,
                       const decision_settings &Settings, time_point Now) {
  return Now - Leader.LastNewVmAt < Settings.RegistrationPause &&
         Now - Leader.LeadingSince < MaxRegistrationTime;
}

bool isReleased(const control_state &State, const vm_id &Vm) {
  for (const auto &[Name, Group] : State.Groups) {
    if (findShare(Group, Vm))
      return false;
    for (const auto &Holder : Group.Holders)
      if (Holder.Vm == Vm)
        return false;
  }
  return !holdsLimiterSlot(State.Limiters, Vm);
}

} // namespace teasellock
