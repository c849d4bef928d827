#include "modules/membership/member_state.h"

#include "core/compression.h"
#include "modules/control/limiter_codec.h"
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

/// Replaces views by ones of a higher revision. Returns the changed groups.
std::vector<group_id> applyViews(member_state &State,
                                 const std::vector<wire::group_view> &Views) {
  std::vector<group_id> Changed;
  for (const auto &Wire : Views) {
    auto View = fromWire(Wire);
    auto Known = State.Views.find(View.Group);
    if (Known != State.Views.end() && Known->second.Revision >= View.Revision)
      continue;
    handleEarlierIncarnation(State, View);
    Changed.push_back(View.Group);
    State.Views[View.Group] = std::move(View);
  }
  return Changed;
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

wire::renewal describeMember(const member_state &State,
                             const vm_identity &Self) {
  wire::renewal Renewal;
  Renewal.vm = Self.Vm.Value;
  Renewal.incarnation = static_cast<std::int64_t>(Self.Incarnation.Value);
  Renewal.address = toString(Self.InternalEndpoint);
  Renewal.availability_zone = Self.AvailabilityZone.Value;
  Renewal.region = Self.Region.Value;
  Renewal.applied_revision = static_cast<std::int64_t>(State.Applied.Value);
  Renewal.after_revision = static_cast<std::int64_t>(State.AfterRevision.Value);
  Renewal.after_group = State.AfterGroup.Value;
  Renewal.deployment_version =
      static_cast<std::int64_t>(State.Deployment.Version.Value);
  Renewal.accepts_patches = true;
  Renewal.accepts_pending_views = true;
  Renewal.accepts_pushes = true;
  if (State.Limiters.Revision != revision())
    Renewal.__set_limiter_revision(
        static_cast<std::int64_t>(State.Limiters.Revision.Value));
  return Renewal;
}

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
  revision Base(static_cast<std::uint64_t>(Reply.base_revision));
  if (ReplyRevision < State.Applied || Base > State.Applied)
    return Changed;
  State.LeaseEnd =
      std::max(State.LeaseEnd, SentAt + fromMilliseconds(Reply.lease_ms));
  Changed = applyViews(State, Reply.groups);
  State.Applied = ReplyRevision;
  bool IsPartial = Reply.more && !Reply.groups.empty();
  State.AfterRevision = revision(
      IsPartial ? static_cast<std::uint64_t>(Reply.groups.back().revision) : 0);
  if (!IsPartial)
    State.ConfirmedAt = std::max(State.ConfirmedAt, SentAt);
  State.AfterGroup = group_id(IsPartial ? Reply.groups.back().group : "");
  return Changed;
}

bool applyLimiters(member_state &State, const wire::renewal_reply &Reply,
                   time_point SentAt) {
  if (!Reply.granted)
    return false;
  auto &View = State.Limiters;
  revision Revision(static_cast<std::uint64_t>(Reply.limiters.revision));
  bool IsNewer = Reply.__isset.limiters && Revision > View.Revision;
  if (IsNewer) {
    std::vector<std::optional<limiter_holder>> Slots;
    for (const auto &Holder : Reply.limiters.slots)
      Slots.push_back(fromWire(Holder));
    View.Slots = std::move(Slots);
    View.Revision = Revision;
  }
  // The reply contains the assignment that the lease applies to, unless the VM
  // had applied it when it sent the renewal.
  if (Reply.__isset.limiter_lease_ms && Reply.limiter_lease_ms > 0)
    View.LeaseEnd = std::max(View.LeaseEnd,
                             SentAt + fromMilliseconds(Reply.limiter_lease_ms));
  return IsNewer;
}

bool holdsLimiterSlot(const member_state &State) {
  const auto &Slots = State.Limiters.Slots;
  return std::any_of(Slots.begin(), Slots.end(), [&](const auto &Holder) {
    return Holder && Holder->Vm == State.Self &&
           Holder->Incarnation == State.Incarnation;
  });
}

std::vector<group_id> applyViewPush(member_state &State,
                                    const wire::view_push &Push) {
  revision Base(static_cast<std::uint64_t>(Push.base_revision));
  revision Revision(static_cast<std::uint64_t>(Push.revision));
  bool IsPartial = State.AfterRevision != revision();
  if (IsPartial || Base > State.Applied || Revision <= State.Applied)
    return {};
  auto Changed = applyViews(State, Push.groups);
  State.Applied = Revision;
  return Changed;
}

bool concernsOwnGateways(const member_state &State,
                         const std::vector<wire::group_view> &Groups) {
  return std::any_of(
      Groups.begin(), Groups.end(), [&](const wire::group_view &Group) {
        auto IsOwn = [&](const wire::gateway_share &Share) {
          return Share.vm == State.Self.Value;
        };
        if (std::any_of(Group.gateways.begin(), Group.gateways.end(), IsOwn))
          return true;
        auto Known = State.Views.find(group_id(Group.group));
        return Known != State.Views.end() &&
               std::any_of(Known->second.Gateways.begin(),
                           Known->second.Gateways.end(),
                           [&](const gateway_share &Share) {
                             return Share.Vm == State.Self;
                           });
      });
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
