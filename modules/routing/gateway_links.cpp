#include "modules/routing/gateway_links.h"

#include "modules/gateway/primary_gateways.h"

#include <algorithm>

namespace teasellock {

namespace {

/// A link that has not opened within this time counts as failed: several round
/// trips between regions.
constexpr duration LinkOpenTimeout = std::chrono::milliseconds(300);
/// A link that no group needs is closed after this time. Longer than most
/// failures of other gateways last.
constexpr duration UnneededLinkTimeout = std::chrono::seconds(10);

distance distanceOf(const vm_identity &Self, const gateway_share &Share) {
  if (Share.Vm == Self.Vm)
    return distance::SameVm;
  return distanceTo(Self, Share.AvailabilityZone, Share.Region);
}

void emitLinkEffect(routing_effect::kind Kind, const vm_id &Gateway,
                    routing_effects &Effects) {
  routing_effect Effect;
  Effect.Kind = Kind;
  Effect.Gateway = Gateway;
  Effects.push_back(std::move(Effect));
}

void openLink(routing_state &State, const vm_id &Vm, time_point Now,
              routing_effects &Effects) {
  auto &Gateway = State.Gateways.at(Vm);
  Gateway.HasLink = true;
  Gateway.LinkChangedAt = Now;
  State.UnsettledLinks.insert(Vm);
  emitLinkEffect(routing_effect::kind::OpenLink, Vm, Effects);
}

void closeLink(routing_state &State, const vm_id &Vm,
               routing_effects &Effects) {
  auto &Gateway = State.Gateways.at(Vm);
  Gateway.HasLink = false;
  Gateway.IsOpen = false;
  Gateway.HasFailed = false;
  State.UnsettledLinks.erase(Vm);
  emitLinkEffect(routing_effect::kind::CloseLink, Vm, Effects);
}

/// Records that a group needs a link to a gateway, and opens it if it is the
/// first one.
void needLink(routing_state &State, const group_id &Group, const vm_id &Vm,
              time_point Now, routing_effects &Effects) {
  auto &Gateway = State.Gateways.at(Vm);
  Gateway.NeededBy.insert(Group);
  if (Vm == State.Self.Vm)
    return;
  if (!Gateway.HasLink)
    return openLink(State, Vm, Now, Effects);
  if (Gateway.IsOpen) {
    State.UnsettledLinks.erase(Vm);
    return;
  }
  Gateway.LinkChangedAt = Now;
  State.UnsettledLinks.insert(Vm);
}

void releaseLink(routing_state &State, const group_id &Group, const vm_id &Vm,
                 time_point Now) {
  auto &Gateway = State.Gateways.at(Vm);
  Gateway.NeededBy.erase(Group);
  if (!Gateway.NeededBy.empty() || !Gateway.HasLink)
    return;
  Gateway.LinkChangedAt = Now;
  State.UnsettledLinks.insert(Vm);
}

/// Determines again which links a group needs.
void updateLinks(routing_state &State, const group_id &Group, time_point Now,
                 routing_effects &Effects) {
  auto &Routes = State.Groups[Group];
  auto Needed = neededLinks(gatewayOptions(State, Routes, Now));
  auto Before = std::exchange(Routes.NeededLinks, Needed);
  for (const auto &Vm : Needed)
    if (!Before.contains(Vm))
      needLink(State, Group, Vm, Now, Effects);
  for (const auto &Vm : Before)
    if (!Needed.contains(Vm))
      releaseLink(State, Group, Vm, Now);
}

void updateLinksOf(routing_state &State, const vm_id &Gateway, time_point Now,
                   routing_effects &Effects) {
  auto Groups = State.Gateways[Gateway].Groups;
  for (const auto &Group : Groups)
    updateLinks(State, Group, Now, Effects);
}

/// Removes what is known of a gateway that no group has any more.
void forgetGateway(routing_state &State, const vm_id &Vm) {
  auto Found = State.Gateways.find(Vm);
  if (Found == State.Gateways.end())
    return;
  const auto &Gateway = Found->second;
  if (Gateway.Groups.empty() && !Gateway.HasLink && Gateway.InFlight == 0)
    State.Gateways.erase(Found);
}

/// Reports whether a statement or a transaction depends on the link.
bool isInUse(const routing_state &State, const vm_id &Vm) {
  if (State.Gateways.at(Vm).InFlight > 0)
    return true;
  return std::any_of(
      State.Transactions.begin(), State.Transactions.end(),
      [&](const auto &Entry) { return Entry.second.Gateway == Vm; });
}

/// Applies a gateway of a view. Reports whether it has moved to another
/// address.
bool applyGateway(routing_state &State, const group_id &Group,
                  const gateway_share &Share, routing_effects &Effects) {
  auto &Gateway = State.Gateways[Share.Vm];
  bool HasMoved = Gateway.HasLink && Gateway.Address != Share.Address;
  if (HasMoved)
    closeLink(State, Share.Vm, Effects);
  Gateway.Address = Share.Address;
  Gateway.Distance = distanceOf(State.Self, Share);
  Gateway.SpreadRank = spreadRank(State.Self.Vm, Share.Vm);
  Gateway.Groups.insert(Group);
  if (Share.Vm == State.Self.Vm) {
    Gateway.IsOpen =
        State.LocalGateway && Share.Incarnation == State.Self.Incarnation;
    Gateway.HasFailed = !Gateway.IsOpen;
  }
  return HasMoved;
}

/// Opens the link to a gateway at its new address, if a group needs it.
void reopenLink(routing_state &State, const vm_id &Vm, time_point Now,
                routing_effects &Effects) {
  const auto &Gateway = State.Gateways.at(Vm);
  if (!Gateway.NeededBy.empty() && !Gateway.HasLink)
    openLink(State, Vm, Now, Effects);
}

} // namespace

std::vector<gateway_option> gatewayOptions(const routing_state &State,
                                           const group_routes &Routes,
                                           time_point Now) {
  std::vector<gateway_option> Options;
  Options.reserve(Routes.Gateways.size());
  for (const auto &Vm : Routes.Gateways) {
    const auto &Gateway = State.Gateways.at(Vm);
    gateway_option Option;
    Option.Vm = Vm;
    Option.Distance = Gateway.Distance;
    Option.ServesPrimary = Routes.PrimaryGateways.contains(Vm);
    Option.IsOpen = Gateway.IsOpen;
    Option.HasFailed = Gateway.HasFailed;
    Option.IsAvoided = Gateway.AvoidUntil > Now;
    Option.InFlight = Gateway.InFlight;
    Option.SpreadRank = Gateway.SpreadRank;
    Options.push_back(std::move(Option));
  }
  return Options;
}

std::vector<vm_id> applyGateways(routing_state &State, const group_view &View,
                                 time_point Now, routing_effects &Effects) {
  auto &Routes = State.Groups[View.Group];
  auto Before = std::exchange(Routes.Gateways, {});
  std::vector<vm_id> Moved;
  if (!View.Removed)
    for (const auto &Share : View.Gateways) {
      if (applyGateway(State, View.Group, Share, Effects))
        Moved.push_back(Share.Vm);
      Routes.Gateways.push_back(Share.Vm);
    }
  Routes.PrimaryGateways = primaryGateways(View);
  updateLinks(State, View.Group, Now, Effects);
  for (const auto &Vm : Moved)
    reopenLink(State, Vm, Now, Effects);
  for (const auto &Vm : Before)
    if (std::count(Routes.Gateways.begin(), Routes.Gateways.end(), Vm) == 0) {
      State.Gateways.at(Vm).Groups.erase(View.Group);
      forgetGateway(State, Vm);
    }
  return Moved;
}

void recordLinkOpened(routing_state &State, const vm_id &Vm, time_point Now,
                      routing_effects &Effects) {
  auto &Gateway = State.Gateways[Vm];
  Gateway.IsOpen = true;
  Gateway.HasFailed = false;
  if (!Gateway.NeededBy.empty())
    State.UnsettledLinks.erase(Vm);
  updateLinksOf(State, Vm, Now, Effects);
}

void recordLinkFailed(routing_state &State, const vm_id &Vm, time_point Now,
                      routing_effects &Effects) {
  auto &Gateway = State.Gateways[Vm];
  Gateway.IsOpen = false;
  Gateway.HasFailed = true;
  updateLinksOf(State, Vm, Now, Effects);
}

void reviewLinks(routing_state &State, time_point Now,
                 routing_effects &Effects) {
  auto Unsettled = State.UnsettledLinks;
  for (const auto &Vm : Unsettled) {
    // The review of another link may have settled this one.
    if (!State.UnsettledLinks.contains(Vm))
      continue;
    const auto &Gateway = State.Gateways.at(Vm);
    bool IsNeeded = !Gateway.NeededBy.empty();
    duration Age = Now - Gateway.LinkChangedAt;
    if (IsNeeded && Age >= LinkOpenTimeout) {
      // Its opening is reported whenever it happens.
      State.UnsettledLinks.erase(Vm);
      recordLinkFailed(State, Vm, Now, Effects);
    } else if (!IsNeeded && Age >= UnneededLinkTimeout && !isInUse(State, Vm)) {
      closeLink(State, Vm, Effects);
      forgetGateway(State, Vm);
    }
  }
}

} // namespace teasellock
