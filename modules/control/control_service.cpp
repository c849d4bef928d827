#include "modules/control/control_service_state.h"

#include "core/event_log.h"
#include "modules/control/assignment.h"
#include "modules/control/leases.h"
#include "modules/control/limiter_assignment.h"
#include "modules/control/operator_json.h"
#include "modules/control/pause_progress.h"
#include "modules/control/promotion.h"
#include "modules/control/promotion_orders.h"
#include "modules/control/renewal_reply.h"
#include "modules/control/table_edit.h"
#include "modules/link/codec.h"

namespace teasellock {

namespace {

/// Interval of the steps that become due by time alone; messages trigger all
/// others.
const duration TickInterval = fromMilliseconds(25);
/// An announcement that is not committed yet is proposed again only after this.
const duration AnnouncementTimeout = fromMilliseconds(1000);
/// A reply with more views is not repeated while it is on its way. So many
/// views have about 6 KB, which a link of 2 Mbit/s delivers in 25 ms.
constexpr std::size_t MaxRepeatedViews = 16;

/// Upstreams keep their interval only roughly, and an announcement takes a
/// while to reach the leader.
const duration AnnouncementMargin = fromMilliseconds(300);

decision_settings decisionSettings(const control_settings &Settings) {
  decision_settings Result;
  Result.LeaseTime = Settings.LeaseTime;
  Result.LeaseMargin = Settings.LeaseMargin;
  Result.OrderTimeout = Settings.OrderTimeout;
  Result.VmTimeout = Settings.VmTimeout;
  Result.RegistrationPause = Settings.RegistrationPause;
  Result.AnnouncementInterval =
      Settings.AnnouncementInterval + AnnouncementMargin;
  Result.Method = Settings.Method;
  return Result;
}

} // namespace

control_service::state::state(daemon_context &Context, link_hub &Hub,
                              control_settings Settings,
                              consensus_settings ConsensusSettings)
    : Context(Context), Hub(Hub), Settings(decisionSettings(Settings)),
      OrderPromotion(Settings.OrderPromotion),
      TargetVoters(Settings.TargetVoters),
      InitialisesGroup(Settings.InitialisesGroup),
      OnStoreFailed(Settings.OnStoreFailed),
      ConfirmationValidity(ConsensusSettings.ElectionTimeout / 2),
      Promotions(
          Context.Metrics.counterOf("teasellock_control_promotions_total")),
      Renewals(Context.Metrics.counterOf("teasellock_control_renewals_total")),
      OutdatedAnnouncements(Context.Metrics.counterOf(
          "teasellock_control_outdated_announcements_total")),
      GroupsWithoutCandidate(Context.Metrics.gaugeOf(
          "teasellock_control_groups_without_candidate")),
      DeploymentCopies(Context.Metrics.counterOf(
          "teasellock_control_deployment_copies_total")),
      DeploymentBytes(Context.Metrics.counterOf(
          "teasellock_control_deployment_bytes_total")),
      LinkBytes(Context.Metrics.counterOf("teasellock_link_bytes_total",
                                          {{"direction", "out"}})),
      Consensus(Context, Hub, std::move(ConsensusSettings), hooks()) {}

state_machine_hooks control_service::state::hooks() {
  state_machine_hooks Hooks;
  Hooks.Apply = [this](revision Index, const std::string &Command) {
    apply(Index, Command);
  };
  Hooks.Snapshot = [this] { return encodeSnapshot(Replicated); };
  Hooks.Restore = [this](revision, const std::string &Snapshot) {
    Replicated = decodeSnapshot(Snapshot);
    recordDeploymentVersion();
  };
  Hooks.LeadershipChanged = [this](bool IsLeading) {
    leadershipChanged(IsLeading);
  };
  Hooks.LogFailed = OnStoreFailed;
  return Hooks;
}

void control_service::state::apply(revision Index, const std::string &Command) {
  try {
    applyCommand(Replicated, Index,
                 decode<wire::control_command>(Command, "log"));
  } catch (const std::exception &Problem) {
    // Every member rejects the entry in the same way, so it changes nothing.
    Replicated.AppliedRevision = Index;
    event("control.bad_command", severity::Error)
        .with("index", Index.Value)
        .with("problem", Problem.what());
  }
  recordDeploymentVersion();
  if (!Leading)
    return;
  for (const auto &[Name, Group] : Replicated.Groups)
    if (Group.Revision == Index)
      scheduleDecision(Name);
  if (Replicated.Limiters.Revision == Index)
    nudgeForLimiters();
  scheduleUpdate();
}

void control_service::state::leadershipChanged(bool IsLeading) {
  Leading = IsLeading;
  ++LeadershipEpoch;
  // When announcements were received does not depend on the leadership.
  auto Announced = std::move(Leader.LastAnnouncements);
  Leader = leader_state();
  Leader.LastAnnouncements = std::move(Announced);
  Leader.LeadingSince = now();
  Committing.clear();
  CommittingLimiters = false;
  UnregisteredRenewals.clear();
  Registering.clear();
  Announcing.clear();
  PendingFences.clear();
  ControlStores.clear();
  GroupsWithoutCandidate.set(0);
  Queue = decision_queue();
  event("control.leadership").with("leading", IsLeading);
  if (IsLeading)
    scheduleAllDecisions();
}

void control_service::state::propose(
    const wire::control_command &Command,
    std::function<void(proposal_outcome)> Done) {
  Consensus.propose(
      encode(Command), [this, Epoch = LeadershipEpoch, Done = std::move(Done)](
                           proposal_outcome Outcome, revision) {
        if (Epoch != LeadershipEpoch && Outcome == proposal_outcome::Committed)
          Outcome = proposal_outcome::Unknown;
        Done(Outcome);
      });
}

void control_service::state::onRenewal(link_id Link, link_message &&Message) {
  auto Renewal = decode<wire::renewal>(Message.Body, "renewal");
  Renewals.add();
  if (!Leading || !Consensus.isLeader()) {
    if (Consensus.leaderAddress())
      refuseRenewal(Link, Message, Renewal);
    else
      holdRenewal(HeldRenewals, vm_id(Renewal.vm), Link, std::move(Message),
                  now());
    return;
  }
  if (now() - Consensus.leaderConfirmedAt() < ConfirmationValidity) {
    handleRenewal(Link, std::move(Message), Renewal);
    return;
  }
  // No lease is granted before a quorum has confirmed this leader.
  Consensus.confirmLeadership(
      [this, Link, Renewal, Message = std::move(Message)](bool Leads) mutable {
        if (Leads && Leading)
          handleRenewal(Link, std::move(Message), Renewal);
        else
          refuseRenewal(Link, Message, Renewal);
      });
}

void control_service::state::handleRenewal(link_id Link, link_message &&Message,
                                           const wire::renewal &Renewal) {
  auto Record = changedRecord(Replicated, Renewal);
  auto Verdict = processRenewal(Replicated, Leader, Renewal, Settings, now());
  if (Verdict == renewal_verdict::Refused) {
    event("control.renewal_refused", severity::Warning)
        .with("vm", Renewal.vm)
        .with("incarnation", Renewal.incarnation);
    refuseRenewal(Link, Message, Renewal);
    return;
  }
  Links[vm_id(Renewal.vm)] = Link;
  if (Verdict == renewal_verdict::Unregistered) {
    registerVm(Link, std::move(Message), Renewal, *Record);
    return;
  }
  if (Record)
    updateVmRecord(Renewal);
  recordControlStore(Renewal);
  handleAnnouncements(Renewal);
  bool Leased = Verdict == renewal_verdict::Granted;
  if (!Leased)
    event("control.lease_withheld", severity::Warning)
        .with("vm", Renewal.vm)
        .with("reason", "it still serves a group that it has lost");
  grantRenewal(Link, Message, Renewal, Leased);
  // A former holder may have released its slots.
  if (holdsLimiterSlot(Replicated.Limiters, vm_id(Renewal.vm)))
    updateLimiters();
  for (const auto &Report : Renewal.groups)
    scheduleDecision(group_id(Report.group));
}

void control_service::state::registerVm(link_id Link, link_message &&Message,
                                        const wire::renewal &Renewal,
                                        const vm_record &Record) {
  vm_id Vm = Record.Vm;
  UnregisteredRenewals[Vm] = {Link, std::move(Message)};
  gateway_incarnation Gateway(Vm, Record.Incarnation);
  if (!Registering.insert(Gateway).second)
    return;
  event("control.vm_registered")
      .with("vm", Renewal.vm)
      .with("incarnation", Renewal.incarnation);
  propose(makeVmCommand(Record), [this, Gateway](proposal_outcome Outcome) {
    Registering.erase(Gateway);
    auto Waiting = UnregisteredRenewals.extract(Gateway.first);
    if (Outcome != proposal_outcome::Committed || Waiting.empty())
      return;
    onRenewal(Waiting.mapped().first, std::move(Waiting.mapped().second));
  });
}

void control_service::state::answerHeldRenewals() {
  if (HeldRenewals.empty())
    return;
  bool Known = Consensus.leaderAddress().has_value();
  for (auto &Renewal : popAnswerable(HeldRenewals, Known, now())) {
    if (Known)
      onRenewal(Renewal.Link, std::move(Renewal.Message));
    else
      refuseRenewal(Renewal.Link, Renewal.Message,
                    decode<wire::renewal>(Renewal.Message.Body, "renewal"));
  }
}

void control_service::state::refuseRenewal(link_id Link,
                                           const link_message &Message,
                                           const wire::renewal &Renewal) {
  wire::renewal_reply Reply;
  Reply.granted = false;
  Reply.sent_at_us = Renewal.sent_at_us;
  auto Known = Consensus.leaderAddress();
  if (Known && !Consensus.isLeader())
    Reply.leader_address = toString(*Known);
  Hub.send(Link, {message_kind(RenewalReplyKind), Message.Request,
                  encode(Reply), ""});
}

wire::renewal_reply
control_service::state::buildViewReply(link_id Link,
                                       const wire::renewal &Renewal) {
  applied_views Applied{
      revision(static_cast<std::uint64_t>(Renewal.applied_revision)),
      cursorOf(Renewal)};
  bool IsPartial = Applied.After != change_cursor();
  revision Base = IsPartial ? Applied.Applied
                            : expectedRevision(Pushes, vm_id(Renewal.vm), Link,
                                               Applied.Applied, now());
  applied_report<applied_views> Report{vm_id(Renewal.vm), Link, Applied};
  if (isOnItsWay(ViewTransfers, Report, now())) {
    wire::renewal_reply Reply;
    Reply.revision = Renewal.applied_revision;
    Reply.views_pending = true;
    return Reply;
  }
  auto Reply = changesSince(Replicated, Base, Applied.After);
  Reply.base_revision = static_cast<std::int64_t>(Base.Value);
  if (Renewal.accepts_pending_views && Reply.groups.size() > MaxRepeatedViews)
    recordTransfer(ViewTransfers, Report, now());
  else
    ViewTransfers.erase(Report.Vm);
  return Reply;
}

void control_service::state::grantRenewal(link_id Link,
                                          const link_message &Message,
                                          const wire::renewal &Renewal,
                                          bool Leased) {
  wire::renewal_reply Reply = buildViewReply(Link, Renewal);
  Reply.granted = true;
  Reply.sent_at_us = Renewal.sent_at_us;
  // A lease is granted only together with all views that it applies to.
  Reply.lease_ms = Reply.more || Reply.views_pending || !Leased
                       ? 0
                       : toMilliseconds(Settings.LeaseTime);
  addDeployment(Reply, Link, Renewal);
  grantLimiterLease(Replicated, Leader, Renewal, Settings, now(), Reply);
  for (const auto &Member : Consensus.members())
    Reply.control.push_back(toString(Member.Address));
  Reply.released =
      Renewal.draining && isReleased(Replicated, vm_id(Renewal.vm));
  Hub.send(Link, {message_kind(RenewalReplyKind), Message.Request,
                  encode(Reply), ""});
}

void control_service::state::updateVmRecord(const wire::renewal &Renewal) {
  auto Record = changedRecord(Replicated, Renewal);
  gateway_incarnation Gateway(Record->Vm, Record->Incarnation);
  if (!Registering.insert(Gateway).second)
    return;
  propose(makeVmCommand(*Record),
          [this, Gateway](proposal_outcome) { Registering.erase(Gateway); });
}

void control_service::state::handleAnnouncements(const wire::renewal &Renewal) {
  for (const auto &Wire : Renewal.announcements) {
    try {
      auto Announcement = fromWire(Wire);
      auto Group = Replicated.Groups.find(Announcement.Group);
      if (Group != Replicated.Groups.end()) {
        auto Known = Group->second.Upstreams.find(Announcement.Upstream);
        if (Known != Group->second.Upstreams.end() &&
            Known->second == Announcement)
          continue;
      }
      auto Key = std::pair(Announcement.Group, Announcement.Upstream);
      auto Pending = Announcing.find(Key);
      if (Pending != Announcing.end() &&
          now() - Pending->second < AnnouncementTimeout)
        continue;
      Announcing[Key] = now();
      event("control.announced")
          .with("group", Wire.group)
          .with("upstream", Wire.upstream)
          .with("address", Wire.address)
          .with("leaving", Wire.leaving);
      propose(makeAnnouncementCommand(Announcement),
              [this, Key](proposal_outcome) { Announcing.erase(Key); });
    } catch (const error &Problem) {
      event("control.bad_announcement", severity::Warning)
          .with("vm", Renewal.vm)
          .with("problem", Problem.what());
    }
  }
}

void control_service::state::onFenceReply(link_id, link_message &&Message) {
  auto Sent = PendingFences.extract(Message.Request);
  auto Reply = decode<wire::fence_reply>(Message.Body, "fence_reply");
  if (!Leading || Sent.empty() || Sent.mapped().Group.Value != Reply.group)
    return;
  auto Group = Replicated.Groups.find(Sent.mapped().Group);
  if (Group == Replicated.Groups.end())
    return;
  if (Settings.Method == promotion_method::Pause)
    recordPauseReply(Group->second, Leader, Reply, Sent.mapped().FenceSentAt,
                     now());
  else
    recordFenceReply(Group->second, Leader, Sent.mapped().Gateway, Reply,
                     Sent.mapped().FenceSentAt);
  event("control.fence_answered")
      .with("group", Reply.group)
      .with("term", Reply.term)
      .with("vm", Sent.mapped().Gateway.first.Value)
      .with("acknowledged", toString(fromWire(Reply.acknowledged)));
  scheduleDecision(Group->first);
}

void control_service::state::onPromoteReply(link_id, link_message &&Message) {
  auto Reply = decode<wire::promote_reply>(Message.Body, "promote_reply");
  auto Group = Replicated.Groups.find(group_id(Reply.group));
  if (!Leading || Group == Replicated.Groups.end())
    return;
  recordPromoteReply(Group->second, Leader, Reply);
  event("control.order_answered")
      .with("group", Reply.group)
      .with("upstream", Reply.upstream)
      .with("term", Reply.term)
      .with("done", Reply.done)
      .with("problem", Reply.problem);
  scheduleDecision(Group->first);
}

void control_service::state::start() {
  auto Receive = [this](std::int16_t Kind, auto Handler) {
    Hub.registerReceiver(message_kind(Kind), message_kind(Kind),
                         [this, Handler](link_id Link, link_message &&Message) {
                           (this->*Handler)(Link, std::move(Message));
                         });
  };
  Receive(RenewalKind, &state::onRenewal);
  Receive(FenceReplyKind, &state::onFenceReply);
  Receive(PromoteReplyKind, &state::onPromoteReply);
  Receive(OperatorRequestKind, &state::onOperatorRequest);
  TickTimer = Context.Timers.every(TickInterval, [this] { tick(); });
  Consensus.start();
  foundGroup();
}

control_service::control_service(daemon_context &Context, link_hub &Hub,
                                 control_settings Settings,
                                 consensus_settings ConsensusSettings)
    : State(std::make_unique<state>(Context, Hub, Settings,
                                    std::move(ConsensusSettings))) {}

control_service::~control_service() = default;

void control_service::start() { State->start(); }

void control_service::handleOperator(const std::string &Method,
                                     const std::string &Path,
                                     const std::string &Body,
                                     answer_callback Answer) {
  State->handle(Method, Path, Body, Answer);
}

bool control_service::isLeader() const { return State->Leading; }

void control_service::recordAnnouncement(
    const upstream_announcement &Announcement) {
  auto &Last =
      State->Leader
          .LastAnnouncements[{Announcement.Group, Announcement.Upstream}];
  // One that arrives late says nothing about the present process.
  if (Announcement.Incarnation >= Last.Incarnation)
    Last = {Announcement.Incarnation, State->now()};
}

store_id control_service::store() const { return State->Consensus.storeId(); }

} // namespace teasellock
