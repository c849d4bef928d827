#include "modules/limits/limit_service.h"

#include "core/event_log.h"
#include "modules/limits/gen/limit_messages_types.h"
#include "modules/limits/limiter_slot.h"
#include "modules/link/codec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace teasellock {

namespace {

const message_kind RequestKind(400);
const message_kind GrantKind(401);
/// Interval of the checks of the assignment and of this VM's lease.
constexpr duration CheckInterval = std::chrono::seconds(1);
/// Organisations that have metrics of their own; the others share the label
/// "other".
constexpr std::size_t MaxLabels = 100;
/// Refusals of one organisation are logged at most this often.
constexpr duration LogInterval = std::chrono::seconds(1);

std::uint32_t toCount(std::int32_t Value) {
  return static_cast<std::uint32_t>(std::max(Value, 0));
}

std::int32_t toWireCount(std::uint32_t Value) {
  constexpr std::uint32_t Max = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int32_t>(std::min(Value, Max));
}

std::int64_t toWireTime(time_point At) { return At.time_since_epoch().count(); }

time_point fromWireTime(std::int64_t Microseconds) {
  return time_point(duration(Microseconds));
}

const char *toString(limit_verdict Verdict) {
  switch (Verdict) {
  case limit_verdict::Granted:
    return "granted";
  case limit_verdict::LimitReached:
    return "refused";
  case limit_verdict::Unavailable:
    return "unavailable";
  }
  return "";
}

} // namespace

struct limit_service::state {
  using done = std::function<void(const limit_outcome &)>;

  /// One organisation at this entry.
  struct organisation_state {
    limit_holdings Holdings;
    std::map<limit_ticket, done> Callbacks;
    timer_subscription Timer;
    std::optional<time_point> TimerAt;
    /// By limit_verdict.
    std::array<counter *, 3> Verdicts{};
    std::optional<time_point> LoggedAt;
    std::uint64_t NotLogged = 0;
  };
  /// One slot as last applied.
  struct slot_state {
    std::optional<limiter_holder> Holder;
    /// Link to the holder; empty if it is this VM.
    std::optional<link_id> Link;
  };

  daemon_context &Context;
  link_hub &Hub;
  limit_hooks Hooks;
  bool ServesCallers = false;
  std::map<organisation_id, organisation_state> Organisations;
  /// Of the slots that this VM holds.
  std::map<organisation_id, limit_account> Accounts;
  std::array<slot_state, LimiterSlotCount> Slots;
  /// End of the limiter lease when it was last checked.
  time_point KnownLeaseEnd;
  /// Limits of the deployment of IndexedVersion.
  std::map<organisation_id, std::optional<operation_limit>> Limits;
  deployment_version IndexedVersion;
  std::uint64_t LastTicket = 0;
  timer_subscription CheckTimer;
  counter &Batches;
  counter &Returned;
  counter &Expired;
  std::shared_ptr<state *> Self = std::make_shared<state *>(this);

  state(daemon_context &Context, link_hub &Hub, limit_hooks Hooks)
      : Context(Context), Hub(Hub), Hooks(std::move(Hooks)),
        Batches(Context.Metrics.counterOf("teasellock_limit_batches_total")),
        Returned(Context.Metrics.counterOf("teasellock_limit_returned_total")),
        Expired(Context.Metrics.counterOf("teasellock_limit_expired_total")) {}

  time_point now() const { return Context.Timers.now(); }
  const std::optional<operation_limit> *findLimit(const organisation_id &Name);
  organisation_state &findOrCreate(const organisation_id &Name);
  void acquire(const organisation_id &Name, done Done);
  void giveBack(const organisation_id &Name, time_point ValidUntil);
  void execute(const organisation_id &Name, limit_effects Effects);
  void resolve(const organisation_id &Name, const limit_resolution &Resolution);
  void logRefusal(const organisation_id &Name, organisation_state &Organisation,
                  limit_verdict Verdict);
  void send(const organisation_id &Name, const limit_demand &Demand,
            limit_effects &Effects);
  void armTimer(const organisation_id &Name);
  bool isHolder(std::uint32_t Slot) const;
  void checkLease();
  void applyView();
  void applySlot(std::uint32_t Slot, const std::optional<limiter_holder> &New);
  void restartRequests(const std::function<bool(std::uint32_t)> &IsAffected);
  std::optional<limit_answer> answer(const organisation_id &Name,
                                     const limit_entry &Entry,
                                     const limit_demand &Demand);
  void onRequest(link_id Link, const link_message &Message);
  void onGrant(link_id Link, const link_message &Message);
  void onLinkChanged(link_id Link);
  void check();
  void start();
};

/// Returns the limit of an organisation, or null if the deployment in force
/// does not have the organisation.
const std::optional<operation_limit> *
limit_service::state::findLimit(const organisation_id &Name) {
  const auto &Deployment = Hooks.Deployment();
  if (Deployment.Version != IndexedVersion) {
    Limits.clear();
    if (Deployment.Organisations)
      for (const auto &Organisation : *Deployment.Organisations)
        Limits[Organisation.Name] = Organisation.Limit;
    IndexedVersion = Deployment.Version;
  }
  auto Found = Limits.find(Name);
  return Found == Limits.end() ? nullptr : &Found->second;
}

limit_service::state::organisation_state &
limit_service::state::findOrCreate(const organisation_id &Name) {
  auto [Found, IsNew] = Organisations.try_emplace(Name);
  if (!IsNew)
    return Found->second;
  bool HasLabel = Organisations.size() <= MaxLabels;
  for (auto Verdict : {limit_verdict::Granted, limit_verdict::LimitReached,
                       limit_verdict::Unavailable})
    Found->second.Verdicts[static_cast<std::size_t>(Verdict)] =
        &Context.Metrics.counterOf(
            "teasellock_limit_operations_total",
            {{"organisation", HasLabel ? Name.Value : "other"},
             {"result", toString(Verdict)}});
  return Found->second;
}

void limit_service::state::acquire(const organisation_id &Name, done Done) {
  const auto *Limit = findLimit(Name);
  if (!Limit || !*Limit)
    return Done({limit_verdict::Granted, {}});
  applyView();
  auto &Organisation = findOrCreate(Name);
  limit_ticket Ticket(++LastTicket);
  Organisation.Callbacks[Ticket] = std::move(Done);
  limit_effects Effects;
  handleCaller(Organisation.Holdings, Ticket, now(), Effects);
  execute(Name, std::move(Effects));
}

void limit_service::state::giveBack(const organisation_id &Name,
                                    time_point ValidUntil) {
  if (ValidUntil <= now())
    return;
  limit_effects Effects;
  handleGivenBack(findOrCreate(Name).Holdings, ValidUntil, now(), Effects);
  execute(Name, std::move(Effects));
}

void limit_service::state::execute(const organisation_id &Name,
                                   limit_effects Effects) {
  // The answer of this VM's own limiter may add effects.
  for (std::size_t Index = 0; Index < Effects.Send.size(); ++Index) {
    limit_demand Demand = Effects.Send[Index];
    send(Name, Demand, Effects);
  }
  Expired.add(Effects.Expired);
  armTimer(Name);
  for (const auto &Resolution : Effects.Resolved)
    resolve(Name, Resolution);
}

void limit_service::state::resolve(const organisation_id &Name,
                                   const limit_resolution &Resolution) {
  auto &Organisation = Organisations.at(Name);
  Organisation.Verdicts[static_cast<std::size_t>(Resolution.Verdict)]->add();
  if (Resolution.Verdict != limit_verdict::Granted)
    logRefusal(Name, Organisation, Resolution.Verdict);
  auto Callback = Organisation.Callbacks.extract(Resolution.Ticket);
  if (!Callback.empty())
    Callback.mapped()({Resolution.Verdict, Resolution.ValidUntil});
}

/// Logs the first refusal in each interval, with the number of refusals since
/// the line before.
void limit_service::state::logRefusal(const organisation_id &Name,
                                      organisation_state &Organisation,
                                      limit_verdict Verdict) {
  ++Organisation.NotLogged;
  if (Organisation.LoggedAt && now() - *Organisation.LoggedAt < LogInterval)
    return;
  Organisation.LoggedAt = now();
  auto Count = std::exchange(Organisation.NotLogged, 0);
  auto Slot = limiterSlotOf(Name);
  const auto &Holder = Slots[Slot].Holder;
  const auto *Limit = findLimit(Name);
  event Line("limit.refused");
  Line.with("organisation", Name.Value)
      .with("verdict", toString(Verdict))
      .with("count", Count)
      .with("slot", static_cast<std::uint64_t>(Slot))
      .with("limiter", Holder ? Holder->Vm.Value : std::string("none"));
  if (Limit && *Limit)
    Line.with("rate_per_s", (*Limit)->RatePerSecond)
        .with("burst", (*Limit)->Burst);
}

/// Sends a request. If this VM is the limiter, it is answered at once.
void limit_service::state::send(const organisation_id &Name,
                                const limit_demand &Demand,
                                limit_effects &Effects) {
  Returned.add(Demand.Returned);
  auto &Holdings = Organisations.at(Name).Holdings;
  auto Slot = limiterSlotOf(Name);
  if (isHolder(Slot)) {
    auto Answer =
        answer(Name, {Context.Self.Vm, Context.Self.Incarnation}, Demand);
    return handleAnswer(Holdings, Answer.value_or(limit_answer{}), now(),
                        Effects);
  }
  wire::limit_request Request;
  Request.organisation = Name.Value;
  Request.wanted = toWireCount(Demand.Wanted);
  Request.waiting = toWireCount(Demand.Waiting);
  Request.returned = toWireCount(Demand.Returned);
  Request.sent_at_us = toWireTime(Demand.SentAt);
  auto Link = Slots[Slot].Link;
  if (!Link ||
      !Hub.send(*Link, {RequestKind, Hub.nextRequest(), encode(Request), ""}))
    return handleSendFailure(Holdings, Demand.SentAt, now());
  Batches.add();
}

void limit_service::state::armTimer(const organisation_id &Name) {
  auto &Organisation = Organisations.at(Name);
  auto Due = nextDue(Organisation.Holdings);
  if (!Due || (Organisation.TimerAt && *Organisation.TimerAt <= *Due))
    return;
  Organisation.TimerAt = Due;
  auto Span = std::max(duration(0), *Due - now());
  Organisation.Timer = Context.Timers.after(Span, [this, Name] {
    auto &Due = Organisations.at(Name);
    Due.TimerAt.reset();
    limit_effects Effects;
    handleDue(Due.Holdings, now(), Effects);
    execute(Name, std::move(Effects));
  });
}

/// Reports whether this process holds a slot.
bool limit_service::state::isHolder(std::uint32_t Slot) const {
  const auto &Holder = Slots[Slot].Holder;
  return Holder && Holder->Vm == Context.Self.Vm &&
         Holder->Incarnation == Context.Self.Incarnation;
}

/// Forgets the buckets after a time without a lease: another VM may have been
/// the limiter meanwhile, even if this one holds the slot again.
void limit_service::state::checkLease() {
  if (KnownLeaseEnd <= now())
    Accounts.clear();
  KnownLeaseEnd = Hooks.View().LeaseEnd;
}

void limit_service::state::applyView() {
  const auto &View = Hooks.View();
  std::array<bool, LimiterSlotCount> Changed{};
  bool HasChanged = false;
  for (std::uint32_t Slot = 0; Slot < LimiterSlotCount; ++Slot) {
    std::optional<limiter_holder> New;
    if (Slot < View.Slots.size())
      New = View.Slots[Slot];
    if (New == Slots[Slot].Holder)
      continue;
    applySlot(Slot, New);
    Changed[Slot] = HasChanged = true;
  }
  if (!HasChanged)
    return;
  std::erase_if(Accounts, [&](const auto &Item) {
    return !isHolder(limiterSlotOf(Item.first));
  });
  restartRequests([&](std::uint32_t Slot) { return Changed[Slot]; });
}

void limit_service::state::applySlot(std::uint32_t Slot,
                                     const std::optional<limiter_holder> &New) {
  auto &Known = Slots[Slot];
  auto Former = std::exchange(Known.Link, std::nullopt);
  Known.Holder = New;
  // The new link first, as both may be the same.
  if (New && ServesCallers && New->Vm != Context.Self.Vm)
    Known.Link = Hub.retainLink(New->Address);
  if (Former)
    Hub.releaseLink(*Former);
}

/// Requests of the affected slots that have no answer are sent again.
void limit_service::state::restartRequests(
    const std::function<bool(std::uint32_t)> &IsAffected) {
  std::vector<organisation_id> Affected;
  for (const auto &[Name, Organisation] : Organisations)
    if (IsAffected(limiterSlotOf(Name)))
      Affected.push_back(Name);
  for (const auto &Name : Affected) {
    limit_effects Effects;
    handleLimiterChanged(Organisations.at(Name).Holdings, now(), Effects);
    execute(Name, std::move(Effects));
  }
}

/// Answers a request as the limiter; nullopt if it gets no answer.
std::optional<limit_answer>
limit_service::state::answer(const organisation_id &Name,
                             const limit_entry &Entry,
                             const limit_demand &Demand) {
  checkLease();
  limit_answer Answer;
  Answer.SentAt = Demand.SentAt;
  const auto *Limit = findLimit(Name);
  // An unknown organisation is one of a version that this VM does not have yet.
  if (!isHolder(limiterSlotOf(Name)) || KnownLeaseEnd <= now() || !Limit)
    return Answer;
  Answer.IsLimiter = true;
  Answer.Granted = Demand.Wanted;
  if (!*Limit)
    return Answer;
  auto [Account, IsNew] = Accounts.try_emplace(Name);
  if (IsNew)
    Account->second.Bucket = makeBucket(**Limit, now());
  applyLimit(Account->second.Bucket, **Limit, now());
  auto Granted = handleDemand(Account->second, Entry, Demand, now());
  if (!Granted)
    return std::nullopt;
  Answer.Granted = *Granted;
  return Answer;
}

void limit_service::state::onRequest(link_id Link,
                                     const link_message &Message) {
  const auto *Peer = Hub.peerOf(Link);
  if (!Peer)
    return;
  auto Request = decode<wire::limit_request>(Message.Body, Peer->Vm.Value);
  limit_demand Demand{toCount(Request.wanted), toCount(Request.waiting),
                      toCount(Request.returned),
                      fromWireTime(Request.sent_at_us)};
  limit_entry Entry{Peer->Vm, Peer->Incarnation};
  applyView();
  auto Answer = answer(organisation_id(Request.organisation), Entry, Demand);
  if (!Answer || Demand.Wanted == 0)
    return;
  wire::limit_grant Grant;
  Grant.organisation = Request.organisation;
  Grant.granted = toWireCount(Answer->Granted);
  Grant.limiter_ok = Answer->IsLimiter;
  Grant.sent_at_us = Request.sent_at_us;
  Hub.send(Link, {GrantKind, Message.Request, encode(Grant), ""});
}

void limit_service::state::onGrant(link_id Link, const link_message &Message) {
  auto Grant = decode<wire::limit_grant>(Message.Body, "limiter");
  organisation_id Name(Grant.organisation);
  auto Found = Organisations.find(Name);
  // A former limiter's answer: the request was sent again to the new one.
  if (Found == Organisations.end() || Slots[limiterSlotOf(Name)].Link != Link)
    return;
  limit_effects Effects;
  handleAnswer(Found->second.Holdings,
               {toCount(Grant.granted), Grant.limiter_ok,
                fromWireTime(Grant.sent_at_us)},
               now(), Effects);
  execute(Name, std::move(Effects));
}

void limit_service::state::onLinkChanged(link_id Link) {
  restartRequests([&](std::uint32_t Slot) { return Slots[Slot].Link == Link; });
}

void limit_service::state::check() {
  checkLease();
  applyView();
  std::erase_if(Accounts,
                [&](const auto &Item) { return !findLimit(Item.first); });
}

void limit_service::state::start() {
  std::weak_ptr<state *> Weak = Self;
  Hub.registerReceiver(RequestKind, RequestKind,
                       [Weak](link_id Link, link_message &&Message) {
                         if (auto Alive = Weak.lock())
                           (*Alive)->onRequest(Link, Message);
                       });
  Hub.registerReceiver(GrantKind, GrantKind,
                       [Weak](link_id Link, link_message &&Message) {
                         if (auto Alive = Weak.lock())
                           (*Alive)->onGrant(Link, Message);
                       });
  auto OnChange = [Weak](link_id Link) {
    if (auto Alive = Weak.lock())
      (*Alive)->onLinkChanged(Link);
  };
  Hub.subscribe(
      {[OnChange](link_id Link, const link_peer &) { OnChange(Link); },
       [OnChange](link_id Link, const error &) { OnChange(Link); }});
  CheckTimer = Context.Timers.every(CheckInterval, [this] { check(); });
  check();
}

limit_service::limit_service(daemon_context &Context, link_hub &Hub,
                             limit_hooks Hooks)
    : State(std::make_unique<state>(Context, Hub, std::move(Hooks))) {}

limit_service::~limit_service() { State->Self.reset(); }

void limit_service::start(bool ServesCallers) {
  State->ServesCallers = ServesCallers;
  State->start();
}

void limit_service::acquire(const organisation_id &Organisation,
                            std::function<void(const limit_outcome &)> Done) {
  State->acquire(Organisation, std::move(Done));
}

void limit_service::giveBack(const organisation_id &Organisation,
                             time_point ValidUntil) {
  State->giveBack(Organisation, ValidUntil);
}

void limit_service::handleViewChange() {
  State->checkLease();
  State->applyView();
}

} // namespace teasellock
