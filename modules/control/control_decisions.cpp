#include "modules/control/control_service_state.h"

#include "core/compression.h"
#include "core/event_log.h"
#include "modules/control/assignment.h"
#include "modules/control/leases.h"
#include "modules/control/open_orders.h"
#include "modules/control/operator_json.h"
#include "modules/control/pause_progress.h"
#include "modules/control/pause_promotion.h"
#include "modules/control/promotion.h"
#include "modules/control/promotion_orders.h"
#include "modules/control/renewal_reply.h"
#include "modules/control/table_edit.h"
#include "modules/link/codec.h"

#include <algorithm>
#include <utility>

namespace teasellock {

namespace {

/// Minimum interval between two nudges of one VM.
const duration NudgeInterval = fromMilliseconds(40);
/// A reply to a fence is accepted no later than this.
const duration FenceReplyTimeout = fromMilliseconds(10000);

} // namespace

void control_service::state::tick() {
  answerHeldRenewals();
  if (!Leading)
    return;
  removeEndedLeases(Replicated, Leader, now());
  updateLimiters();
  std::erase_if(PendingFences, [&](const auto &Entry) {
    return now() - Entry.second.FenceSentAt > FenceReplyTimeout;
  });
  maintainMembers();
  reportDeploymentProgress();
  decideGroups(advanceSweep(Queue, Replicated));
}

void control_service::state::scheduleDecision(const group_id &Group) {
  Queue.Pending.insert(Group);
  if (IsDecisionPosted)
    return;
  IsDecisionPosted = true;
  Context.Loop.post([this] {
    IsDecisionPosted = false;
    if (Leading)
      decideGroups(popPending(Queue));
  });
}

void control_service::state::scheduleAllDecisions() {
  for (const auto &[Name, Group] : Replicated.Groups)
    scheduleDecision(Name);
}

void control_service::state::decideGroups(const std::vector<group_id> &Groups) {
  for (const auto &Name : Groups) {
    auto Group = Replicated.Groups.find(Name);
    if (Group == Replicated.Groups.end())
      continue;
    DecisionProposals.clear();
    decide(Group->second);
    recordProposals(Name, DecisionProposals);
    recordSettled(Queue, Name,
                  isSettled(Group->second, Leader, Settings, now()));
  }
}

void control_service::state::decide(const group_state &Group) {
  if (Committing.contains(Group.Group))
    return;
  bool UsesPause = Settings.Method == promotion_method::Pause;
  auto Decision = UsesPause
                      ? decidePausePromotion(Group, Leader, Settings, now())
                      : decidePromotion(Group, Leader, Settings, now());
  recordWaiting(Group, Decision);
  executeDecision(Group, Decision);
  if (Decision.Next)
    return;
  auto Cleaning = UsesPause ? decidePauseDirtyClearing(Group, Leader)
                            : decideDirtyClearing(Group, Leader, Settings);
  executeDecision(Group, Cleaning);
  if (Cleaning.Next)
    return;
  executeDecision(Group,
                  decideAssignment(Replicated, Group, Leader, Settings, now()));
}

void control_service::state::recordWaiting(const group_state &Group,
                                           const group_decision &Decision) {
  auto &Orders = Leader.Orders[Group.Group];
  Orders.WaitingReason = Decision.WaitingReason;
  if (std::exchange(Orders.LacksCandidate, Decision.LacksCandidate) ==
      Decision.LacksCandidate)
    return;
  event(Decision.LacksCandidate ? "control.no_candidate"
                                : "control.candidate_found",
        severity::Warning)
      .with("group", Group.Group.Value)
      .with("reason", Decision.WaitingReason);
  GroupsWithoutCandidate.set(static_cast<double>(std::count_if(
      Leader.Orders.begin(), Leader.Orders.end(),
      [](const auto &Entry) { return Entry.second.LacksCandidate; })));
}

void control_service::state::executeDecision(const group_state &Group,
                                             const group_decision &Decision) {
  if (Decision.Proposal)
    DecisionProposals.push_back(*Decision.Proposal);
  if (!Decision.FenceTargets.empty())
    sendFences(Group, Decision);
  if (Decision.ShouldResume)
    sendResume(Group);
  if (Decision.Order)
    callPlatform(Group, *Decision.Order);
  if (Decision.Promoter)
    sendOrder(Group, *Decision.Promoter);
  for (const auto &Vm : Decision.NudgeTargets)
    nudge(Vm);
  recordOrderDecided(Decision, Leader);
  recordPausingBegins(Decision, Leader);
  if (Decision.Next)
    commit(*Decision.Next, Decision.Kind, Decision.Reason);
}

void control_service::state::commit(const group_state &Next,
                                    const std::string &Kind,
                                    const std::string &Reason) {
  event("control." + Kind)
      .with("group", Next.Group.Value)
      .with("term", Next.Term.Value)
      .with("reason", Reason);
  if (Kind == "promoted")
    Promotions.add();
  Committing.insert(Next.Group);
  propose(makeGroupCommand(Next),
          [this, Name = Next.Group, Epoch = LeadershipEpoch](proposal_outcome) {
            if (Epoch != LeadershipEpoch)
              return;
            Committing.erase(Name);
            scheduleDecision(Name);
          });
}

void control_service::state::recordProposals(
    const group_id &Group, const std::vector<operator_proposal> &Proposals) {
  // No decision was made on a group whose last change is not committed yet.
  if (Committing.contains(Group))
    return;
  std::map<std::string, operator_proposal> Before;
  for (auto Entry = Leader.Proposals.begin();
       Entry != Leader.Proposals.end();) {
    auto Current = Entry++;
    if (Current->second.Group == Group)
      Before.insert(Leader.Proposals.extract(Current));
  }
  for (const auto &Proposal : Proposals) {
    if (!Before.contains(Proposal.Id))
      event("control.proposed")
          .with("id", Proposal.Id)
          .with("reason", Proposal.Reason);
    Leader.Proposals[Proposal.Id] = Proposal;
  }
}

bool control_service::state::sendTo(const gateway_incarnation &Gateway,
                                    message_kind Kind, request_id Request,
                                    std::string Body) {
  auto Known = Links.find(Gateway.first);
  if (Known == Links.end() || !Hub.isOpen(Known->second))
    return false;
  const auto *Peer = Hub.peerOf(Known->second);
  if (!Peer || Peer->Vm != Gateway.first || Peer->Incarnation != Gateway.second)
    return false;
  return Hub.send(Known->second, {Kind, Request, std::move(Body), ""});
}

void control_service::state::sendFences(const group_state &Group,
                                        const group_decision &Decision) {
  wire::fence Fence;
  Fence.pause_term = static_cast<std::int64_t>(Decision.PauseTerm.Value);
  Fence.group = Group.Group.Value;
  Fence.term = static_cast<std::int64_t>(Group.Term.Value);
  Fence.revision = static_cast<std::int64_t>(Group.Revision.Value);
  if (Decision.DemotionTarget)
    Fence.demoted = Decision.DemotionTarget->Value;
  time_point At = now();
  for (const auto &Gateway : Decision.FenceTargets) {
    auto Request = Hub.nextRequest();
    if (!sendTo(Gateway, message_kind(FenceKind), Request, encode(Fence)))
      continue;
    PendingFences[Request] = {Group.Group, Gateway, At};
  }
  if (Decision.PauseTerm != term())
    recordPausesSent(Group, Leader, Decision.FenceTargets, At);
  else
    recordFencesSent(Group, Leader, Decision.FenceTargets, At);
}

void control_service::state::sendResume(const group_state &Group) {
  wire::resume Resume;
  Resume.group = Group.Group.Value;
  for (const auto &Share : Group.Gateways)
    sendTo({Share.Vm, Share.Incarnation}, message_kind(ResumeKind),
           Hub.nextRequest(), encode(Resume));
}

void control_service::state::callPlatform(const group_state &Group,
                                          const promotion_order &Order) {
  recordPlatformOrderSent(Group, Leader, now());
  event("control.platform_asked")
      .with("group", Order.Group.Value)
      .with("upstream", Order.Upstream.Value)
      .with("token", Order.FencingToken.Value)
      .with("order", Group.OrderNumber);
  OrderPromotion(Order, [this, Order, Epoch = LeadershipEpoch,
                         Number = Group.OrderNumber](promotion_answer Answer) {
    constexpr const char *Names[] = {"accepted", "refused", "unknown"};
    event("control.platform_answered")
        .with("group", Order.Group.Value)
        .with("upstream", Order.Upstream.Value)
        .with("token", Order.FencingToken.Value)
        .with("answer", Names[static_cast<int>(Answer)]);
    if (Epoch != LeadershipEpoch)
      return;
    recordPlatformAnswer(Order.Group, Leader, Number, Answer, now());
    scheduleDecision(Order.Group);
  });
}

void control_service::state::sendOrder(const group_state &Group,
                                       const gateway_incarnation &Gateway) {
  wire::promote Order;
  Order.group = Group.Group.Value;
  Order.upstream = Group.Promotion->Chosen->Value;
  Order.term = static_cast<std::int64_t>(Group.Term.Value);
  sendTo(Gateway, message_kind(PromoteKind), Hub.nextRequest(), encode(Order));
  recordOrderSent(Group, Leader, now());
}

void control_service::state::nudge(const vm_id &Vm) {
  auto Link = Links.find(Vm);
  auto Last = LastNudgeAt.find(Vm);
  if (Link == Links.end() ||
      (Last != LastNudgeAt.end() && now() - Last->second < NudgeInterval))
    return;
  wire::nudge Nudge;
  Nudge.revision = static_cast<std::int64_t>(Replicated.AppliedRevision.Value);
  LastNudgeAt[Vm] = now();
  Hub.send(Link->second,
           {message_kind(NudgeKind), Hub.nextRequest(), encode(Nudge), ""});
}

void control_service::state::scheduleUpdate() {
  if (UpdateTimer.isActive())
    return;
  duration Wait =
      nextUpdateInterval(LastUpdateDuration) - (now() - LastUpdateAt);
  UpdateTimer = Context.Timers.after(std::max(duration::zero(), Wait), [this] {
    if (Leading)
      updateOutdatedVms();
  });
}

void control_service::state::updateOutdatedVms() {
  LastUpdateAt = now();
  push_bodies Bodies;
  for (const auto &[Name, Vm] : Leader.Vms)
    if (Vm.AppliedRevision < Replicated.Index.LatestRevision)
      updateVm(Name, Vm, Bodies);
  LastUpdateDuration = now() - LastUpdateAt;
}

void control_service::state::updateVm(const vm_id &Name,
                                      const vm_observation &Vm,
                                      push_bodies &Bodies) {
  auto Link = Links.find(Name);
  if (Link == Links.end())
    return;
  bool HasDeployment =
      Vm.Deployment >= Replicated.Deployment.Deployment.Version;
  bool AcceptsPush =
      Vm.AcceptsPushes && HasDeployment && Vm.AppliedRevision != revision();
  revision Base =
      expectedRevision(Pushes, Name, Link->second, Vm.AppliedRevision, now());
  if (AcceptsPush && Base >= Replicated.Index.LatestRevision)
    return;
  std::string Body = AcceptsPush ? pushBody(Base, Bodies) : "";
  if (Body.empty()) {
    // An earlier nudge must not delay this one.
    LastNudgeAt.erase(Name);
    return nudge(Name);
  }
  if (Hub.send(Link->second, {message_kind(ViewPushKind), Hub.nextRequest(),
                              std::move(Body), ""}))
    Pushes[Name] = {Link->second, Replicated.AppliedRevision, now()};
}

const std::string &control_service::state::pushBody(revision Base,
                                                    push_bodies &Bodies) {
  auto [Known, IsNew] = Bodies.try_emplace(Base);
  if (!IsNew)
    return Known->second;
  auto Changes = changesSince(Replicated, Base, {});
  if (Changes.more)
    return Known->second;
  wire::view_push Push;
  Push.base_revision = static_cast<std::int64_t>(Base.Value);
  Push.revision = Changes.revision;
  Push.groups = std::move(Changes.groups);
  Known->second = compress(encode(Push));
  return Known->second;
}

} // namespace teasellock
