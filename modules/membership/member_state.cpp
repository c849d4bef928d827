#include "modules/membership/member_state.h"

#include <algorithm>

namespace teasellock {

namespace {

/// A share given to an earlier run of this VM is not this run's to use, unless
/// it inherits it.
void takeEarlierRun(const member_state &State, group_view &View) {
  if (State.InheritsShares) {
    for (auto &Share : View.Gateways)
      if (Share.Vm == State.Self)
        Share.Incarnation = State.Incarnation;
    return;
  }
  std::erase_if(View.Gateways, [&](const gateway_share &Share) {
    return Share.Vm == State.Self && Share.Incarnation != State.Incarnation;
  });
}

} // namespace

std::vector<group_id> applyReply(member_state &State,
                                 const wire::renewal_reply &Reply,
                                 time_point SentAt) {
  std::vector<group_id> Changed;
  if (!Reply.granted)
    return Changed;
  // An answer that is behind also can't tell which views the lease is for.
  revision Reached(static_cast<std::uint64_t>(Reply.revision));
  if (Reached < State.Applied)
    return Changed;
  State.LeaseEnd =
      std::max(State.LeaseEnd, SentAt + fromMilliseconds(Reply.lease_ms));
  for (const auto &Wire : Reply.groups) {
    auto View = fromWire(Wire);
    auto Known = State.Views.find(View.Group);
    if (Known != State.Views.end() && Known->second.Revision >= View.Revision)
      continue;
    takeEarlierRun(State, View);
    Changed.push_back(View.Group);
    State.Views[View.Group] = std::move(View);
  }
  if (Reply.__isset.newer_deployment) {
    auto Next = fromWire(Reply.newer_deployment);
    if (Next.Version > State.Deployment.Version)
      State.Deployment = std::move(Next);
  }
  State.Applied = Reached;
  bool Partial = Reply.more && !Reply.groups.empty();
  State.AfterRevision = revision(
      Partial ? static_cast<std::uint64_t>(Reply.groups.back().revision) : 0);
  State.AfterGroup = group_id(Partial ? Reply.groups.back().group : "");
  return Changed;
}

bool leaseValid(const member_state &State, time_point Now) {
  return Now < State.LeaseEnd;
}

std::string staleOrder(const member_state &State, const wire::promote &Order) {
  auto Known = State.Views.find(group_id(Order.group));
  if (Known == State.Views.end())
    return "";
  auto Term = static_cast<std::uint64_t>(Order.term);
  if (Known->second.Term.Value > Term)
    return "term " + toString(Known->second.Term) + " has begun";
  if (Known->second.Term.Value == Term && Known->second.Primary &&
      Known->second.Primary->Value != Order.upstream)
    return Known->second.Primary->Value + " is primary of that term";
  return "";
}

} // namespace teasellock
