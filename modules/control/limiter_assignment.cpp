#include "modules/control/limiter_assignment.h"

#include "modules/control/assignment.h"
#include "modules/control/leases.h"
#include "modules/control/limiter_codec.h"

#include <algorithm>
#include <tuple>

namespace teasellock {

namespace {

/// The input of a decision.
struct limiter_input {
  const control_state &State;
  const leader_state &Leader;
  const decision_settings &Settings;
  time_point Now;
};

const vm_record *findVm(const limiter_input &Input, const vm_id &Vm) {
  auto Found = Input.State.Vms.find(Vm);
  return Found == Input.State.Vms.end() ? nullptr : &Found->second;
}

bool mayHoldSlots(const vm_record &Vm) { return Vm.Gateway && !Vm.Draining; }

/// Reports whether a later process of the VM is registered. The earlier one has
/// ended then, because a VM runs one process at a time.
bool hasEnded(const limiter_input &Input, const vm_id &Vm,
              incarnation Incarnation) {
  const auto *Record = findVm(Input, Vm);
  return Record && Record->Incarnation > Incarnation;
}

bool hasLeaseEnded(const limiter_input &Input, const vm_id &Vm,
                   incarnation Incarnation) {
  return Input.Now >=
         limiterLeaseEnd(Input.Leader, {Vm, Incarnation}, Input.Settings);
}

bool hasApplied(const limiter_input &Input, const former_limiter &Former) {
  auto Found = Input.Leader.Vms.find(Former.Vm);
  return Found != Input.Leader.Vms.end() &&
         Found->second.Incarnation == Former.Incarnation &&
         Found->second.LimiterRevision >= Former.RemovedAt;
}

bool mayStillAct(const limiter_input &Input, const former_limiter &Former) {
  return Input.Settings.LimiterRules.AwaitRelease &&
         !hasEnded(Input, Former.Vm, Former.Incarnation) &&
         !hasApplied(Input, Former) &&
         !hasLeaseEnded(Input, Former.Vm, Former.Incarnation);
}

bool isEligible(const limiter_input &Input, const vm_record &Vm) {
  auto Found = Input.Leader.Vms.find(Vm.Vm);
  return mayHoldSlots(Vm) && Found != Input.Leader.Vms.end() &&
         Found->second.Incarnation == Vm.Incarnation &&
         Found->second.LimiterRevision &&
         hasRenewedWithin(Input.Leader, Vm.Vm, Input.Settings.VmTimeout,
                          Input.Now);
}

/// Why a slot is taken from its holder; empty if the holder keeps it.
std::string removalReason(const limiter_input &Input,
                          const limiter_holder &Holder) {
  const auto *Record = findVm(Input, Holder.Vm);
  if (!hasLimits(Input.State.Deployment.Deployment))
    return "no organisation has a limit";
  if (Record && Record->Draining)
    return "the VM drains";
  if (Record && !Record->Gateway)
    return "the VM is no gateway";
  if (!hasRenewedWithin(Input.Leader, Holder.Vm, Input.Settings.VmTimeout,
                        Input.Now) &&
      hasLeaseEnded(Input, Holder.Vm, Holder.Incarnation))
    return "the VM is silent and its lease has ended";
  return "";
}

limiter_holder holderOf(const vm_record &Vm) {
  return {Vm.Vm, Vm.Incarnation, Vm.Address};
}

/// Takes a slot from a holder that may not keep it, and forgets a former holder
/// that can't act any more.
void releaseSlot(const limiter_input &Input, std::size_t Index,
                 limiter_slot &Slot, std::vector<limiter_change> &Changes) {
  if (Slot.Former && !mayStillAct(Input, *Slot.Former))
    Slot.Former.reset();
  if (!Slot.Holder)
    return;
  limiter_holder Holder = *Slot.Holder;
  std::string Reason = removalReason(Input, Holder);
  bool HasEnded = hasEnded(Input, Holder.Vm, Holder.Incarnation);
  if (HasEnded && Reason.empty()) {
    Slot.Holder = holderOf(*findVm(Input, Holder.Vm));
    Changes.push_back({Index, Holder.Vm, Slot.Holder->Incarnation,
                       "assigned: the VM's process has restarted"});
    return;
  }
  if (Reason.empty())
    return;
  Slot.Holder.reset();
  bool IsRemovedFirst = Input.Settings.LimiterRules.RemoveFirst ||
                        !hasLeaseEnded(Input, Holder.Vm, Holder.Incarnation);
  if (!HasEnded && IsRemovedFirst)
    Slot.Former = {Holder.Vm, Holder.Incarnation, revision(CommandRevision)};
  Changes.push_back(
      {Index, Holder.Vm, Holder.Incarnation, "removed: " + Reason});
}

/// What counts against a VM as the next holder; the smallest is chosen.
using holder_cost = std::tuple<std::size_t, bool, std::size_t>;

holder_cost costOf(const limiter_input &Input,
                   const std::vector<limiter_slot> &Slots,
                   const vm_record &Vm) {
  std::size_t Own = 0;
  std::size_t InZone = 0;
  for (const auto &Slot : Slots) {
    if (!Slot.Holder)
      continue;
    Own += Slot.Holder->Vm == Vm.Vm;
    const auto *Holder = findVm(Input, Slot.Holder->Vm);
    InZone += Holder && Holder->AvailabilityZone == Vm.AvailabilityZone;
  }
  return {Own, Input.Leader.ControlHosts.contains(Vm.Address.Address), InZone};
}

const vm_record *chooseHolder(const limiter_input &Input,
                              const std::vector<limiter_slot> &Slots) {
  const vm_record *Best = nullptr;
  holder_cost BestCost;
  for (const auto &[Name, Vm] : Input.State.Vms) {
    if (!isEligible(Input, Vm))
      continue;
    auto Cost = costOf(Input, Slots, Vm);
    if (Best && Cost >= BestCost)
      continue;
    Best = &Vm;
    BestCost = Cost;
  }
  return Best;
}

void assignFreeSlots(const limiter_input &Input, limiter_assignment &Next,
                     std::vector<limiter_change> &Changes) {
  if (areVmsRegistering(Input.Leader, Input.Settings, Input.Now))
    return;
  for (std::size_t Index = 0; Index < Next.Slots.size(); ++Index) {
    auto &Slot = Next.Slots[Index];
    if (Slot.Holder || Slot.Former)
      continue;
    const auto *Vm = chooseHolder(Input, Next.Slots);
    if (!Vm)
      return;
    Slot.Holder = holderOf(*Vm);
    Changes.push_back(
        {Index, Vm->Vm, Vm->Incarnation, "assigned: the slot has no holder"});
  }
}

/// Reports whether another VM would hold the slot better: it has fewer other
/// slots, or as many and is not the host of a control store.
bool shouldMove(const limiter_input &Input,
                const std::vector<limiter_slot> &OtherSlots,
                const vm_record &Holder, const vm_record &Other) {
  auto [HolderSlots, HolderHostsControl, InHolderZone] =
      costOf(Input, OtherSlots, Holder);
  auto [Slots, HostsControl, InZone] = costOf(Input, OtherSlots, Other);
  return std::tie(Slots, HostsControl) <
         std::tie(HolderSlots, HolderHostsControl);
}

/// Takes slots from VMs that hold more than others. The VM that registers first
/// gets all slots: if it froze, no organisation with a limit would be served
/// until its lease had ended.
void balanceSlots(const limiter_input &Input, limiter_assignment &Next,
                  std::vector<limiter_change> &Changes) {
  if (areVmsRegistering(Input.Leader, Input.Settings, Input.Now))
    return;
  // The former holder of a slot has not released it yet.
  for (const auto &Slot : Next.Slots)
    if (!Slot.Holder || Slot.Former)
      return;
  auto Planned = Next.Slots;
  for (std::size_t Index = 0; Index < Planned.size(); ++Index) {
    auto Holder = *Planned[Index].Holder;
    const auto *Record = findVm(Input, Holder.Vm);
    // A VM that is silent does not release a slot before its lease has ended.
    if (!Record || !isEligible(Input, *Record))
      continue;
    Planned[Index].Holder.reset();
    const auto *Other = chooseHolder(Input, Planned);
    if (!Other || !shouldMove(Input, Planned, *Record, *Other)) {
      Planned[Index].Holder = Holder;
      continue;
    }
    Planned[Index].Holder = holderOf(*Other);
    Next.Slots[Index].Holder.reset();
    Next.Slots[Index].Former = {Holder.Vm, Holder.Incarnation,
                                revision(CommandRevision)};
    Changes.push_back({Index, Holder.Vm, Holder.Incarnation,
                       "removed: another VM has fewer slots"});
  }
}

bool isInUse(const limiter_slot &Slot) { return Slot.Holder || Slot.Former; }

} // namespace

limiter_decision decideLimiters(const control_state &State,
                                const leader_state &Leader,
                                const decision_settings &Settings,
                                time_point Now) {
  limiter_input Input{State, Leader, Settings, Now};
  bool HasLimits = hasLimits(State.Deployment.Deployment);
  limiter_decision Decision;
  if (State.Limiters.Slots.empty() && !HasLimits)
    return Decision;
  limiter_assignment Next = State.Limiters;
  Next.Slots.resize(LimiterSlotCount);
  for (std::size_t Index = 0; Index < Next.Slots.size(); ++Index)
    releaseSlot(Input, Index, Next.Slots[Index], Decision.Changes);
  if (HasLimits)
    assignFreeSlots(Input, Next, Decision.Changes);
  if (HasLimits && Decision.Changes.empty())
    balanceSlots(Input, Next, Decision.Changes);
  // With limits, the first assignment has no holders yet: VMs become eligible
  // by reporting that they have applied it.
  if (!HasLimits && std::none_of(Next.Slots.begin(), Next.Slots.end(), isInUse))
    Next.Slots.clear();
  if (Next != State.Limiters)
    Decision.Next = std::move(Next);
  return Decision;
}

void grantLimiterLease(const control_state &State, leader_state &Leader,
                       const wire::renewal &Renewal,
                       const decision_settings &Settings, time_point Now,
                       wire::renewal_reply &Reply) {
  const auto &Assignment = State.Limiters;
  if (Assignment.Slots.empty())
    return;
  gateway_incarnation Process(
      vm_id(Renewal.vm),
      incarnation(static_cast<std::uint64_t>(Renewal.incarnation)));
  duration Margin = Settings.LimiterRules.AddMargin
                        ? Settings.LimiterLeaseMargin
                        : duration::zero();
  Leader.LimiterLeaseEnds[Process] = Now + Settings.LimiterLeaseTime + Margin;
  Reply.__set_limiter_lease_ms(toMilliseconds(Settings.LimiterLeaseTime));
  auto Revision = static_cast<std::int64_t>(Assignment.Revision.Value);
  if (Renewal.limiter_revision >= Revision)
    return;
  wire::limiter_assignment Message;
  Message.revision = Revision;
  if (hasLimits(State.Deployment.Deployment))
    for (const auto &Slot : Assignment.Slots)
      Message.slots.push_back(toWire(Slot.Holder));
  Reply.__set_limiters(std::move(Message));
}

time_point limiterLeaseEnd(const leader_state &Leader,
                           const gateway_incarnation &Process,
                           const decision_settings &Settings) {
  duration Margin = Settings.LimiterRules.AddMargin
                        ? Settings.LimiterLeaseMargin
                        : duration::zero();
  time_point End;
  if (Settings.LimiterRules.CountEarlierLeaders)
    End = Leader.LeadingSince + Settings.LimiterLeaseTime + Margin;
  auto Found = Leader.LimiterLeaseEnds.find(Process);
  return Found == Leader.LimiterLeaseEnds.end() ? End
                                                : std::max(End, Found->second);
}

void removeEndedLimiterLeases(leader_state &Leader, time_point Now) {
  std::erase_if(Leader.LimiterLeaseEnds,
                [&](const auto &Entry) { return Entry.second < Now; });
}

bool holdsLimiterSlot(const limiter_assignment &Assignment, const vm_id &Vm) {
  return std::any_of(Assignment.Slots.begin(), Assignment.Slots.end(),
                     [&](const limiter_slot &Slot) {
                       return (Slot.Holder && Slot.Holder->Vm == Vm) ||
                              (Slot.Former && Slot.Former->Vm == Vm);
                     });
}

bool hasLimits(const deployment &Deployment) {
  return Deployment.Organisations &&
         std::any_of(Deployment.Organisations->begin(),
                     Deployment.Organisations->end(),
                     [](const organisation &Organisation) {
                       return Organisation.Limit.has_value();
                     });
}

} // namespace teasellock
