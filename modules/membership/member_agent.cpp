#include "modules/membership/member_agent.h"

#include "core/compression.h"
#include "core/event_log.h"
#include "modules/control/message_kinds.h"
#include "modules/link/codec.h"
#include "modules/membership/control_selection.h"
#include "modules/membership/gateway_orders.h"
#include "modules/membership/member_state.h"
#include "modules/membership/operator_forwarding.h"
#include "modules/membership/pending_announcements.h"
#include "modules/membership/renewal_schedule.h"

namespace teasellock {

namespace {

/// Minimum time between an early renewal and the one before it.
const duration MinRenewalInterval = fromMilliseconds(5);
/// Timeout of a forwarded operator request.
const duration ForwardTimeout = fromMilliseconds(10000);

} // namespace

struct member_agent::state {
  daemon_context &Context;
  link_hub &Hub;
  membership_settings Settings;
  member_state Member;
  gateway_orders Orders;
  std::vector<std::function<void(const group_view &)>> ViewListeners;
  std::vector<std::function<void()>> LimiterListeners;
  control_selection Control;
  renewal_schedule Renewals;
  /// Where the last renewal was sent.
  std::optional<endpoint> RenewalTarget;
  time_point LastRenewalAt;
  pending_announcements Announcements;
  forwarded_requests ForwardedRequests;
  bool Draining = false;
  /// Control has granted a renewal of this incarnation.
  bool IsRegistered = false;
  store_id ControlStore;
  std::function<void()> DrainCallback;
  timer_subscription RenewalTimer;
  timer_subscription EarlyRenewalTimer;
  timer_subscription TimeoutTimer;
  counter &UnansweredRenewals;
  counter &LateReplies;

  state(daemon_context &Context, link_hub &Hub, membership_settings Settings)
      : Context(Context), Hub(Hub), Settings(std::move(Settings)),
        Orders(Hub, Member),
        UnansweredRenewals(Context.Metrics.counterOf(
            "teasellock_membership_unanswered_renewals_total")),
        LateReplies(Context.Metrics.counterOf(
            "teasellock_membership_late_replies_total")) {
    Member.Self = Context.Self.Vm;
    Member.Incarnation = Context.Self.Incarnation;
    Member.InheritsShares = this->Settings.InheritsShares;
    Control.Configured = this->Settings.ControlEndpoints;
    Renewals.MinTimeout = this->Settings.RenewalTimeout;
    Renewals.Timeout = this->Settings.RenewalTimeout;
  }

  time_point now() const { return Context.Timers.now(); }

  void start();
  std::optional<endpoint> chooseControl();
  void renew();
  wire::renewal buildRenewal();
  void scheduleEarlyRenewal();
  void checkTimeouts();
  void finishDrain();
  void onRenewalReply(link_id Link, link_message &&Message);
  void applyGrantedReply(const wire::renewal_reply &Reply, time_point SentAt);
  /// Returns whether control waits for this VM's report.
  bool applyLimiterReply(const wire::renewal_reply &Reply, time_point SentAt);
  void handleLateReply(const wire::renewal_reply &Reply, std::size_t Bytes);
  void handleRedirect(const std::string &Address);
  void updateControlEndpoints(const wire::renewal_reply &Reply);
  void onViewPush(link_id Link, link_message &&Message);
  void notifyViewListeners(const std::vector<group_id> &Changed);
  void onOperatorReply(link_id Link, link_message &&Message);
  void forward(forwarded_request Request);
};

std::optional<endpoint> member_agent::state::chooseControl() {
  return teasellock::chooseControl(Control, [this](const endpoint &Address) {
    return Hub.isOpen(Hub.linkTo(Address));
  });
}

wire::renewal member_agent::state::buildRenewal() {
  wire::renewal Renewal = describeMember(Member, Context.Self);
  Renewal.draining = Draining;
  Renewal.control_store = static_cast<std::int64_t>(ControlStore.Value);
  Renewal.gateway = Settings.IsGateway;
  Renewal.groups = Orders.buildReports();
  removeVisible(Announcements, Member.Views, now());
  for (const auto &[Key, Pending] : Announcements)
    Renewal.announcements.push_back(toWire(Pending.Announcement));
  return Renewal;
}

void member_agent::state::renew() {
  if (!maySendRenewal(Renewals))
    return;
  RenewalTarget = chooseControl();
  if (!RenewalTarget) {
    LastRenewalAt = now();
    return;
  }
  // The lease and the age of reports count from before the renewal is built.
  time_point SentAt = now();
  auto Renewal = buildRenewal();
  Renewal.sent_at_us = SentAt.time_since_epoch().count();
  auto Request = Hub.nextRequest();
  LastRenewalAt = SentAt;
  if (Hub.send(Hub.linkTo(*RenewalTarget),
               {message_kind(RenewalKind), Request, encode(Renewal), "", true}))
    recordRenewal(Renewals, Request, SentAt);
}

void member_agent::state::scheduleEarlyRenewal() {
  if (EarlyRenewalTimer.isActive())
    return;
  duration Elapsed = now() - LastRenewalAt;
  duration Wait = Elapsed >= MinRenewalInterval ? duration::zero()
                                                : MinRenewalInterval - Elapsed;
  EarlyRenewalTimer = Context.Timers.after(Wait, [this] { renew(); });
}

void member_agent::state::checkTimeouts() {
  expireRequests(ForwardedRequests, now());
  std::size_t Expired = expireRenewals(Renewals, now());
  // Control assigns groups and limiter slots only in granted replies. Without
  // one there is nothing to release, and control may be unreachable.
  if (!IsRegistered && Renewals.InFlight.empty())
    finishDrain();
  if (Expired == 0)
    return;
  UnansweredRenewals.add(Expired);
  recordNoReply(Control, RenewalTarget);
  renew();
}

void member_agent::state::finishDrain() {
  if (!DrainCallback)
    return;
  auto Callback = std::move(DrainCallback);
  DrainCallback = nullptr;
  Callback();
}

void member_agent::state::onRenewalReply(link_id, link_message &&Message) {
  auto Reply = decode<wire::renewal_reply>(Message.Body, "control");
  auto SentAt = recordRenewalReply(Renewals, Message.Request);
  if (!SentAt) {
    handleLateReply(Reply, Message.Body.size());
    return;
  }
  recordReply(Control, RenewalTarget);
  if (Reply.granted)
    applyGrantedReply(Reply, *SentAt);
  else
    handleRedirect(Reply.leader_address);
  if (takePostponed(Renewals))
    scheduleEarlyRenewal();
}

/// Handles a reply that came after its timeout. Its content is as valid as that
/// of any other reply: on a slow link, or with a large deployment, all replies
/// may be late.
void member_agent::state::handleLateReply(const wire::renewal_reply &Reply,
                                          std::size_t Bytes) {
  time_point SentAt{duration(Reply.sent_at_us)};
  LateReplies.add();
  event("membership.late_reply", severity::Warning)
      .with("age_ms", toMilliseconds(now() - SentAt))
      .with("bytes", static_cast<std::uint64_t>(Bytes))
      .with("revision", Reply.revision);
  if (Reply.granted)
    applyGrantedReply(Reply, SentAt);
}

void member_agent::state::handleRedirect(const std::string &Address) {
  try {
    if (Address.empty()) {
      selectNextControl(Control);
      return;
    }
    auto NamedLeader = parseEndpoint(Address);
    bool HasChanged = Control.Leader != NamedLeader;
    Control.Leader = NamedLeader;
    if (HasChanged && Hub.isOpen(Hub.linkTo(NamedLeader)))
      scheduleEarlyRenewal();
  } catch (const error &Problem) {
    event("membership.bad_leader", severity::Warning)
        .with("problem", Problem.what());
    selectNextControl(Control);
  }
}

void member_agent::state::applyGrantedReply(const wire::renewal_reply &Reply,
                                            time_point SentAt) {
  IsRegistered = true;
  bool ConcernsOwnGateways = concernsOwnGateways(Member, Reply.groups);
  auto Version = Member.Deployment.Version;
  updateControlEndpoints(Reply);
  auto Changed = applyRenewalReply(Member, Reply, SentAt);
  notifyViewListeners(Changed);
  bool ConcernsOwnSlots = applyLimiterReply(Reply, SentAt);
  bool IsDeploymentNew = Member.Deployment.Version != Version;
  if (IsDeploymentNew)
    event("membership.deployment")
        .with("version", Member.Deployment.Version.Value)
        .with("before", Version.Value)
        .with("routes",
              static_cast<std::uint64_t>(Member.Deployment.Routes.size()));
  // Reports to control at once that a change is applied that it waits for, or
  // requests the rest of an incomplete reply. Control sends a newer deployment
  // only then.
  if (Reply.more || IsDeploymentNew || ConcernsOwnSlots ||
      (!Changed.empty() && ConcernsOwnGateways))
    scheduleEarlyRenewal();
  if (Reply.released)
    finishDrain();
}

bool member_agent::state::applyLimiterReply(const wire::renewal_reply &Reply,
                                            time_point SentAt) {
  bool HeldSlot = holdsLimiterSlot(Member);
  if (!applyLimiters(Member, Reply, SentAt))
    return false;
  bool HoldsSlot = holdsLimiterSlot(Member);
  event("membership.limiters")
      .with("revision", Member.Limiters.Revision.Value)
      .with("holds_slot", HoldsSlot);
  for (const auto &Listener : LimiterListeners)
    Listener();
  return HeldSlot || HoldsSlot;
}

void member_agent::state::onViewPush(link_id, link_message &&Message) {
  auto Push = decode<wire::view_push>(decompress(Message.Body, MaxFrameBytes),
                                      "control");
  bool ConcernsOwnGateways = concernsOwnGateways(Member, Push.groups);
  auto Changed = applyViewPush(Member, Push);
  notifyViewListeners(Changed);
  if (!Changed.empty() && ConcernsOwnGateways)
    scheduleEarlyRenewal();
}

void member_agent::state::notifyViewListeners(
    const std::vector<group_id> &Changed) {
  for (const auto &Group : Changed) {
    const auto &View = Member.Views.at(Group);
    event("membership.view")
        .with("group", Group.Value)
        .with("revision", View.Revision.Value)
        .with("term", View.Term.Value)
        .with("primary", View.Primary ? View.Primary->Value : std::string());
    for (const auto &Listener : ViewListeners)
      Listener(View);
  }
}

void member_agent::state::updateControlEndpoints(
    const wire::renewal_reply &Reply) {
  std::vector<endpoint> Named;
  for (const auto &Address : Reply.control)
    Named.push_back(parseEndpoint(Address));
  if (!Named.empty())
    Control.Named = std::move(Named);
}

void member_agent::state::forward(forwarded_request Request) {
  auto Target = chooseControl();
  auto Number = Hub.nextRequest();
  if (!Target ||
      !Hub.send(Hub.linkTo(*Target), {message_kind(OperatorRequestKind), Number,
                                      encode(Request.Request), ""})) {
    failUnreachable(Request);
    return;
  }
  ForwardedRequests[Number] = std::move(Request);
}

void member_agent::state::onOperatorReply(link_id, link_message &&Message) {
  auto Reply = decode<wire::operator_reply>(Message.Body, "control");
  auto Known = ForwardedRequests.extract(Message.Request);
  if (Known.empty())
    return;
  auto &Request = Known.mapped();
  if (auto NamedLeader = redirectionOf(Request, Reply)) {
    Control.Leader = NamedLeader;
    ++Request.Redirects;
    forward(std::move(Request));
    return;
  }
  Request.Callback(Reply.status, Reply.body);
}

void member_agent::state::start() {
  auto Receive = [this](std::int16_t Kind, auto Handler) {
    Hub.registerReceiver(message_kind(Kind), message_kind(Kind),
                         [this, Handler](link_id Link, link_message &&Message) {
                           (this->*Handler)(Link, std::move(Message));
                         });
  };
  Receive(RenewalReplyKind, &state::onRenewalReply);
  Receive(ViewPushKind, &state::onViewPush);
  Receive(OperatorReplyKind, &state::onOperatorReply);
  Hub.registerReceiver(
      message_kind(NudgeKind), message_kind(NudgeKind),
      [this](link_id, link_message &&) { scheduleEarlyRenewal(); });
  Orders.start();
  link_events Events;
  Events.Opened = [this](link_id, const link_peer &) {
    if (!teasellock::isLeaseValid(Member, now()))
      scheduleEarlyRenewal();
  };
  Events.Closed = [](link_id, const error &) {};
  Hub.subscribe(std::move(Events));
  for (const auto &Address : Control.Configured)
    Hub.linkTo(Address);
  RenewalTimer =
      Context.Timers.every(Settings.RenewalPeriod, [this] { renew(); });
  TimeoutTimer = Context.Timers.every(Settings.RenewalTimeout / 8,
                                      [this] { checkTimeouts(); });
  scheduleEarlyRenewal();
}

member_agent::member_agent(daemon_context &Context, link_hub &Hub,
                           membership_settings Settings)
    : State(std::make_unique<state>(Context, Hub, std::move(Settings))) {}

member_agent::~member_agent() = default;

void member_agent::attachGateway(gateway_hooks Hooks) {
  State->Orders.attach(std::move(Hooks));
}

void member_agent::start() { State->start(); }

bool member_agent::isLeaseValid() const {
  return teasellock::isLeaseValid(State->Member, State->now());
}

time_point member_agent::confirmedAt() const {
  return State->Member.ConfirmedAt;
}

const std::map<group_id, group_view> &member_agent::views() const {
  return State->Member.Views;
}

const group_view *member_agent::find(const group_id &Group) const {
  auto Found = State->Member.Views.find(Group);
  return Found == State->Member.Views.end() ? nullptr : &Found->second;
}

void member_agent::onViewChanged(
    std::function<void(const group_view &)> Callback) {
  State->ViewListeners.push_back(std::move(Callback));
}

const deployment &member_agent::currentDeployment() const {
  return State->Member.Deployment;
}

const limiter_view &member_agent::limiters() const {
  return State->Member.Limiters;
}

void member_agent::onLimitersChanged(std::function<void()> Callback) {
  State->LimiterListeners.push_back(std::move(Callback));
}

void member_agent::attachControlStore(store_id Store) {
  State->ControlStore = Store;
}

void member_agent::setControlEndpoints(std::vector<endpoint> Endpoints) {
  auto &Configured = State->Control.Configured;
  if (Configured == Endpoints)
    return;
  event("membership.control_changed")
      .with("count", static_cast<std::uint64_t>(Endpoints.size()));
  Configured = std::move(Endpoints);
  for (const auto &Address : Configured)
    State->Hub.linkTo(Address);
}

revision member_agent::appliedRevision() const { return State->Member.Applied; }

void member_agent::announce(const upstream_announcement &Announcement) {
  if (addAnnouncement(State->Announcements, Announcement, State->Member.Views,
                      State->now()))
    State->scheduleEarlyRenewal();
}

void member_agent::renewEarly() { State->scheduleEarlyRenewal(); }

void member_agent::forward(const std::string &Method, const std::string &Path,
                           const std::string &Body,
                           std::function<void(int, std::string)> Callback) {
  forwarded_request Request;
  Request.Request.method = Method;
  Request.Request.path = Path;
  Request.Request.body = Body;
  Request.Callback = std::move(Callback);
  Request.Deadline = State->now() + ForwardTimeout;
  State->forward(std::move(Request));
}

void member_agent::drain(std::function<void()> Callback) {
  State->Draining = true;
  State->DrainCallback = std::move(Callback);
  State->scheduleEarlyRenewal();
}

} // namespace teasellock
