/// State that the control leader keeps in memory beyond the replicated state:
/// the leases it has granted, what VMs last reported, and the fences and orders
/// in progress. A new leader starts without it, except for the announcements
/// that it received before.
#pragma once

#include "modules/control/control_state.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace teasellock {

/// One incarnation of a gateway's process: the VM and its incarnation.
using gateway_incarnation = std::pair<vm_id, incarnation>;

/// A gateway's latest probe of an upstream, as the gateway reported it.
struct upstream_observation {
  upstream_id Upstream;
  bool Reachable = false;
  bool IsReplica = false;
  position Replayed;
  /// Age of the probe when the report was sent.
  duration Age{};
  /// Time since the upstream was last reachable; zero while it is reachable.
  duration UnreachableTime{};
  /// The upstream refused or reset connections, so it is known to be down
  /// rather than silent.
  bool Refused = false;
  /// Why the probe failed; empty if it succeeded.
  std::string Problem;
  /// Replication to this replica is paused; Received was read after that.
  bool Paused = false;
  /// Highest position in its log, replayed or not.
  position Received;
  /// Age of the connection that the probe used.
  duration ConnectionAge{};
};

/// A VM's latest report on a group.
struct group_observation {
  time_point ReceivedAt;
  /// In microseconds of the VM's own clock.
  std::int64_t SentAtUs = 0;
  term Term;
  /// Highest position that the gateway incarnation has acknowledged.
  position Acknowledged;
  std::uint64_t BudgetEpoch = 0;
  std::map<upstream_id, upstream_observation> Upstreams;
  /// Consecutive reports in which the primary refused connections.
  std::uint32_t ConsecutiveRefusals = 0;
};

/// The last renewal received from a VM.
struct vm_observation {
  incarnation Incarnation;
  time_point LastReceivedAt;
  revision AppliedRevision;
  deployment_version Deployment;
  /// Views may be sent to it without a renewal.
  bool AcceptsPushes = false;
  /// In microseconds of the VM's own clock.
  std::int64_t SentAtUs = 0;
  /// The revision of the assignment of limiters that it has applied; empty if
  /// it does not report one, so that no slot may be assigned to it.
  std::optional<revision> LimiterRevision;
  std::map<group_id, group_observation> Groups;
};

/// A gateway's latest reply to a fence.
struct received_fence_reply {
  /// When the fence that it replies to was sent.
  time_point FenceSentAt;
  position Acknowledged;
  std::map<upstream_id, upstream_observation> Upstreams;
};

/// Fences and promote orders in progress for one group.
struct group_orders {
  /// The term that the fences and replies belong to.
  term Term;
  time_point FencingSince;
  std::map<gateway_incarnation, time_point> FenceSentAt;
  std::map<gateway_incarnation, received_fence_reply> FenceReplies;
  time_point LastOrderSentAt;
  std::uint32_t OrdersSent = 0;
  /// Reply to the last promote order of this term; empty until it arrives.
  std::optional<wire::promote_reply> LastReply;
  /// For each gateway, when it sent the first renewal that reported the
  /// revision DirtySince as applied, in microseconds of the VM's own clock.
  revision DirtySince;
  std::map<gateway_incarnation, std::int64_t> DirtyAppliedAtUs;
  /// Why no promotion takes place, shown to operators.
  std::string WaitingReason;
  /// No upstream is known to have every acknowledged write.
  bool LacksCandidate = false;
};

/// A replica whose replication has been paused.
struct paused_replica {
  incarnation Incarnation;
  position Received;
  /// When the order that it answered was sent.
  time_point AskedAt;
  /// Latest time at which the connection that confirmed the pause can have been
  /// opened.
  time_point ConnectedBy;
};

/// The platform's answer to a promotion order.
enum class promotion_answer {
  /// The upstream will become primary, or is primary already.
  Accepted,
  /// The order will not be executed: a later order is known, or the upstream is
  /// not running.
  Refused,
  /// The order may or may not be executed, now or later.
  Unknown,
};

/// Progress of a promotion that pauses the replicas (promotion_method::Pause),
/// as this leader has driven it.
struct pause_progress {
  time_point StartedAt;
  /// When each gateway was last sent a fence that pauses the replicas.
  std::map<gateway_incarnation, time_point> FenceSentAt;
  std::map<upstream_id, paused_replica> PausedReplicas;
  /// No gateway that answered acknowledges a commit beyond this position before
  /// another upstream leads.
  position Acknowledged;
};

/// Progress of a group's last order to the platform, as this leader has driven
/// it.
struct order_progress {
  /// The last order that this leader itself has committed, by
  /// group_state::OrderNumber; it sends no order of earlier leaders.
  std::uint64_t DecidedNumber = 0;
  std::uint64_t SentNumber = 0;
  time_point SentAt;
  /// The platform's answer to the order SentNumber, and when it arrived.
  std::optional<promotion_answer> Answer;
  time_point AnsweredAt;
};

/// When an upstream's last announcement was received, and from which
/// incarnation.
struct received_announcement {
  incarnation Incarnation;
  time_point ReceivedAt;
};

/// An order to the platform to promote an upstream to primary.
struct promotion_order {
  group_id Group;
  upstream_id Upstream;
  /// Higher than that of every earlier order.
  revision FencingToken;
};

/// A change that needs an operator's approval because its group is in hand
/// mode.
struct operator_proposal {
  /// Derived from the change itself, such as kind, group and term, so that the
  /// same change has the same id on every leader.
  std::string Id;
  group_id Group;
  std::string Kind;
  /// Why the change is proposed, with the reported positions.
  std::string Reason;

  bool operator==(const operator_proposal &) const = default;
};

/// The leader's in-memory state.
struct leader_state {
  time_point LeadingSince;
  /// When a VM last sent its first renewal to this leader.
  time_point LastNewVmAt;
  /// When each granted lease has ended for certain: the lease time and the
  /// margin for clock drift after it was granted.
  std::map<gateway_incarnation, time_point> LeaseEnds;
  /// Likewise for limiter leases.
  std::map<gateway_incarnation, time_point> LimiterLeaseEnds;
  /// IP addresses of the hosts that run a control store.
  std::set<std::string> ControlHosts;
  std::map<vm_id, vm_observation> Vms;
  std::map<group_id, group_orders> Orders;
  std::map<group_id, pause_progress> PausePromotions;
  std::map<group_id, order_progress> PlatformOrders;
  std::map<std::pair<group_id, upstream_id>, received_announcement>
      LastAnnouncements;
  /// The first announcements of upstreams that were given up.
  std::map<std::pair<group_id, upstream_id>, received_announcement>
      ReturningUpstreams;
  /// Open proposals by id.
  std::map<std::string, operator_proposal> Proposals;
  /// Ids of the proposals that operators have approved or rejected.
  std::set<std::string> ApprovedProposals;
  std::set<std::string> RejectedProposals;
};

/// Which parts of the promotion rule are enabled. Production code uses the
/// default; tests disable single parts to show that each is needed.
struct promotion_rules {
  /// A candidate must have reached the watermark.
  bool CheckWatermark = true;
  /// If a gateway has not replied or the group is dirty, enough replicas must
  /// be reachable that one of them holds every acknowledged write.
  bool RequireQuorum = true;
  /// The lease of a gateway that does not reply must have ended.
  bool WaitForLeases = true;
  /// Positions are compared by term first, then by offset.
  bool CompareTerms = true;
  /// A dirty group needs a quorum of replicas.
  bool CheckDirty = true;
  /// A promotion that needed a quorum raises the watermark to the candidate's
  /// position.
  bool RaiseWatermark = true;
  /// If a gateway has not replied, only positions probed after its lease ended
  /// count.
  bool RequireFreshPositions = true;
};

/// Which parts of the rule for limiter slots are enabled. Production code uses
/// the default; tests disable single parts to show that each is needed.
struct limiter_rules {
  /// A former holder must have released its slot or its lease must have ended.
  bool AwaitRelease = true;
  /// An earlier leader may have granted leases until this one was elected.
  bool CountEarlierLeaders = true;
  /// A slot is taken from a silent holder before it is assigned again, because
  /// a renewal may be granted while the change is being committed.
  bool RemoveFirst = true;
  /// The margin for clocks that run at different speeds is added to a lease.
  bool AddMargin = true;
};

/// How a new primary is chosen and promoted.
enum class promotion_method {
  /// Gateways stop acknowledging or lose their lease; a gateway promotes the
  /// candidate.
  Fence,
  /// Replication to the replicas is paused; the platform promotes the
  /// candidate.
  Pause,
};

/// Timeouts and limits of the leader's decisions.
struct decision_settings {
  duration LeaseTime = fromMilliseconds(2000);
  /// Added to a lease before it counts as expired, for clocks that run at
  /// different speeds.
  duration LeaseMargin = fromMilliseconds(200);
  /// A fence or promote order without a reply is sent again after this.
  duration OrderTimeout = fromMilliseconds(300);
  /// A VM without a renewal for this long loses its gateway assignments.
  duration VmTimeout = fromMilliseconds(3000);
  /// The first gateways of a group are chosen once no new VM has appeared for
  /// this long.
  duration RegistrationPause{};
  /// A VM whose last renewal is no older than this counts as alive for failure
  /// detection.
  duration AliveTimeout = fromMilliseconds(900);
  /// How long replicas are preferred over a former primary that is reachable
  /// again.
  duration FormerPrimaryDelay = fromMilliseconds(1000);
  /// Promote orders sent before another candidate is chosen.
  std::uint32_t MaxOrders = 10;
  promotion_rules Rules;
  promotion_method Method = promotion_method::Fence;
  /// An order to the platform without an answer is sent again after this: many
  /// times a round trip, yet only a few orders per second.
  duration PlatformTimeout = fromMilliseconds(400);
  /// An accepted order is sent again if the upstream is not primary after this.
  duration PromotionTimeout = fromMilliseconds(3000);
  /// An accepted order has no effect any more after this: twice what a slow
  /// platform takes to promote an upstream (up to 1,000 ms).
  duration OrderEffectTimeout = fromMilliseconds(2000);
  /// A promotion without an order is abandoned after this if the former primary
  /// is reachable again.
  duration StuckPromotionTimeout = fromMilliseconds(2000);
  /// An upstream that neither announces itself nor is reached by any gateway
  /// for this long counts as lost: well beyond the longest partition after
  /// which a replica comes back.
  duration UpstreamLossTimeout = fromMilliseconds(20000);
  /// Maximum interval between two announcements of an upstream, also while no
  /// leader answers them.
  duration AnnouncementInterval = fromMilliseconds(1500);
  /// How long a limiter may act after its last granted renewal. Longer than
  /// control has no leader after it was split in two halves (8 s).
  duration LimiterLeaseTime = fromMilliseconds(10000);
  /// Added to a limiter lease before it counts as expired. A clock that runs 5%
  /// fast at the leader and one that runs 5% slow at the VM differ by 1,053 ms
  /// in 10 s.
  duration LimiterLeaseMargin = fromMilliseconds(1200);
  limiter_rules LimiterRules;
};

/// The actions that are due for a group.
struct group_decision {
  /// The group's next state, to be committed; empty if it does not change.
  std::optional<group_state> Next;
  /// The name of the change in the event log and the reason for it.
  std::string Kind;
  std::string Reason;
  /// Gateways that are sent a fence: a request to stop acknowledging.
  std::vector<gateway_incarnation> FenceTargets;
  /// The term under which these gateways pause the replicas; zero if they pause
  /// none.
  term PauseTerm;
  /// The primary that the gateways demote before that.
  std::optional<upstream_id> DemotionTarget;
  /// Gateways are asked to resume replication to paused replicas.
  bool ShouldResume = false;
  /// Next changes nothing that the replicas were paused for.
  bool KeepsAnswers = false;
  /// Next contains a new order, which is sent once it is committed.
  bool AddsOrder = false;
  /// The order to send to the platform.
  std::optional<promotion_order> Order;
  /// The gateway that is ordered to promote Promotion->Chosen.
  std::optional<gateway_incarnation> Promoter;
  /// VMs that are asked for a new report at once.
  std::vector<vm_id> NudgeTargets;
  /// The group waits for an upstream that is known to have every acknowledged
  /// write.
  bool LacksCandidate = false;
  /// Why no action is taken, shown to operators.
  std::string WaitingReason;
  /// In hand mode, the change that needs approval.
  std::optional<operator_proposal> Proposal;
};

} // namespace teasellock
