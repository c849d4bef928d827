/// What the control leader knows beyond the replicated state: leases it has
/// granted, what VMs last reported, and orders under way. A new leader starts
/// with none of it.
#pragma once

#include "modules/control/control_state.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace teasellock {

/// One run of a gateway's process.
using gateway_run = std::pair<vm_id, incarnation>;

/// A gateway's probe of an upstream.
struct upstream_observation {
  upstream_id Upstream;
  bool Reachable = false;
  bool Replica = false;
  position Replayed;
  /// How old the probe was when it was sent.
  duration Age{};
  duration Unreachable{};
  bool Refused = false;
  std::string Problem;
  /// A replica that receives nothing; Received was read after it was paused.
  bool Paused = false;
  /// Highest position in its log, applied or not.
  position Received;
  /// Age of the connection that this was heard on.
  duration ConnectionAge{};
};

/// A VM's latest report on a group.
struct group_observation {
  time_point ReceivedAt;
  /// On the VM's own clock.
  std::int64_t SentAtUs = 0;
  term Term;
  position Acknowledged;
  std::uint64_t BudgetEpoch = 0;
  std::map<upstream_id, upstream_observation> Upstreams;
  /// Reports in a row that called the primary refused.
  std::uint32_t RefusedInRow = 0;
};

/// What the leader remembers of a VM.
struct vm_observation {
  incarnation Incarnation;
  time_point HeardAt;
  revision Applied;
  std::int64_t SentAtUs = 0;
  std::map<group_id, group_observation> Groups;
};

/// A gateway's answer to a fence.
struct fence_answer {
  /// When the fence it answers was sent.
  time_point AskedAt;
  position Acknowledged;
  std::map<upstream_id, upstream_observation> Upstreams;
};

/// Orders under way for one group.
struct group_orders {
  /// The term that the answers are for.
  term Term;
  time_point FencingSince;
  std::map<gateway_run, time_point> AskedAt;
  std::map<gateway_run, fence_answer> Answers;
  time_point OrderedAt;
  std::uint32_t OrdersSent = 0;
  /// The last answer to an order for this term.
  std::optional<wire::promote_reply> Reply;
  /// When the leader first saw the group's present dirty revision applied by
  /// each VM, on the VM's own clock.
  revision DirtySince;
  std::map<gateway_run, std::int64_t> DirtySeenAtUs;
  /// Why nothing is promoted, for operators.
  std::string Waiting;
};

/// A replica's answer to the order to receive nothing more.
struct pause_answer {
  incarnation Incarnation;
  position Received;
  /// When the connection it came on was opened, at the latest.
  time_point ConnectedBy;
};

/// How the platform answered an order to promote.
enum class promotion_answer {
  /// Accepted: the upstream will lead, or leads already.
  Accepted,
  /// It will not be carried out: a later order is known, or the upstream does
  /// not run.
  Refused,
  /// It may or may not be carried out, now or later.
  Unknown,
};

/// A promotion by pausing, as far as this leader has driven it.
struct pause_orders {
  time_point Since;
  std::map<gateway_run, time_point> AskedAt;
  std::map<upstream_id, pause_answer> Paused;
  /// The attempt that this leader has decided on. Only that one is sent.
  std::uint32_t OwnAttempt = 0;
  std::uint32_t SentAttempt = 0;
  time_point SentAt;
  std::optional<promotion_answer> Answer;
};

/// When an upstream's announcement was last heard, and of which run.
struct heard_announcement {
  incarnation Incarnation;
  time_point At;
};

/// An order to the platform to promote an upstream.
struct promotion_order {
  group_id Group;
  upstream_id Upstream;
  /// Higher than that of every order before it.
  revision FencingToken;
};

/// An act that waits for an operator's word in hand mode.
struct proposal {
  /// Kind, group and term; the same act has the same id on every leader.
  std::string Id;
  group_id Group;
  std::string Kind;
  /// Why, with the positions seen.
  std::string Reason;

  bool operator==(const proposal &) const = default;
};

/// The leader's own knowledge.
struct leader_state {
  time_point LeadingSince;
  /// When each granted lease has certainly ended.
  std::map<gateway_run, time_point> LeaseEnds;
  std::map<vm_id, vm_observation> Vms;
  std::map<group_id, group_orders> Orders;
  std::map<group_id, pause_orders> Pauses;
  std::map<std::pair<group_id, upstream_id>, heard_announcement> Announced;
  std::map<std::string, proposal> Proposals;
  std::set<std::string> Approved;
  std::set<std::string> Rejected;
};

/// Which parts of the promotion rule are in force. Production code uses the
/// default; tests switch single parts off to show that each is needed.
struct promotion_rules {
  bool Watermark = true;
  bool Quorum = true;
  bool Lease = true;
  bool TermOrder = true;
  bool Dirty = true;
  bool Carry = true;
  /// With an unheard gateway, only positions probed after its lease ended.
  bool FreshPositions = true;
};

/// How a new primary is found and made.
enum class promotion_method {
  /// Gateways stop acknowledging or lose their lease; a gateway promotes.
  Fence,
  /// Replicas stop receiving; the platform promotes.
  Pause,
};

/// How long the leader's decisions wait.
struct decision_settings {
  duration LeaseTime = fromMilliseconds(2000);
  duration LeaseMargin = fromMilliseconds(200);
  duration OrderTimeout = fromMilliseconds(300);
  duration VmTimeout = fromMilliseconds(3000);
  /// A VM heard within this span counts as alive for failure detection.
  duration AliveTimeout = fromMilliseconds(900);
  /// How long replicas are preferred to a former primary that is back.
  duration FormerPrimaryDelay = fromMilliseconds(1000);
  /// Orders to promote sent before another candidate is sought.
  std::uint32_t MostOrders = 10;
  promotion_rules Rules;
  promotion_method Method = promotion_method::Fence;
  /// An order to the platform without a word is sent again after this: many
  /// times a round trip, and few orders a second.
  duration PlatformTimeout = fromMilliseconds(400);
  /// An accepted order is sent again if the upstream does not lead by then.
  duration PromotionTimeout = fromMilliseconds(3000);
  /// A stuck promotion is given up after this if the primary is back.
  duration StuckPromotion = fromMilliseconds(2000);
  /// An upstream that neither announces itself nor is reached by any gateway
  /// for so long is taken for lost: well beyond the longest partition after
  /// which a replica comes back.
  duration UpstreamLoss = fromMilliseconds(20000);
};

/// What to do for a group now.
struct group_decision {
  /// The group's next state, to be committed. Nothing: no change.
  std::optional<group_state> Next;
  /// What the change is called in the log and why it is made.
  std::string Kind;
  std::string Reason;
  /// Gateways to ask to stop acknowledging.
  std::vector<gateway_run> Fences;
  /// The term under which replicas are paused with Fences; zero for none.
  term PauseTerm;
  /// Gateways are to let paused replicas receive again.
  bool Resume = false;
  /// The order for the platform.
  std::optional<promotion_order> Order;
  /// The gateway to be told to promote Promotion.Chosen.
  std::optional<gateway_run> Promoter;
  /// VMs to be asked for a fresh report.
  std::vector<vm_id> Nudges;
  /// Why nothing is done, for operators.
  std::string Waiting;
  /// In hand mode, the act that would have been done.
  std::optional<proposal> Proposal;
};

} // namespace teasellock
