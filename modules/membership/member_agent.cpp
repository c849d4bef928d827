#include "modules/membership/member_agent.h"

#include "core/event_log.h"
#include "modules/control/message_kinds.h"
#include "modules/link/codec.h"
#include "modules/membership/member_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace teasellock {

namespace {

/// Hurried renewals are at least this far apart.
const duration HurryPeriod = fromMilliseconds(5);
/// An announcement is passed on again and again until the views show it, but
/// not for longer than this: the platform repeats it.
const duration AnnouncementLife = fromMilliseconds(3000);
/// How long an operator's request may take.
const duration ForwardTimeout = fromMilliseconds(10000);
constexpr int MostRedirects = 3;

/// An announcement that the views don't show yet.
struct pending_announcement {
  upstream_announcement Announcement;
  time_point Since;
};

/// An operator's request on its way to the leader.
struct forwarded_request {
  wire::operator_request Request;
  std::function<void(int, std::string)> Answer;
  time_point Deadline;
  int Redirects = 0;
};

std::string errorJson(const std::string &Reason) {
  return nlohmann::json{{"error", Reason}}.dump();
}

/// The leader named by a 503 answer of a control VM.
std::optional<endpoint> leaderIn(const wire::operator_reply &Reply) {
  auto Json = nlohmann::json::parse(Reply.body, nullptr, false);
  if (Reply.status != 503 || !Json.is_object() || !Json.contains("leader") ||
      !Json["leader"].is_string())
    return std::nullopt;
  try {
    return parseEndpoint(Json["leader"].get<std::string>());
  } catch (const error &) {
    return std::nullopt;
  }
}

} // namespace

struct member_agent::state {
  daemon_context &Context;
  link_hub &Hub;
  membership_settings Settings;
  gateway_hooks Gateway;
  member_state Member;
  std::vector<std::function<void(const group_view &)>> Watchers;
  /// The control VM that is asked; changed on silence and on redirection.
  std::size_t Next = 0;
  std::optional<endpoint> Leader;
  std::map<request_id, time_point> Sent;
  time_point LastSent;
  time_point LastAnswer;
  std::map<std::pair<group_id, upstream_id>, pending_announcement> Announced;
  std::map<request_id, forwarded_request> Forwarded;
  bool Draining = false;
  store_id ControlStore;
  /// Where the last renewal went, and the last that left one unanswered: it is
  /// passed over until another one answers.
  std::optional<endpoint> Asked;
  std::optional<endpoint> Silent;
  /// Control VMs that the last answer named, besides those of the settings.
  std::vector<endpoint> Named;
  std::function<void()> Released;
  timer_subscription Renewals;
  timer_subscription Hurried;
  timer_subscription Patience;
  counter &Unanswered;

  state(daemon_context &Context, link_hub &Hub, membership_settings Settings)
      : Context(Context), Hub(Hub), Settings(std::move(Settings)),
        Unanswered(Context.Metrics.counterOf(
            "teasellock_membership_unanswered_renewals_total")) {
    Member.Self = Context.Self.Vm;
    Member.Incarnation = Context.Self.Incarnation;
    Member.InheritsShares = this->Settings.InheritsShares;
  }

  time_point now() const { return Context.Timers.now(); }

  void start();
  std::optional<link_id> controlLink();
  void tryNext();
  void renew();
  wire::renewal makeRenewal();
  void hurry();
  void checkPatience();
  void onReply(link_id Link, link_message &&Message);
  void takeGranted(const wire::renewal_reply &Reply, time_point SentAt);
  void redirect(const std::string &Address);
  void takeNamed(const wire::renewal_reply &Reply);
  void onFence(link_id Link, link_message &&Message);
  void onResume(link_id Link, link_message &&Message);
  void onPromote(link_id Link, link_message &&Message);
  void onOperatorReply(link_id Link, link_message &&Message);
  void forward(forwarded_request Request);
  void expireForwarded();
  void dropShownAnnouncements();
  template <typename Reply>
  void answer(link_id Link, request_id Request, std::int16_t Kind,
              const Reply &Body);
};

std::optional<link_id> member_agent::state::controlLink() {
  if (Leader) {
    auto Link = Hub.linkTo(*Leader);
    Asked = Leader;
    if (Hub.isOpen(Link))
      return Link;
  }
  std::size_t Count = Settings.Control.size() + Named.size();
  for (std::size_t I = 0; I < Count; ++I) {
    std::size_t At = (Next + I) % Count;
    bool FromSettings = At < Settings.Control.size();
    auto Link = Hub.linkTo(FromSettings ? Settings.Control[At]
                                        : Named[At - Settings.Control.size()]);
    const auto &Address = FromSettings ? Settings.Control[At]
                                       : Named[At - Settings.Control.size()];
    if (!Hub.isOpen(Link) || (Count > 1 && Address == Silent))
      continue;
    Next = At;
    Asked = Address;
    return Link;
  }
  // Nobody else is there to be asked.
  Silent.reset();
  return std::nullopt;
}

void member_agent::state::tryNext() {
  Leader.reset();
  if (std::size_t Count = Settings.Control.size() + Named.size())
    Next = (Next + 1) % Count;
}

wire::renewal member_agent::state::makeRenewal() {
  wire::renewal Renewal;
  Renewal.vm = Context.Self.Vm.Value;
  Renewal.incarnation =
      static_cast<std::int64_t>(Context.Self.Incarnation.Value);
  Renewal.address = toString(Context.Self.Internal);
  Renewal.availability_zone = Context.Self.AvailabilityZone.Value;
  Renewal.region = Context.Self.Region.Value;
  Renewal.applied_revision = static_cast<std::int64_t>(Member.Applied.Value);
  Renewal.after_revision =
      static_cast<std::int64_t>(Member.AfterRevision.Value);
  Renewal.after_group = Member.AfterGroup.Value;
  Renewal.draining = Draining;
  Renewal.deployment_version =
      static_cast<std::int64_t>(Member.Deployment.Version.Value);
  Renewal.control_store = static_cast<std::int64_t>(ControlStore.Value);
  Renewal.gateway = Settings.Gateway;
  if (Gateway.Reports)
    Renewal.groups = Gateway.Reports();
  dropShownAnnouncements();
  for (const auto &[Key, Pending] : Announced)
    Renewal.announcements.push_back(toWire(Pending.Announcement));
  return Renewal;
}

void member_agent::state::renew() {
  auto Link = controlLink();
  if (!Link) {
    LastSent = now();
    return;
  }
  // The lease and the ages of reports count from before the renewal is made.
  time_point SentAt = now();
  auto Renewal = makeRenewal();
  Renewal.sent_at_us = SentAt.time_since_epoch().count();
  auto Request = Hub.nextRequest();
  LastSent = SentAt;
  if (Hub.send(*Link,
               {message_kind(RenewalKind), Request, encode(Renewal), ""}))
    Sent[Request] = SentAt;
}

void member_agent::state::hurry() {
  if (Hurried.active())
    return;
  duration Since = now() - LastSent;
  duration Wait = Since >= HurryPeriod ? duration::zero() : HurryPeriod - Since;
  Hurried = Context.Timers.after(Wait, [this] { renew(); });
}

void member_agent::state::checkPatience() {
  expireForwarded();
  if (Sent.empty() || now() - Sent.begin()->second < Settings.RenewalTimeout)
    return;
  Unanswered.add(Sent.size());
  Sent.clear();
  Silent = Asked;
  tryNext();
  renew();
}

void member_agent::state::onReply(link_id, link_message &&Message) {
  auto Reply = decode<wire::renewal_reply>(Message.Body, "control");
  auto Known = Sent.find(Message.Request);
  if (Known == Sent.end())
    return;
  time_point SentAt = Known->second;
  // Earlier renewals on the same way are answered by this one as well.
  Sent.erase(Sent.begin(), std::next(Known));
  LastAnswer = now();
  if (Asked != Silent)
    Silent.reset();
  if (Reply.granted)
    takeGranted(Reply, SentAt);
  else
    redirect(Reply.leader_address);
}

void member_agent::state::redirect(const std::string &Address) {
  try {
    if (Address.empty()) {
      tryNext();
      return;
    }
    auto Named = parseEndpoint(Address);
    bool New = Leader != Named;
    Leader = Named;
    if (New && Hub.isOpen(Hub.linkTo(Named)))
      hurry();
  } catch (const error &Problem) {
    event("membership.bad_leader", severity::Warning)
        .with("problem", Problem.what());
    tryNext();
  }
}

void member_agent::state::takeGranted(const wire::renewal_reply &Reply,
                                      time_point SentAt) {
  revision Before = Member.Applied;
  auto Version = Member.Deployment.Version;
  takeNamed(Reply);
  auto Changed = applyReply(Member, Reply, SentAt);
  for (const auto &Group : Changed) {
    const auto &View = Member.Views.at(Group);
    event("membership.view")
        .with("group", Group.Value)
        .with("revision", View.Revision.Value)
        .with("term", View.Term.Value)
        .with("primary", View.Primary ? View.Primary->Value : std::string());
    for (const auto &Watcher : Watchers)
      Watcher(View);
  }
  if (Member.Deployment.Version != Version)
    event("membership.deployment")
        .with("version", Member.Deployment.Version.Value)
        .with("before", Version.Value)
        .with("routes",
              static_cast<std::uint64_t>(Member.Deployment.Routes.size()));
  // Control hears at once that its change has arrived, or sends the rest.
  if (Reply.more || (!Changed.empty() && Member.Applied > Before))
    hurry();
  if (Reply.released && Released) {
    auto Callback = std::move(Released);
    Released = nullptr;
    Callback();
  }
}

void member_agent::state::takeNamed(const wire::renewal_reply &Reply) {
  std::vector<endpoint> Control;
  for (const auto &Address : Reply.control)
    Control.push_back(parseEndpoint(Address));
  if (!Control.empty())
    Named = std::move(Control);
}

void member_agent::state::onResume(link_id, link_message &&Message) {
  auto Resume = decode<wire::resume>(Message.Body, "control");
  event("membership.resume").with("group", Resume.group);
  if (Gateway.Resume)
    Gateway.Resume(group_id(Resume.group));
}

template <typename Reply>
void member_agent::state::answer(link_id Link, request_id Request,
                                 std::int16_t Kind, const Reply &Body) {
  Hub.send(Link, {message_kind(Kind), Request, encode(Body), ""});
}

void member_agent::state::onFence(link_id Link, link_message &&Message) {
  auto Fence = decode<wire::fence>(Message.Body, "control");
  event("membership.fence").with("group", Fence.group).with("term", Fence.term);
  auto Request = Message.Request;
  if (!Gateway.Fence) {
    // Without the gateway role nothing was ever acknowledged here.
    wire::fence_reply Reply;
    Reply.group = Fence.group;
    Reply.term = Fence.term;
    answer(Link, Request, FenceReplyKind, Reply);
    return;
  }
  Gateway.Fence(Fence, [this, Link, Request](wire::fence_reply Reply) {
    answer(Link, Request, FenceReplyKind, Reply);
  });
}

void member_agent::state::onPromote(link_id Link, link_message &&Message) {
  auto Order = decode<wire::promote>(Message.Body, "control");
  auto Request = Message.Request;
  std::string Problem =
      Gateway.Promote ? staleOrder(Member, Order) : "this VM is not a gateway";
  event("membership.promote")
      .with("group", Order.group)
      .with("upstream", Order.upstream)
      .with("term", Order.term)
      .with("problem", Problem);
  if (!Problem.empty()) {
    wire::promote_reply Reply;
    Reply.group = Order.group;
    Reply.upstream = Order.upstream;
    Reply.term = Order.term;
    Reply.problem = Problem;
    answer(Link, Request, PromoteReplyKind, Reply);
    return;
  }
  Gateway.Promote(Order, [this, Link, Request](wire::promote_reply Reply) {
    answer(Link, Request, PromoteReplyKind, Reply);
  });
}

void member_agent::state::dropShownAnnouncements() {
  std::erase_if(Announced, [&](const auto &Entry) {
    const auto &[Announcement, Since] = Entry.second;
    auto View = Member.Views.find(Announcement.Group);
    bool Shown = View != Member.Views.end() &&
                 std::count(View->second.Upstreams.begin(),
                            View->second.Upstreams.end(), Announcement) > 0;
    return Shown || now() - Since > AnnouncementLife;
  });
}

void member_agent::state::forward(forwarded_request Request) {
  auto Link = controlLink();
  if (!Link) {
    Request.Answer(503, errorJson("no control VM can be reached"));
    return;
  }
  auto Number = Hub.nextRequest();
  if (!Hub.send(*Link, {message_kind(OperatorRequestKind), Number,
                        encode(Request.Request), ""})) {
    Request.Answer(503, errorJson("no control VM can be reached"));
    return;
  }
  Forwarded[Number] = std::move(Request);
}

void member_agent::state::onOperatorReply(link_id, link_message &&Message) {
  auto Reply = decode<wire::operator_reply>(Message.Body, "control");
  auto Known = Forwarded.extract(Message.Request);
  if (Known.empty())
    return;
  auto &Request = Known.mapped();
  auto Named = leaderIn(Reply);
  if (Named && Request.Redirects < MostRedirects) {
    Leader = Named;
    ++Request.Redirects;
    forward(std::move(Request));
    return;
  }
  Request.Answer(Reply.status, Reply.body);
}

void member_agent::state::expireForwarded() {
  std::vector<forwarded_request> Expired;
  for (auto It = Forwarded.begin(); It != Forwarded.end();) {
    if (now() < It->second.Deadline) {
      ++It;
      continue;
    }
    Expired.push_back(std::move(It->second));
    It = Forwarded.erase(It);
  }
  for (auto &Request : Expired)
    Request.Answer(504, errorJson("no answer from control; the outcome is "
                                  "unknown"));
}

void member_agent::state::start() {
  auto Receive = [this](std::int16_t Kind, auto Handler) {
    Hub.receive(message_kind(Kind), message_kind(Kind),
                [this, Handler](link_id Link, link_message &&Message) {
                  (this->*Handler)(Link, std::move(Message));
                });
  };
  Receive(RenewalReplyKind, &state::onReply);
  Receive(FenceKind, &state::onFence);
  Receive(PromoteKind, &state::onPromote);
  Receive(ResumeKind, &state::onResume);
  Receive(OperatorReplyKind, &state::onOperatorReply);
  Hub.receive(message_kind(NudgeKind), message_kind(NudgeKind),
              [this](link_id, link_message &&) { hurry(); });
  link_events Events;
  Events.Opened = [this](link_id, const link_peer &) {
    if (!teasellock::leaseValid(Member, now()))
      hurry();
  };
  Events.Closed = [](link_id, const error &) {};
  Hub.watch(std::move(Events));
  for (const auto &Control : Settings.Control)
    Hub.linkTo(Control);
  Renewals = Context.Timers.every(Settings.RenewalPeriod, [this] { renew(); });
  Patience = Context.Timers.every(Settings.RenewalTimeout / 8,
                                  [this] { checkPatience(); });
  hurry();
}

member_agent::member_agent(daemon_context &Context, link_hub &Hub,
                           membership_settings Settings)
    : State(std::make_unique<state>(Context, Hub, std::move(Settings))) {}

member_agent::~member_agent() = default;

void member_agent::attachGateway(gateway_hooks Hooks) {
  State->Gateway = std::move(Hooks);
}

void member_agent::start() { State->start(); }

bool member_agent::leaseValid() const {
  return teasellock::leaseValid(State->Member, State->now());
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
  State->Watchers.push_back(std::move(Callback));
}

const deployment &member_agent::currentDeployment() const {
  return State->Member.Deployment;
}

void member_agent::attachControlStore(store_id Store) {
  State->ControlStore = Store;
}

void member_agent::setControl(std::vector<endpoint> Control) {
  if (State->Settings.Control == Control)
    return;
  event("membership.control_changed")
      .with("count", static_cast<std::uint64_t>(Control.size()));
  State->Settings.Control = std::move(Control);
  for (const auto &Address : State->Settings.Control)
    State->Hub.linkTo(Address);
}

revision member_agent::applied() const { return State->Member.Applied; }

void member_agent::announce(const upstream_announcement &Announcement) {
  State->Announced[{Announcement.Group, Announcement.Upstream}] = {
      Announcement, State->now()};
  State->dropShownAnnouncements();
  if (State->Announced.contains({Announcement.Group, Announcement.Upstream}))
    State->hurry();
}

void member_agent::hurry() { State->hurry(); }

void member_agent::forward(const std::string &Method, const std::string &Path,
                           const std::string &Body,
                           std::function<void(int, std::string)> Answer) {
  forwarded_request Request;
  Request.Request.method = Method;
  Request.Request.path = Path;
  Request.Request.body = Body;
  Request.Answer = std::move(Answer);
  Request.Deadline = State->now() + ForwardTimeout;
  State->forward(std::move(Request));
}

void member_agent::drain(std::function<void()> Released) {
  State->Draining = true;
  State->Released = std::move(Released);
  State->hurry();
}

} // namespace teasellock
