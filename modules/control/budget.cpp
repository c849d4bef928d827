#include "modules/control/budget.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Returns the announced value limited by the cap; zero means that a value is
/// not specified.
std::uint32_t withinCap(std::uint32_t Announced, std::uint32_t Cap) {
  if (Announced == 0)
    return Cap;
  return Cap == 0 ? Announced : std::min(Announced, Cap);
}

share_holder *holderOf(group_state &Group, const gateway_share &Share) {
  for (auto &Holder : Group.Holders)
    if (Holder.Vm == Share.Vm && Holder.Incarnation == Share.Incarnation)
      return &Holder;
  return nullptr;
}

/// Returns part number Index of Limit divided into Parts that differ by at most
/// one.
std::uint32_t equalPart(std::uint32_t Limit, std::size_t Index,
                        std::size_t Parts) {
  auto Base = static_cast<std::uint32_t>(Limit / Parts);
  return Base + (Index < Limit % Parts ? 1 : 0);
}

/// Returns the share after this decision. A reduction takes effect at once; an
/// increase only as far as other holders have confirmed their reductions.
std::uint32_t nextShare(std::uint32_t Share, std::uint32_t Target,
                        std::uint32_t &Held, std::uint32_t &Free) {
  if (Target <= Share)
    return Target;
  // What it still holds of an earlier, larger share can be granted to it again.
  std::uint32_t Reusable = Held > Share ? Held - Share : 0;
  std::uint32_t Missing = Target - Share;
  std::uint32_t Granted = Missing > Reusable ? Missing - Reusable : 0;
  Granted = std::min(Granted, Free);
  Free -= Granted;
  Held += Granted;
  return Share + std::min(Missing, Reusable) + Granted;
}

} // namespace

budget_limits limitsOf(const group_state &Group) {
  budget_limits Limits;
  bool First = true;
  for (const auto &[Name, Upstream] : Group.Upstreams) {
    auto Connections =
        withinCap(Upstream.Connections, Group.Row.MaxConnections);
    auto Slots = withinCap(Upstream.Slots, Group.Row.MaxSlots);
    Limits.Connections =
        First ? Connections : std::min(Limits.Connections, Connections);
    Limits.Slots = First ? Slots : std::min(Limits.Slots, Slots);
    First = false;
  }
  return Limits;
}

budget_limits sumHeldBudget(const group_state &Group) {
  budget_limits Held;
  for (const auto &Holder : Group.Holders) {
    Held.Connections += Holder.Connections;
    Held.Slots += Holder.Slots;
  }
  return Held;
}

bool confirmShares(group_state &Group, const leader_state &Leader) {
  bool Changed = false;
  for (const auto &Share : Group.Gateways) {
    auto *Holder = holderOf(Group, Share);
    auto Vm = Leader.Vms.find(Share.Vm);
    if (!Holder || Vm == Leader.Vms.end() ||
        Vm->second.Incarnation != Share.Incarnation)
      continue;
    auto Report = Vm->second.Groups.find(Group.Group);
    if (Report == Vm->second.Groups.end() ||
        Report->second.BudgetEpoch < Holder->Epoch)
      continue;
    if (Holder->Connections == Share.Connections &&
        Holder->Slots == Share.Slots)
      continue;
    Holder->Connections = Share.Connections;
    Holder->Slots = Share.Slots;
    Changed = true;
  }
  return Changed;
}

bool divideBudget(group_state &Group) {
  auto Limits = limitsOf(Group);
  auto Held = sumHeldBudget(Group);
  std::uint32_t FreeConnections =
      Limits.Connections - std::min(Limits.Connections, Held.Connections);
  std::uint32_t FreeSlots = Limits.Slots - std::min(Limits.Slots, Held.Slots);
  bool Changed = false;
  for (std::size_t I = 0; I < Group.Gateways.size(); ++I) {
    auto &Share = Group.Gateways[I];
    auto *Holder = holderOf(Group, Share);
    if (!Holder)
      continue;
    auto Before = Share;
    Share.Connections =
        nextShare(Share.Connections,
                  equalPart(Limits.Connections, I, Group.Gateways.size()),
                  Holder->Connections, FreeConnections);
    Share.Slots = nextShare(Share.Slots,
                            equalPart(Limits.Slots, I, Group.Gateways.size()),
                            Holder->Slots, FreeSlots);
    Changed = Changed || Share != Before;
    // The difference is free once the gateway reports this budget epoch.
    if (Share.Connections < Before.Connections || Share.Slots < Before.Slots)
      Holder->Epoch = Group.BudgetEpoch + 1;
  }
  if (!Changed)
    return false;
  ++Group.BudgetEpoch;
  for (auto &Share : Group.Gateways)
    Share.BudgetEpoch = Group.BudgetEpoch;
  return true;
}

} // namespace teasellock
