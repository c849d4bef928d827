#include "modules/limits/limit_service.h"

#include "core/event_log.h"
#include "modules/limits/limit_codec.h"
#include "modules/limits/limit_shares.h"
#include "modules/limits/limiter_accounts.h"
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

} // namespace

struct limit_service::state {
  using done = std::function<void(const limit_outcome &)>;

  struct pending_caller {
    done Done;
    caller_progress Progress;
  };
  /// One share of an organisation's limit at this entry.
  struct share_state {
    limit_holdings Holdings;
    /// Its limiter did not answer in time.
    time_point SilentUntil;
    timer_subscription Timer;
    std::optional<time_point> TimerAt;
  };
  /// One organisation at this entry.
  struct organisation_state {
    std::array<share_state, LimitShares> Shares;
    std::map<limit_ticket, pending_caller> Callers;
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
  limiter_accounts Accounts;
  std::array<slot_state, LimiterSlotCount> Slots;
  /// Limits of the deployment of IndexedVersion.
  std::map<organisation_id, std::optional<operation_limit>> Limits;
  deployment_version IndexedVersion;
  std::uint64_t LastTicket = 0;
  /// The share that callers of this VM ask first.
  const std::uint32_t FirstShare;
  timer_subscription CheckTimer;
  counter &Batches;
  counter &Returned;
  counter &Expired;
  std::shared_ptr<state *> Self = std::make_shared<state *>(this);

  state(daemon_context &Context, link_hub &Hub, limit_hooks Hooks)
      : Context(Context), Hub(Hub), Hooks(std::move(Hooks)),
        FirstShare(firstShareOf(Context.Self.Vm)),
        Batches(Context.Metrics.counterOf("teasellock_limit_batches_total")),
        Returned(Context.Metrics.counterOf("teasellock_limit_returned_total")),
        Expired(Context.Metrics.counterOf("teasellock_limit_expired_total")) {}

  time_point now() const { return Context.Timers.now(); }
  const std::optional<operation_limit> *findLimit(const organisation_id &Name);
  organisation_state &findOrCreate(const organisation_id &Name);
  void acquire(const organisation_id &Name, done Done);
  void giveBack(const organisation_id &Name, time_point ValidUntil);
  std::array<share_status, LimitShares>
  statusOf(const organisation_id &Name,
           const organisation_state &Organisation) const;
  void ask(const organisation_id &Name, pending_caller Caller);
  void execute(const organisation_id &Name, std::uint32_t Share,
               limit_effects Effects);
  void resolve(const organisation_id &Name, std::uint32_t Share,
               const limit_resolution &Resolution);
  void finish(const organisation_id &Name, const pending_caller &Caller,
              const limit_outcome &Outcome);
  void logRefusal(const organisation_id &Name, organisation_state &Organisation,
                  limit_verdict Verdict);
  void send(const organisation_id &Name, std::uint32_t Share,
            const limit_demand &Demand, limit_effects &Effects);
  void armTimer(const organisation_id &Name, std::uint32_t Share);
  bool isHolder(std::uint32_t Slot) const;
  void applyView();
  void applySlot(std::uint32_t Slot, const std::optional<limiter_holder> &New);
  void handleReachability(const std::function<bool(std::uint32_t)> &IsAffected,
                          bool IsReachable);
  std::optional<limit_answer> answer(const organisation_id &Name,
                                     std::uint32_t Share,
                                     const limit_entry &Entry,
                                     const limit_demand &Demand);
  void onRequest(link_id Link, const link_message &Message);
  void onGrant(link_id Link, const link_message &Message);
  void onLinkChanged(link_id Link, bool IsOpen);
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
  findOrCreate(Name);
  caller_progress Progress;
  Progress.Deadline = now() + LimitWaitTimeout;
  ask(Name, {std::move(Done), Progress});
}

std::array<share_status, LimitShares>
limit_service::state::statusOf(const organisation_id &Name,
                               const organisation_state &Organisation) const {
  std::array<share_status, LimitShares> Result;
  for (std::uint32_t Share = 0; Share < LimitShares; ++Share) {
    auto Slot = slotOfShare(Name, Share);
    const auto &Link = Slots[Slot].Link;
    Result[Share].IsReachable = isHolder(Slot) || (Link && Hub.isOpen(*Link));
    Result[Share].SilentUntil = Organisation.Shares[Share].SilentUntil;
  }
  return Result;
}

/// Asks the next limiter for an operation, or ends the caller's wait if none is
/// left.
void limit_service::state::ask(const organisation_id &Name,
                               pending_caller Caller) {
  auto &Organisation = Organisations.at(Name);
  auto Choice = chooseShare(Caller.Progress, statusOf(Name, Organisation),
                            FirstShare, now());
  if (!Choice)
    return finish(Name, Caller,
                  {Caller.Progress.LimitReached ? limit_verdict::LimitReached
                                                : limit_verdict::Unavailable,
                   {}});
  Caller.Progress.Asked[Choice->Share] = true;
  limit_ticket Ticket(++LastTicket);
  Organisation.Callers[Ticket] = std::move(Caller);
  limit_effects Effects;
  handleCaller(Organisation.Shares[Choice->Share].Holdings,
               {Ticket, Choice->Deadline}, now(), Effects);
  execute(Name, Choice->Share, std::move(Effects));
}

void limit_service::state::giveBack(const organisation_id &Name,
                                    time_point ValidUntil) {
  if (ValidUntil <= now())
    return;
  limit_effects Effects;
  // A limiter takes back no more than it has granted to this entry lately, so
  // that the share may be another one than that which granted the operation.
  handleGivenBack(findOrCreate(Name).Shares[FirstShare].Holdings, ValidUntil,
                  now(), Effects);
  execute(Name, FirstShare, std::move(Effects));
}

void limit_service::state::execute(const organisation_id &Name,
                                   std::uint32_t Share, limit_effects Effects) {
  // The answer of this VM's own limiter may add effects.
  for (std::size_t Index = 0; Index < Effects.Send.size(); ++Index) {
    limit_demand Demand = Effects.Send[Index];
    send(Name, Share, Demand, Effects);
  }
  Expired.add(Effects.Expired);
  armTimer(Name, Share);
  for (const auto &Resolution : Effects.Resolved)
    resolve(Name, Share, Resolution);
}

/// Ends the wait for one limiter. If it did not grant an operation, the next
/// one is asked.
void limit_service::state::resolve(const organisation_id &Name,
                                   std::uint32_t Share,
                                   const limit_resolution &Resolution) {
  auto &Organisation = Organisations.at(Name);
  auto Caller = Organisation.Callers.extract(Resolution.Ticket);
  if (Caller.empty())
    return;
  switch (Resolution.Verdict) {
  case limit_verdict::Granted:
    return finish(Name, Caller.mapped(),
                  {limit_verdict::Granted, Resolution.ValidUntil});
  case limit_verdict::LimitReached:
    Caller.mapped().Progress.LimitReached = true;
    break;
  case limit_verdict::Unavailable:
    Organisation.Shares[Share].SilentUntil = now() + SilentPeriod;
    break;
  }
  ask(Name, std::move(Caller.mapped()));
}

void limit_service::state::finish(const organisation_id &Name,
                                  const pending_caller &Caller,
                                  const limit_outcome &Outcome) {
  auto &Organisation = Organisations.at(Name);
  Organisation.Verdicts[static_cast<std::size_t>(Outcome.Verdict)]->add();
  if (Outcome.Verdict != limit_verdict::Granted)
    logRefusal(Name, Organisation, Outcome.Verdict);
  Caller.Done(Outcome);
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
  auto Status = statusOf(Name, Organisation);
  auto Unreachable =
      std::ranges::count(Status, false, &share_status::IsReachable);
  const auto *Limit = findLimit(Name);
  event Line("limit.refused");
  Line.with("organisation", Name.Value)
      .with("verdict", toString(Verdict))
      .with("count", Count)
      .with("slot", static_cast<std::uint64_t>(limiterSlotOf(Name)))
      .with("unreachable_limiters", static_cast<std::uint64_t>(Unreachable));
  if (Limit && *Limit)
    Line.with("rate_per_s", (*Limit)->RatePerSecond)
        .with("burst", (*Limit)->Burst);
}

/// Sends a request. If this VM is the limiter, it is answered at once.
void limit_service::state::send(const organisation_id &Name,
                                std::uint32_t Share, const limit_demand &Demand,
                                limit_effects &Effects) {
  Returned.add(Demand.Returned);
  auto &Holdings = Organisations.at(Name).Shares[Share].Holdings;
  auto Slot = slotOfShare(Name, Share);
  if (isHolder(Slot)) {
    auto Answer = answer(Name, Share,
                         {Context.Self.Vm, Context.Self.Incarnation}, Demand);
    return handleAnswer(Holdings, Answer.value_or(limit_answer{}), now(),
                        Effects);
  }
  auto Link = Slots[Slot].Link;
  if (!Link ||
      !Hub.send(*Link, {RequestKind, Hub.nextRequest(),
                        encodeLimitRequest({Name, Share, Demand}), ""}))
    return handleSendFailure(Holdings, Demand.SentAt, now());
  Batches.add();
}

void limit_service::state::armTimer(const organisation_id &Name,
                                    std::uint32_t Share) {
  auto &State = Organisations.at(Name).Shares[Share];
  auto Due = nextDue(State.Holdings);
  if (!Due || (State.TimerAt && *State.TimerAt <= *Due))
    return;
  State.TimerAt = Due;
  auto Span = std::max(duration(0), *Due - now());
  State.Timer = Context.Timers.after(Span, [this, Name, Share] {
    auto &Due = Organisations.at(Name).Shares[Share];
    Due.TimerAt.reset();
    limit_effects Effects;
    handleDue(Due.Holdings, now(), Effects);
    execute(Name, Share, std::move(Effects));
  });
}

/// Reports whether this process holds a slot.
bool limit_service::state::isHolder(std::uint32_t Slot) const {
  const auto &Holder = Slots[Slot].Holder;
  return Holder && Holder->Vm == Context.Self.Vm &&
         Holder->Incarnation == Context.Self.Incarnation;
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
  retainAccounts(Accounts,
                 [&](const organisation_id &Name, std::uint32_t Share) {
                   return isHolder(slotOfShare(Name, Share));
                 });
  handleReachability([&](std::uint32_t Slot) { return Changed[Slot]; }, true);
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

/// Handles that the limiters of the affected slots may be reached again, or no
/// longer. Requests without an answer are sent again, or to other limiters.
void limit_service::state::handleReachability(
    const std::function<bool(std::uint32_t)> &IsAffected, bool IsReachable) {
  std::vector<std::pair<organisation_id, std::uint32_t>> Affected;
  for (const auto &[Name, Organisation] : Organisations)
    for (std::uint32_t Share = 0; Share < LimitShares; ++Share)
      if (IsAffected(slotOfShare(Name, Share)))
        Affected.emplace_back(Name, Share);
  for (const auto &[Name, Share] : Affected) {
    auto &State = Organisations.at(Name).Shares[Share];
    limit_effects Effects;
    if (IsReachable) {
      State.SilentUntil = {};
      handleLimiterChanged(State.Holdings, now(), Effects);
    } else {
      handleLimiterLost(State.Holdings, Effects);
    }
    execute(Name, Share, std::move(Effects));
  }
}

/// Answers a request as the limiter; nullopt if it gets no answer.
std::optional<limit_answer>
limit_service::state::answer(const organisation_id &Name, std::uint32_t Share,
                             const limit_entry &Entry,
                             const limit_demand &Demand) {
  applyLease(Accounts, Hooks.View().LeaseEnd, now());
  const auto *Limit = findLimit(Name);
  // An unknown organisation is one of a version that this VM does not have yet.
  if (!isHolder(slotOfShare(Name, Share)) || !hasLease(Accounts, now()) ||
      !Limit)
    return limit_answer{0, false, Demand.SentAt};
  return answerDemand(Accounts, {Name, Share}, *Limit, Entry, Demand, now());
}

void limit_service::state::onRequest(link_id Link,
                                     const link_message &Message) {
  const auto *Peer = Hub.peerOf(Link);
  if (!Peer)
    return;
  auto Request = parseLimitRequest(Message.Body, Peer->Vm.Value);
  limit_entry Entry{Peer->Vm, Peer->Incarnation};
  applyView();
  auto Answer =
      answer(Request.Organisation, Request.Share, Entry, Request.Demand);
  if (!Answer || Request.Demand.Wanted == 0)
    return;
  Hub.send(Link,
           {GrantKind, Message.Request,
            encodeLimitGrant({Request.Organisation, Request.Share, *Answer}),
            ""});
}

void limit_service::state::onGrant(link_id Link, const link_message &Message) {
  auto Grant = parseLimitGrant(Message.Body);
  auto Found = Organisations.find(Grant.Organisation);
  // A former limiter's answer: the request was sent again to the new one.
  if (Found == Organisations.end() ||
      Slots[slotOfShare(Grant.Organisation, Grant.Share)].Link != Link)
    return;
  auto &State = Found->second.Shares[Grant.Share];
  if (Grant.Answer.IsLimiter)
    State.SilentUntil = {};
  limit_effects Effects;
  handleAnswer(State.Holdings, Grant.Answer, now(), Effects);
  execute(Grant.Organisation, Grant.Share, std::move(Effects));
}

void limit_service::state::onLinkChanged(link_id Link, bool IsOpen) {
  handleReachability(
      [&](std::uint32_t Slot) { return Slots[Slot].Link == Link; }, IsOpen);
}

void limit_service::state::check() {
  applyLease(Accounts, Hooks.View().LeaseEnd, now());
  applyView();
  retainAccounts(Accounts, [&](const organisation_id &Name, std::uint32_t) {
    return findLimit(Name) != nullptr;
  });
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
  auto OnChange = [Weak](link_id Link, bool IsOpen) {
    if (auto Alive = Weak.lock())
      (*Alive)->onLinkChanged(Link, IsOpen);
  };
  Hub.subscribe(
      {[OnChange](link_id Link, const link_peer &) { OnChange(Link, true); },
       [OnChange](link_id Link, const error &) { OnChange(Link, false); }});
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
  applyLease(State->Accounts, State->Hooks.View().LeaseEnd, State->now());
  State->applyView();
}

} // namespace teasellock
