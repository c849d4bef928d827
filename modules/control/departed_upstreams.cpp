#include "modules/control/departed_upstreams.h"

#include "modules/control/promotion_steps.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Removes an upstream that is gone.
void removeUpstream(group_state &Group, const upstream_id &Upstream,
                    bool WasSilent) {
  rememberDeparture(Group, Group.Upstreams.at(Upstream), WasSilent);
  // No order can promote an upstream that has certainly ended.
  if (!WasSilent)
    Group.OpenOrders.erase(Upstream);
  Group.Upstreams.erase(Upstream);
}

void markDirty(group_state &Group) {
  Group.Dirty = true;
  Group.DirtySince = revision(CommandRevision);
}

/// Returns an upstream that a later process at the same address announces, or
/// null.
const upstream_announcement *
findSuccessor(const group_state &Group, const upstream_announcement &Former) {
  if (Former.Incarnation == incarnation())
    return nullptr;
  auto Found = std::find_if(
      Group.Upstreams.begin(), Group.Upstreams.end(), [&](const auto &Entry) {
        return Entry.second.Address == Former.Address &&
               Entry.second.Incarnation > Former.Incarnation;
      });
  return Found == Group.Upstreams.end() ? nullptr : &Found->second;
}

group_decision replaceUpstream(const group_state &Group,
                               const upstream_announcement &Former,
                               const upstream_announcement &Successor) {
  group_state Next = Group;
  removeUpstream(Next, Former.Upstream, false);
  bool WasPrimary = Group.Primary == Former.Upstream;
  bool WasDeposed =
      Group.Promotion && Group.Promotion->Deposed == Former.Upstream;
  // A primary comes back with its log, and still leads if no other was
  // promoted.
  if (WasPrimary && Successor.ClaimsPrimary)
    Next.Primary = Successor.Upstream;
  if (WasDeposed && Successor.ClaimsPrimary) {
    Next.Promotion->Deposed = Successor.Upstream;
    Next.Promotion->DeposedIncarnation = Successor.Incarnation;
    // An order to demote the former process can't reach the later one.
    Next.Promotion->Planned = false;
  }
  if (!WasPrimary && !WasDeposed)
    markDirty(Next);
  return changeTo(std::move(Next), "upstream_succeeded",
                  Successor.Upstream.Value + " runs at the address of " +
                      Former.Upstream.Value);
}

} // namespace

group_decision decideSuccession(const group_state &Group) {
  if (Group.Promotion && Group.Promotion->Phase != promotion_phase::Fencing)
    return {};
  for (const auto &[Name, Upstream] : Group.Upstreams)
    if (const auto *Successor = findSuccessor(Group, Upstream))
      return replaceUpstream(Group, Upstream, *Successor);
  return {};
}

bool isLost(const group_state &Group, const leader_state &Leader,
            const std::map<upstream_id, upstream_observation> &Probes,
            const decision_settings &Settings, time_point Now,
            const upstream_id &Upstream) {
  if (Now - Leader.LeadingSince < Settings.UpstreamLossTimeout ||
      Upstream == Group.Primary || Probes.contains(Upstream))
    return false;
  auto Last = Leader.LastAnnouncements.find({Group.Group, Upstream});
  return Last == Leader.LastAnnouncements.end() ||
         Now - Last->second.ReceivedAt > Settings.UpstreamLossTimeout;
}

group_decision
decideLostReplica(const group_state &Group, const leader_state &Leader,
                  const std::map<upstream_id, upstream_observation> &Probes,
                  const decision_settings &Settings, time_point Now) {
  for (const auto &[Name, Upstream] : Group.Upstreams) {
    if (!isLost(Group, Leader, Probes, Settings, Now, Name))
      continue;
    group_state Next = Group;
    removeUpstream(Next, Name, true);
    markDirty(Next);
    return changeTo(std::move(Next), "upstream_lost",
                    Name.Value +
                        " has neither announced itself nor been reached");
  }
  return {};
}

} // namespace teasellock
