#include "modules/routing/statement_router.h"

#include "core/event_log.h"
#include "modules/gateway/primary_gateways.h"
#include "modules/link/codec.h"
#include "modules/routing/gateway_links.h"

#include <deque>

namespace teasellock {

namespace {

const message_kind RequestKind(300);
const message_kind ReplyKind(301);
const message_kind CancelKind(302);
const message_kind ReleaseKind(303);
/// Interval of the reviews of links to gateways.
constexpr duration LinkReviewInterval = std::chrono::milliseconds(200);

reply_summary summarize(const wire::statement_reply &Reply) {
  reply_summary Facts;
  switch (Reply.outcome) {
  case wire::statement_outcome::answered:
    Facts.Outcome = reply_summary::outcome::Answered;
    break;
  case wire::statement_outcome::not_run:
    Facts.Outcome = reply_summary::outcome::NotRun;
    break;
  default:
    Facts.Outcome = reply_summary::outcome::Unknown;
  }
  Facts.Last = Reply.last;
  Facts.NotAssigned = Reply.not_assigned;
  Facts.Resolved = Reply.resolved;
  Facts.Term = term(static_cast<std::uint64_t>(Reply.term));
  Facts.TransactionOpen =
      Reply.transaction_status == 'T' || Reply.transaction_status == 'E';
  Facts.Code = Reply.code;
  Facts.Problem = Reply.problem;
  return Facts;
}

routed_statement toRouted(const wire::statement_request &Request,
                          time_point Now) {
  routed_statement Statement;
  Statement.Group = group_id(Request.group);
  Statement.Traits.Write = Request.access == wire::statement_access::write;
  Statement.Traits.NeedsPrimary = needsPrimary(Request);
  Statement.Traits.InTransaction = Request.transaction != 0;
  Statement.Traits.OpensTransaction = Request.opens_transaction;
  Statement.Traits.MayCommit = Request.may_commit;
  Statement.Traits.HasIdempotencyKey = !Request.idempotency_key.empty();
  Statement.Transaction =
      transaction_id(static_cast<std::uint64_t>(Request.transaction));
  Statement.Deadline = Now + fromMilliseconds(Request.timeout_ms);
  Statement.NotBefore = Now;
  return Statement;
}

wire::statement_reply toReply(const routing_outcome &Outcome) {
  wire::statement_reply Reply;
  Reply.outcome = Outcome.Unknown ? wire::statement_outcome::unknown
                                  : wire::statement_outcome::not_run;
  Reply.last = true;
  Reply.transaction_status = 'I';
  Reply.code = Outcome.Code;
  Reply.problem = Outcome.Problem;
  return Reply;
}

} // namespace

struct statement_router::state {
  /// The contents of a statement that has not been answered.
  struct pending {
    wire::statement_request Request;
    std::string TraceParent;
    std::function<void(wire::statement_reply)> Reply;
  };

  daemon_context &Context;
  link_hub &Hub;
  member_agent &Member;
  gateway_service *Gateway;
  routing_state Routing;
  std::map<request_id, pending> Pending;
  std::map<link_id, vm_id> VmOfLink;
  std::map<vm_id, link_id> LinkOfVm;
  std::uint64_t LastTransaction = 0;
  timer_subscription Timer;
  std::optional<time_point> TimerAt;
  timer_subscription LinkReviewTimer;
  /// Callbacks hold a weak reference to it, as they may be called after this
  /// object has been destroyed.
  std::shared_ptr<state *> Self = std::make_shared<state *>(this);
  std::deque<routing_effect> Queue;
  bool IsExecutingEffects = false;
  counter &LateReplies;
  counter &SentStatements;

  state(daemon_context &Context, link_hub &Hub, member_agent &Member,
        gateway_service *Gateway, routing_settings Settings)
      : Context(Context), Hub(Hub), Member(Member), Gateway(Gateway),
        LateReplies(Context.Metrics.counterOf("teasellock_late_answers_total")),
        SentStatements(
            Context.Metrics.counterOf("teasellock_statement_sends_total")) {
    Routing.Settings = Settings;
    Routing.Self = Context.Self;
    Routing.LocalGateway = Gateway != nullptr;
    Routing.Budget.UpdatedAt = Context.Timers.now();
  }

  template <typename Decide> void decide(Decide &&Decision) {
    routing_effects Effects;
    Decision(Effects);
    executeEffects(std::move(Effects), nullptr);
  }

  void executeEffects(routing_effects Effects, wire::statement_reply *Reply);
  void executeEffect(const routing_effect &Effect);
  void armTimer();
  void send(request_id Id, const vm_id &Vm);
  void sendLocal(request_id Attempt, const pending &Statement);
  void forward(request_id Id, wire::statement_reply Reply);
  void finish(request_id Id, wire::statement_reply Reply);
  void onReply(const vm_id &Vm, request_id Attempt,
               wire::statement_reply Reply);
  void onView(const group_view &View);
  void openLink(const vm_id &Vm);
  void closeLink(const vm_id &Vm);
  void sendMessage(const vm_id &Vm, message_kind Kind, request_id Request,
                   std::string Body);
  void cancelAt(const vm_id &Vm, request_id Attempt);
  void releaseAt(const vm_id &Vm, transaction_id Transaction);
};

void statement_router::state::executeEffects(routing_effects Effects,
                                             wire::statement_reply *Reply) {
  // Forward effects are executed at once, as the reply is only valid during
  // this call.
  for (auto &Effect : Effects) {
    if (Effect.Kind == routing_effect::kind::Forward && Reply)
      forward(Effect.Statement, std::move(*Reply));
    else
      Queue.push_back(std::move(Effect));
  }
  if (IsExecutingEffects)
    return;
  IsExecutingEffects = true;
  while (!Queue.empty()) {
    auto Effect = std::move(Queue.front());
    Queue.pop_front();
    executeEffect(Effect);
  }
  IsExecutingEffects = false;
  armTimer();
}

void statement_router::state::executeEffect(const routing_effect &Effect) {
  switch (Effect.Kind) {
  case routing_effect::kind::Send:
    return send(Effect.Statement, Effect.Gateway);
  case routing_effect::kind::Finish:
    return finish(Effect.Statement, toReply(Effect.Outcome));
  case routing_effect::kind::Cancel:
    return cancelAt(Effect.Gateway, Effect.Attempt);
  case routing_effect::kind::Release:
    return releaseAt(Effect.Gateway, Effect.Transaction);
  case routing_effect::kind::DropLateReply:
    return LateReplies.add();
  case routing_effect::kind::OpenLink:
    return openLink(Effect.Gateway);
  case routing_effect::kind::CloseLink:
    return closeLink(Effect.Gateway);
  case routing_effect::kind::Forward:
    return;
  }
}

void statement_router::state::armTimer() {
  auto Due = nextDue(Routing);
  if (!Due || (TimerAt && *TimerAt <= *Due))
    return;
  TimerAt = Due;
  auto Span = std::max(duration(0), *Due - Context.Timers.now());
  Timer = Context.Timers.after(Span, [this] {
    TimerAt.reset();
    decide([this](routing_effects &Effects) {
      handleDue(Routing, Context.Timers.now(), Effects);
    });
  });
}

void statement_router::state::send(request_id Id, const vm_id &Vm) {
  auto Found = Pending.find(Id);
  auto Routed = Routing.Statements.find(Id);
  if (Found == Pending.end() || Routed == Routing.Statements.end())
    return;
  auto &Request = Found->second.Request;
  auto Left = Routed->second.Deadline - Context.Timers.now();
  Request.timeout_ms = std::max<std::int64_t>(1, toMilliseconds(Left));
  Request.term = static_cast<std::int64_t>(
      Routing.Groups[Routed->second.Group].Term.Value);
  auto Attempt = Hub.nextRequest();
  SentStatements.add();
  if (Gateway && Vm == Context.Self.Vm) {
    teasellock::recordSent(Routing, Id, Vm, Attempt);
    return sendLocal(Attempt, Found->second);
  }
  auto Link = LinkOfVm.find(Vm);
  if (Link != LinkOfVm.end() &&
      Hub.send(Link->second, {RequestKind, Attempt, encode(Request),
                              Found->second.TraceParent, true})) {
    teasellock::recordSent(Routing, Id, Vm, Attempt);
    return;
  }
  decide([&](routing_effects &Effects) {
    handleSendFailure(Routing, Id, Vm, Context.Timers.now(), Effects);
  });
}

void statement_router::state::sendLocal(request_id Attempt,
                                        const pending &Statement) {
  std::weak_ptr<state *> Weak = Self;
  Gateway->submitLocal(
      Attempt, Statement.Request, Statement.TraceParent,
      [Weak, Vm = Context.Self.Vm, Attempt](wire::statement_reply Reply) {
        if (auto Alive = Weak.lock())
          (*Alive)->onReply(Vm, Attempt, std::move(Reply));
      });
}

void statement_router::state::forward(request_id Id,
                                      wire::statement_reply Reply) {
  if (Reply.last)
    return finish(Id, std::move(Reply));
  auto Found = Pending.find(Id);
  if (Found == Pending.end())
    return;
  // A copy, because the callback may cancel the statement.
  auto Callback = Found->second.Reply;
  Callback(std::move(Reply));
}

void statement_router::state::finish(request_id Id,
                                     wire::statement_reply Reply) {
  auto Found = Pending.find(Id);
  if (Found == Pending.end())
    return;
  auto Callback = std::move(Found->second.Reply);
  Pending.erase(Found);
  Callback(std::move(Reply));
}

void statement_router::state::onReply(const vm_id &Vm, request_id Attempt,
                                      wire::statement_reply Reply) {
  routing_effects Effects;
  handleReply(Routing, Vm, Attempt, summarize(Reply), Context.Timers.now(),
              Effects);
  executeEffects(std::move(Effects), &Reply);
}

void statement_router::state::openLink(const vm_id &Vm) {
  auto Gateway = Routing.Gateways.find(Vm);
  if (Gateway == Routing.Gateways.end() || LinkOfVm.contains(Vm))
    return;
  auto Link = Hub.retainLink(Gateway->second.Address);
  LinkOfVm[Vm] = Link;
  VmOfLink[Link] = Vm;
  if (Hub.isOpen(Link))
    decide([&](routing_effects &Effects) {
      handleGatewayOpened(Routing, Vm, Context.Timers.now(), Effects);
    });
}

void statement_router::state::closeLink(const vm_id &Vm) {
  auto Link = LinkOfVm.extract(Vm);
  if (Link.empty())
    return;
  VmOfLink.erase(Link.mapped());
  Hub.releaseLink(Link.mapped());
}

void statement_router::state::onView(const group_view &View) {
  decide([&](routing_effects &Effects) {
    applyView(Routing, View, Context.Timers.now(), Effects);
  });
}

void statement_router::state::sendMessage(const vm_id &Vm, message_kind Kind,
                                          request_id Request,
                                          std::string Body) {
  auto Link = LinkOfVm.find(Vm);
  if (Link != LinkOfVm.end())
    Hub.send(Link->second, {Kind, Request, std::move(Body), {}});
}

void statement_router::state::cancelAt(const vm_id &Vm, request_id Attempt) {
  if (Gateway && Vm == Context.Self.Vm)
    return Gateway->cancelLocal(Attempt);
  wire::statement_cancel Cancel;
  Cancel.request = static_cast<std::int64_t>(Attempt.Value);
  sendMessage(Vm, CancelKind, Attempt, encode(Cancel));
}

void statement_router::state::releaseAt(const vm_id &Vm,
                                        transaction_id Transaction) {
  if (Gateway && Vm == Context.Self.Vm)
    return Gateway->releaseLocal(Transaction);
  wire::transaction_release Release;
  Release.transaction = static_cast<std::int64_t>(Transaction.Value);
  sendMessage(Vm, ReleaseKind, Hub.nextRequest(), encode(Release));
}

statement_router::statement_router(daemon_context &Context, link_hub &Hub,
                                   member_agent &Member,
                                   gateway_service *Gateway,
                                   routing_settings Settings)
    : State(std::make_unique<state>(Context, Hub, Member, Gateway, Settings)) {}

statement_router::~statement_router() { State->Self.reset(); }

void statement_router::start() {
  std::weak_ptr<state *> Weak = State->Self;
  link_events Events;
  Events.Opened = [Weak](link_id Link, const link_peer &) {
    auto Alive = Weak.lock();
    if (!Alive || !(*Alive)->VmOfLink.contains(Link))
      return;
    auto &Router = **Alive;
    Router.decide([&](routing_effects &Effects) {
      handleGatewayOpened(Router.Routing, Router.VmOfLink[Link],
                          Router.Context.Timers.now(), Effects);
    });
  };
  Events.Closed = [Weak](link_id Link, const error &) {
    auto Alive = Weak.lock();
    if (!Alive || !(*Alive)->VmOfLink.contains(Link))
      return;
    auto &Router = **Alive;
    Router.decide([&](routing_effects &Effects) {
      handleGatewayClosed(Router.Routing, Router.VmOfLink[Link],
                          Router.Context.Timers.now(), Effects);
    });
  };
  State->Hub.subscribe(std::move(Events));
  State->Hub.registerReceiver(
      ReplyKind, ReplyKind, [Weak](link_id Link, link_message &&Message) {
        auto Alive = Weak.lock();
        if (!Alive)
          return;
        auto &Router = **Alive;
        auto Vm = Router.VmOfLink.find(Link);
        if (Vm == Router.VmOfLink.end())
          return Router.LateReplies.add();
        auto Reply =
            decode<wire::statement_reply>(Message.Body, toString(Vm->second));
        Router.onReply(Vm->second, Message.Request, std::move(Reply));
      });
  State->Member.onViewChanged([Weak](const group_view &View) {
    if (auto Alive = Weak.lock())
      (*Alive)->onView(View);
  });
  for (const auto &[Group, View] : State->Member.views())
    State->onView(View);
  State->LinkReviewTimer =
      State->Context.Timers.every(LinkReviewInterval, [Weak] {
        auto Alive = Weak.lock();
        if (!Alive || (*Alive)->Routing.UnsettledLinks.empty())
          return;
        (*Alive)->decide([&](routing_effects &Effects) {
          reviewLinks((*Alive)->Routing, (*Alive)->Context.Timers.now(),
                      Effects);
        });
      });
}

request_id
statement_router::submit(wire::statement_request Statement,
                         const std::string &TraceParent,
                         std::function<void(wire::statement_reply)> Reply) {
  auto Id = State->Hub.nextRequest();
  auto Now = State->Context.Timers.now();
  auto Routed = toRouted(Statement, Now);
  State->Pending[Id] = {std::move(Statement), TraceParent, std::move(Reply)};
  // Posted, so that the caller has the id before the first reply.
  std::weak_ptr<state *> Weak = State->Self;
  State->Context.Loop.post([Weak, Id, Routed = std::move(Routed), Now] {
    auto Alive = Weak.lock();
    if (!Alive || !(*Alive)->Pending.contains(Id))
      return;
    (*Alive)->decide([&](routing_effects &Effects) {
      submitStatement((*Alive)->Routing, Id, Routed, Now, Effects);
    });
  });
  return Id;
}

void statement_router::cancel(request_id Request) {
  State->Pending.erase(Request);
  State->decide([&](routing_effects &Effects) {
    cancelStatement(State->Routing, Request, Effects);
  });
}

statement_progress statement_router::progressOf(request_id Request) const {
  if (!State->Pending.contains(Request))
    return statement_progress::Answered;
  auto Found = State->Routing.Statements.find(Request);
  if (Found == State->Routing.Statements.end())
    return statement_progress::NotSent;
  bool Sent = Found->second.Progress == statement_progress::Sent ||
              Found->second.MayHaveRun;
  return Sent ? statement_progress::Sent : statement_progress::NotSent;
}

transaction_id statement_router::nextTransaction() {
  return transaction_id(++State->LastTransaction);
}

void statement_router::release(transaction_id Transaction) {
  State->decide([&](routing_effects &Effects) {
    releaseTransaction(State->Routing, Transaction, Effects);
  });
}

std::size_t statement_router::inFlight() const { return State->Pending.size(); }

} // namespace teasellock
