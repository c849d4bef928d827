#include "modules/control/promotion.h"

#include "core/error.h"
#include "modules/control/candidate_search.h"
#include "modules/control/group_reports.h"
#include "modules/control/leases.h"
#include "modules/control/primary_health.h"
#include "modules/control/promotion_orders.h"
#include "modules/control/promotion_steps.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Ages are reported in whole milliseconds, rounded down.
const duration AgeResolution = fromMilliseconds(1);
const duration FailedOrderDelay = fromMilliseconds(50);

/// Replaces a change by a proposal if the group is in hand mode and no operator
/// has approved the change.
group_decision requireApproval(const group_state &Group,
                               const leader_state &Leader,
                               group_decision Decision) {
  if (Group.Row.Mode == operating_mode::Auto || !Decision.Next)
    return Decision;
  std::string Id =
      Decision.Kind + "-" + Group.Group.Value + "-" + toString(Group.Term);
  if (Leader.ApprovedProposals.contains(Id))
    return Decision;
  group_decision Result;
  Result.Proposal =
      operator_proposal{Id, Group.Group, Decision.Kind, Decision.Reason};
  Result.WaitingReason =
      "an operator must approve proposal " + Id + ": " + Decision.Reason;
  return Result;
}

//===----------------------------------------------------------------------===//
// First primary
//===----------------------------------------------------------------------===//

/// Returns the upstream with the highest position among those that are no
/// replicas. Returns null and sets Problem if there is none, if several have
/// the same position, or if a replica has replayed a higher term.
const upstream_observation *
findFirstPrimary(const std::map<upstream_id, upstream_observation> &Probes,
                 std::string &Problem) {
  const upstream_observation *Best = nullptr;
  bool Tied = false;
  term HighestTerm;
  for (const auto &[Name, Probe] : Probes) {
    HighestTerm = std::max(HighestTerm, Probe.Replayed.Term);
    if (Probe.IsReplica)
      continue;
    Tied = Best && Best->Replayed == Probe.Replayed;
    if (!Best || Best->Replayed < Probe.Replayed)
      Best = &Probe;
  }
  if (!Best)
    Problem = "no upstream reports that it is a primary";
  else if (Tied)
    Problem = "several primaries at the same position";
  else if (Best->Replayed.Term < HighestTerm)
    Problem = "a replica has replayed a higher term than any primary";
  return Problem.empty() ? Best : nullptr;
}

group_decision decideFirstPrimary(const group_state &Group,
                                  const leader_state &Leader,
                                  const decision_settings &Settings,
                                  time_point Now) {
  if (Group.Upstreams.empty())
    return waitingFor("no upstream has been announced");
  if (Group.Gateways.empty())
    return waitingFor("no gateway is assigned");
  auto Probes = latestProbes(Group, Leader, Settings, Now);
  for (const auto &[Name, Upstream] : Group.Upstreams)
    if (!Probes.contains(Name))
      return waitingFor("no gateway has reached upstream " + Name.Value);
  std::string Problem;
  const auto *First = findFirstPrimary(Probes, Problem);
  if (!First)
    return waitingFor(Problem + ": " + positionsText(Probes));
  group_state Next = Group;
  Next.MinAckReplicas = Group.Row.AckReplicas;
  Next.Watermark = std::max(Group.Watermark, First->Replayed);
  std::string Reason = "first primary: " + positionsText(Probes);
  if (First->Replayed.Term > term() && First->Replayed.Term >= Group.Term) {
    Next.Term = First->Replayed.Term;
    Next.Primary = First->Upstream;
    // The primary may have acknowledged writes beyond this probe; a later probe
    // bounds them.
    Next.Dirty = true;
    Next.DirtySince = revision(CommandRevision);
    return requireApproval(Group, Leader, changeTo(Next, "adopt", Reason));
  }
  Next.Promotion = promotion_state();
  Next.Promotion->Phase = promotion_phase::Ordering;
  Next.Promotion->Reason = Reason;
  Next.Promotion->FencedTerm = Group.Term;
  Next.Promotion->Chosen = First->Upstream;
  Next.Promotion->ChosenPosition = First->Replayed;
  Next.Term = term(std::max(Group.Term, First->Replayed.Term).Value + 1);
  return requireApproval(Group, Leader, changeTo(Next, "adopt", Reason));
}

//===----------------------------------------------------------------------===//
// Failure detection
//===----------------------------------------------------------------------===//

/// Reports whether a replica that is not leaving has replayed the current term
/// and so can take over from a primary that is leaving.
bool hasSuccessor(const group_state &Group, const leader_state &Leader,
                  const decision_settings &Settings, time_point Now) {
  for (const auto &[Name, Probe] : latestProbes(Group, Leader, Settings, Now)) {
    auto Known = Group.Upstreams.find(Name);
    if (Known != Group.Upstreams.end() && !Known->second.Leaving &&
        Name != Group.Primary && Probe.IsReplica &&
        Probe.Replayed.Term == Group.Term)
      return true;
  }
  return false;
}

group_decision decideFailure(const group_state &Group,
                             const leader_state &Leader,
                             const decision_settings &Settings,
                             time_point Now) {
  auto Health = healthOf(Group, Leader, Settings, Now);
  if (hasFailed(Group, Health)) {
    std::string Reason =
        "primary " + Group.Primary->Value + " failed: " + Health.Summary;
    return requireApproval(
        Group, Leader,
        changeTo(beginFencing(Group, Reason), "failover", Reason));
  }
  auto Known = Group.Upstreams.find(*Group.Primary);
  if (Known != Group.Upstreams.end() && Known->second.Leaving &&
      hasSuccessor(Group, Leader, Settings, Now)) {
    std::string Reason = "primary " + Group.Primary->Value + " is leaving";
    return requireApproval(
        Group, Leader,
        changeTo(beginFencing(Group, Reason), "handover", Reason));
  }
  group_decision Decision;
  Decision.NudgeTargets = std::move(Health.NudgeTargets);
  if (!Health.Summary.empty())
    Decision.WaitingReason =
        "the primary has not failed for all gateways: " + Health.Summary;
  return Decision;
}

//===----------------------------------------------------------------------===//
// Fencing and the choice of a candidate
//===----------------------------------------------------------------------===//

/// Progress of the fence over all holders.
struct fence_progress {
  /// Lists the holders that have not replied and whose lease may still be
  /// valid; empty if there are none.
  std::string PendingHolders;
  /// A holder has not replied and its lease has ended.
  bool LeaseExpired = false;
  /// When the last lease of such a holder ended.
  time_point LastLeaseExpiry;
};

fence_progress fenceProgressOf(const group_state &Group,
                               const leader_state &Leader,
                               const decision_settings &Settings,
                               time_point Now) {
  fence_progress Progress;
  const auto *Orders = ordersOf(Group, Leader);
  for (const auto &Holder : Group.Holders) {
    gateway_incarnation Gateway(Holder.Vm, Holder.Incarnation);
    if (Holder.Fenced || (Orders && Orders->FenceReplies.contains(Gateway)))
      continue;
    time_point End = leaseEnd(Leader, Gateway, Settings);
    if (Settings.Rules.WaitForLeases && Now < End) {
      Progress.PendingHolders += Holder.Vm.Value + " (lease ends in " +
                                 millisecondsText(End - Now) + ") ";
      continue;
    }
    Progress.LeaseExpired = true;
    Progress.LastLeaseExpiry = std::max(Progress.LastLeaseExpiry, End);
  }
  return Progress;
}

/// Returns the latest probe of each reachable upstream. If a holder has not
/// replied, only replies to fences sent after its lease ended count.
std::map<upstream_id, upstream_observation>
countedProbes(const group_state &Group, const group_orders &Orders,
              const fence_progress &Progress, const promotion_rules &Rules) {
  std::map<upstream_id, upstream_observation> Result;
  std::map<upstream_id, time_point> Times;
  for (const auto &[Gateway, Answer] : Orders.FenceReplies) {
    if (Progress.LeaseExpired && Rules.RequireFreshPositions &&
        Answer.FenceSentAt < Progress.LastLeaseExpiry)
      continue;
    for (const auto &[Name, Probe] : Answer.Upstreams) {
      if (!Probe.Reachable || !Group.Upstreams.contains(Name))
        continue;
      if (Times.contains(Name) && Answer.FenceSentAt < Times[Name])
        continue;
      Times[Name] = Answer.FenceSentAt;
      Result[Name] = Probe;
    }
  }
  return Result;
}

bool isAssigned(const group_state &Group, const share_holder &Holder) {
  const auto *Share = findShare(Group, Holder.Vm);
  return Share && Share->Incarnation == Holder.Incarnation;
}

/// Returns the group's state in which the chosen upstream is ordered to become
/// primary.
group_state beginOrdering(const candidate_search &Search,
                          const upstream_observation &Chosen,
                          const fence_progress &Progress,
                          const group_orders &Orders) {
  group_state Next = Search.Group;
  auto &Promotion = *Next.Promotion;
  Promotion.Phase = promotion_phase::Ordering;
  Promotion.Chosen = Chosen.Upstream;
  Promotion.ChosenPosition = Chosen.Replayed;
  term Highest = Next.Term;
  for (const auto &[Name, Probe] : Search.Probes)
    Highest = std::max(Highest, Probe.Replayed.Term);
  Next.Term = term(Highest.Value + 1);
  Next.Watermark = Search.Watermark;
  if (Search.NeedsQuorum && Search.Rules.RaiseWatermark)
    Next.Watermark = std::max(Next.Watermark, Chosen.Replayed);
  Next.Dirty = false;
  // A holder that has not replied but is still assigned may become reachable
  // again, so it stays a holder.
  if (Progress.LeaseExpired)
    std::erase_if(Next.Holders, [&](const share_holder &Holder) {
      gateway_incarnation Gateway(Holder.Vm, Holder.Incarnation);
      return !Holder.Fenced && !Orders.FenceReplies.contains(Gateway) &&
             !isAssigned(Next, Holder);
    });
  for (auto &Holder : Next.Holders)
    Holder.Fenced = true;
  return Next;
}

std::vector<gateway_incarnation> fenceTargets(const group_state &Group) {
  std::vector<gateway_incarnation> Targets;
  for (const auto &Share : Group.Gateways)
    Targets.emplace_back(Share.Vm, Share.Incarnation);
  for (const auto &Holder : Group.Holders) {
    gateway_incarnation Gateway(Holder.Vm, Holder.Incarnation);
    if (!Holder.Fenced &&
        std::find(Targets.begin(), Targets.end(), Gateway) == Targets.end())
      Targets.push_back(Gateway);
  }
  return Targets;
}

/// Returns the gateways to send a fence to now: those that were sent none yet,
/// those whose last fence is older than the order timeout, and those whose last
/// fence was sent before the last lease without a reply ended.
std::vector<gateway_incarnation> dueFences(const group_state &Group,
                                           const group_orders *Orders,
                                           const fence_progress &Progress,
                                           const decision_settings &Settings,
                                           time_point Now) {
  std::vector<gateway_incarnation> Due;
  for (const auto &Gateway : fenceTargets(Group)) {
    auto LastSent = Orders ? Orders->FenceSentAt.find(Gateway)
                           : decltype(Orders->FenceSentAt.find(Gateway))();
    bool NotSent = !Orders || LastSent == Orders->FenceSentAt.end();
    if (NotSent || Now - LastSent->second >= Settings.OrderTimeout ||
        (Progress.LeaseExpired && LastSent->second < Progress.LastLeaseExpiry))
      Due.push_back(Gateway);
  }
  return Due;
}

group_decision decideFencing(const group_state &Group,
                             const leader_state &Leader,
                             const decision_settings &Settings,
                             time_point Now) {
  auto Progress = fenceProgressOf(Group, Leader, Settings, Now);
  const auto *Orders = ordersOf(Group, Leader);
  group_decision Decision;
  Decision.FenceTargets = dueFences(Group, Orders, Progress, Settings, Now);
  if (!Progress.PendingHolders.empty()) {
    Decision.WaitingReason =
        "waiting for replies to the fence: " + Progress.PendingHolders;
    return Decision;
  }
  if (!Orders || Orders->FenceReplies.empty()) {
    Decision.WaitingReason = "no gateway has answered with positions";
    return Decision;
  }
  candidate_search Search{
      Group, Settings.Rules,
      countedProbes(Group, *Orders, Progress, Settings.Rules),
      highestAcknowledged(Group, Leader)};
  bool Dirty = Group.Dirty && Settings.Rules.CheckDirty;
  Search.NeedsQuorum =
      Settings.Rules.RequireQuorum && (Progress.LeaseExpired || Dirty);
  std::string Problem;
  const auto *Chosen = chooseCandidate(Search, *Orders, Settings, Now, Problem);
  if (!Chosen) {
    Decision.WaitingReason =
        Problem + " (reported " + positionsText(Search.Probes) + ")";
    return Decision;
  }
  std::string Reason = Group.Promotion->Reason + " -> " +
                       Chosen->Upstream.Value + "; acknowledged up to " +
                       toString(Search.Watermark) + "; reported " +
                       positionsText(Search.Probes);
  return changeTo(beginOrdering(Search, *Chosen, Progress, *Orders), "promote",
                  Reason);
}

//===----------------------------------------------------------------------===//
// The order
//===----------------------------------------------------------------------===//

group_decision finishPromotion(const group_state &Group) {
  group_state Next = Group;
  Next.Primary = Group.Promotion->Chosen;
  Next.Promotion.reset();
  Next.MinAckReplicas = Group.Row.AckReplicas;
  for (auto &Holder : Next.Holders)
    Holder.Fenced = !isAssigned(Next, Holder);
  return changeTo(Next, "promoted",
                  Next.Primary->Value + " is primary of term " +
                      toString(Next.Term));
}

std::optional<gateway_incarnation>
nextPromoter(const group_state &Group, const leader_state &Leader,
             const decision_settings &Settings, std::uint32_t Attempt,
             time_point Now) {
  std::vector<gateway_incarnation> Alive;
  for (const auto &Share : Group.Gateways)
    if (hasRenewedWithin(Leader, Share.Vm, Settings.AliveTimeout, Now))
      Alive.emplace_back(Share.Vm, Share.Incarnation);
  if (Alive.empty())
    return std::nullopt;
  return Alive[Attempt % Alive.size()];
}

group_decision abandonCandidate(const group_state &Group) {
  group_state Next = Group;
  auto &Promotion = *Next.Promotion;
  std::string Reason = Promotion.Chosen->Value +
                       " did not become primary of "
                       "term " +
                       toString(Group.Term);
  Promotion.Phase = promotion_phase::Fencing;
  Promotion.Reason += "; " + Reason;
  Promotion.Chosen.reset();
  return changeTo(Next, "promotion_failed", Reason);
}

group_decision decideOrdering(const group_state &Group,
                              const leader_state &Leader,
                              const decision_settings &Settings,
                              time_point Now) {
  const auto *Orders = ordersOf(Group, Leader);
  bool Failed = Orders && Orders->LastReply && !Orders->LastReply->done;
  if (Orders && Orders->LastReply && Orders->LastReply->done)
    return finishPromotion(Group);
  std::uint32_t Sent = Orders ? Orders->OrdersSent : 0;
  duration RetryInterval = Failed ? FailedOrderDelay : Settings.OrderTimeout;
  std::string Problem = Failed ? ": " + Orders->LastReply->problem : "";
  if (Sent > 0 && Now - Orders->LastOrderSentAt < RetryInterval)
    return waitingFor("waiting for " + Group.Promotion->Chosen->Value +
                      " to be promoted" + Problem);
  if (Sent >= Settings.MaxOrders)
    return abandonCandidate(Group);
  group_decision Decision;
  Decision.Promoter = nextPromoter(Group, Leader, Settings, Sent, Now);
  Decision.WaitingReason =
      Decision.Promoter
          ? "ordering the promotion of " + Group.Promotion->Chosen->Value +
                Problem
          : "no gateway is alive to promote " + Group.Promotion->Chosen->Value;
  return Decision;
}

} // namespace

position highestAcknowledged(const group_state &Group,
                             const leader_state &Leader) {
  position Highest = Group.Watermark;
  const auto *Orders = ordersOf(Group, Leader);
  if (Orders)
    for (const auto &[Gateway, Answer] : Orders->FenceReplies)
      Highest = std::max(Highest, Answer.Acknowledged);
  for (const auto &[Name, Vm] : Leader.Vms) {
    auto Report = Vm.Groups.find(Group.Group);
    if (Report != Vm.Groups.end())
      Highest = std::max(Highest, Report->second.Acknowledged);
  }
  return Highest;
}

group_decision decidePromotion(const group_state &Group,
                               const leader_state &Leader,
                               const decision_settings &Settings,
                               time_point Now) {
  if (Group.Removed)
    return {};
  if (!Group.Promotion)
    return Group.Primary ? decideFailure(Group, Leader, Settings, Now)
                         : decideFirstPrimary(Group, Leader, Settings, Now);
  if (Group.Promotion->Phase == promotion_phase::Fencing)
    return decideFencing(Group, Leader, Settings, Now);
  return decideOrdering(Group, Leader, Settings, Now);
}

group_decision decideDirtyClearing(const group_state &Group,
                                   const leader_state &Leader,
                                   const decision_settings &) {
  if (!Group.Dirty || !Group.Primary)
    return {};
  auto Orders = Leader.Orders.find(Group.Group);
  if (Orders == Leader.Orders.end() ||
      Orders->second.DirtySince != Group.DirtySince)
    return {};
  for (const auto &Share : Group.Gateways) {
    const auto *Report = reportOf(Group, Leader, Share);
    const auto *Probe = probeOf(Report, *Group.Primary);
    auto DirtyApplied = Orders->second.DirtyAppliedAtUs.find(
        gateway_incarnation(Share.Vm, Share.Incarnation));
    if (!Probe || DirtyApplied == Orders->second.DirtyAppliedAtUs.end())
      continue;
    std::int64_t ProbedAtUs =
        Report->SentAtUs - (Probe->Age + AgeResolution).count();
    if (!Probe->Reachable || Probe->IsReplica ||
        ProbedAtUs <= DirtyApplied->second ||
        Probe->Replayed.Term != Group.Term)
      continue;
    group_state Next = Group;
    Next.Dirty = false;
    Next.Watermark =
        std::max(highestAcknowledged(Group, Leader), Probe->Replayed);
    return changeTo(Next, "watermark",
                    "watermark raised to the primary's position " +
                        toString(Probe->Replayed));
  }
  return {};
}

group_state beginManualPromotion(const group_state &Group,
                                 const upstream_id &Upstream, bool Force) {
  if (!Group.Upstreams.contains(Upstream))
    throw error("control.promote", Group.Group.Value,
                "upstream " + Upstream.Value + " has not been announced");
  if (Group.Primary == Upstream)
    throw error("control.promote", Group.Group.Value,
                Upstream.Value + " is already the primary");
  std::string Reason = "requested by an operator";
  group_state Next = Group.Promotion ? Group : beginFencing(Group, Reason);
  Next.Promotion->Phase = promotion_phase::Fencing;
  Next.Promotion->Requested = Upstream;
  Next.Promotion->Forced = Force;
  Next.Promotion->Chosen.reset();
  return Next;
}

} // namespace teasellock
