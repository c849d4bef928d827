#include "modules/membership/member_state.h"

#include "core/compression.h"
#include "modules/deployment/deployment_patch.h"
#include "modules/link/codec.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Removes the shares of earlier incarnations of this VM from a view, or
/// assigns them to this incarnation if it inherits them.
void handleEarlierIncarnation(const member_state &State, group_view &View) {
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

/// A deployment is valid by its version alone, also in an outdated reply.
void applyDeployment(member_state &State, const wire::renewal_reply &Reply) {
  if (Reply.__isset.deployment_patches) {
    auto Encoded = decompress(Reply.deployment_patches, MaxFrameBytes);
    auto Content = decode<wire::deployment_patches>(Encoded, "control");
    for (const auto &Patch : Content.patches)
      applyPatch(State.Deployment, Patch);
  }
  if (!Reply.__isset.newer_deployment)
    return;
  auto Next = fromWire(Reply.newer_deployment);
  if (Next.Version > State.Deployment.Version)
    State.Deployment = std::move(Next);
}

} // namespace

std::vector<group_id> applyRenewalReply(member_state &State,
                                        const wire::renewal_reply &Reply,
                                        time_point SentAt) {
  std::vector<group_id> Changed;
  if (!Reply.granted)
    return Changed;
  applyDeployment(State, Reply);
  if (Reply.views_pending)
    return Changed;
  // The lease is valid only for the views of its reply, which are outdated
  // here.
  revision ReplyRevision(static_cast<std::uint64_t>(Reply.revision));
  if (ReplyRevision < State.Applied)
    return Changed;
  State.LeaseEnd =
      std::max(State.LeaseEnd, SentAt + fromMilliseconds(Reply.lease_ms));
  for (const auto &Wire : Reply.groups) {
    auto View = fromWire(Wire);
    auto Known = State.Views.find(View.Group);
    if (Known != State.Views.end() && Known->second.Revision >= View.Revision)
      continue;
    handleEarlierIncarnation(State, View);
    Changed.push_back(View.Group);
    State.Views[View.Group] = std::move(View);
  }
  State.Applied = ReplyRevision;
  bool IsPartial = Reply.more && !Reply.groups.empty();
  State.AfterRevision = revision(
      IsPartial ? static_cast<std::uint64_t>(Reply.groups.back().revision) : 0);
  State.AfterGroup = group_id(IsPartial ? Reply.groups.back().group : "");
  return Changed;
}

bool isLeaseValid(const member_state &State, time_point Now) {
  return Now < State.LeaseEnd;
}

std::string promotionRefusal(const member_state &State,
                             const wire::promote &Order) {
  auto Known = State.Views.find(group_id(Order.group));
  if (Known == State.Views.end())
    return "";
  auto Term = static_cast<std::uint64_t>(Order.term);
  if (Known->second.Term.Value > Term)
    return "term " + toString(Known->second.Term) + " has already started";
  if (Known->second.Term.Value == Term && Known->second.Primary &&
      Known->second.Primary->Value != Order.upstream)
    return Known->second.Primary->Value + " is the primary of that term";
  return "";
}

} // namespace teasellock
