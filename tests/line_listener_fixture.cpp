#include "tests/line_listener_fixture.h"

#include "core/endpoint.h"
#include "modules/control/message_kinds.h"
#include "modules/limits/limit_shares.h"
#include "modules/link/codec.h"
#include "platform/line_codec.h"

#include <sys/socket.h>
#include <unistd.h>

namespace teasellock {

namespace {

const message_kind StatementKind(300);
const message_kind StatementReplyKind(301);
/// Cancellations and releases, which the gateway ignores.
const message_kind CancelKind(302);
const message_kind ReleaseKind(303);
const message_kind LimitRequestKind(400);
const message_kind LimitGrantKind(401);

std::uint32_t shareOf(const wire::limit_request &Request) {
  return static_cast<std::uint32_t>(Request.share);
}

/// The view of group "g", whose only gateway is the VM.
group_view viewOf(const simulated_vm &Gateway) {
  group_view View;
  View.Group = group_id("g");
  View.Revision = revision(1);
  View.Row.Group = View.Group;
  View.Term = term(1);
  View.Primary = upstream_id("g-1");
  gateway_share Share;
  Share.Vm = Gateway.Context.Self.Vm;
  Share.Incarnation = Gateway.Context.Self.Incarnation;
  Share.Address = Gateway.Context.Self.InternalEndpoint;
  Share.Connections = 1;
  Share.Slots = 1;
  View.Gateways.push_back(Share);
  return View;
}

} // namespace

simulated_vm::simulated_vm(event_loop &Loop, timer_service &Timers,
                           const std::string &Name)
    : Context{Loop,
              Timers,
              Metrics,
              Tracer,
              {vm_id(Name), incarnation(1), availability_zone_id("z"),
               region_id("r"), endpoint{"127.0.0.1", 0}}},
      Hub(Context, link_settings()) {
  Context.Self.InternalEndpoint = Hub.listen();
}

simulated_gateway::simulated_gateway(link_hub &Hub) : Hub(Hub) {
  Hub.registerReceiver(
      StatementKind, StatementKind,
      [this](link_id Link, link_message &&Message) {
        Received.push_back({Link, Message.Request,
                            decode<wire::statement_request>(Message.Body, "")});
        if (!KeepsStatements)
          answer(Received.back(), executed(Received.back().Request));
      });
  Hub.registerReceiver(CancelKind, ReleaseKind,
                       [](link_id, link_message &&) {});
}

wire::statement_reply
simulated_gateway::executed(const wire::statement_request &Request) {
  wire::statement_reply Reply;
  Reply.outcome = wire::statement_outcome::answered;
  Reply.last = true;
  Reply.term = Request.term;
  Reply.transaction_status =
      Request.transaction != 0 && !Request.may_commit ? 'T' : 'I';
  const auto &Protocol = platform::lineProtocol();
  if (!Request.may_commit)
    Protocol.AppendRow(Reply.messages, Request.line.id);
  Protocol.AppendDone(Reply.messages);
  return Reply;
}

void simulated_gateway::answer(const received_statement &Statement,
                               const wire::statement_reply &Reply) {
  Hub.send(Statement.Link,
           {StatementReplyKind, Statement.Number, encode(Reply), "", false});
}

std::vector<std::string> simulated_gateway::ids() const {
  std::vector<std::string> Ids;
  for (const auto &Statement : Received)
    Ids.push_back(Statement.Request.line.id);
  return Ids;
}

simulated_limiter::simulated_limiter(link_hub &Hub) : Hub(Hub) {
  Hub.registerReceiver(LimitRequestKind, LimitRequestKind,
                       [this](link_id Link, link_message &&Message) {
                         auto Request =
                             decode<wire::limit_request>(Message.Body, "");
                         Returned +=
                             static_cast<std::uint32_t>(Request.returned);
                         if (Request.wanted == 0)
                           return;
                         received_request Asked{Link, Message.Request, Request};
                         if (shareOf(Request) == FirstShare)
                           Received.push_back(Asked);
                         if (KeepsRequests)
                           return;
                         if (shareOf(Request) != FirstShare)
                           return answer(Asked, 0);
                         std::uint32_t Granted = 0;
                         if (!Grants.empty()) {
                           Granted = Grants.front();
                           Grants.pop_front();
                         }
                         answer(Received.back(), Granted);
                       });
}

void simulated_limiter::answer(const received_request &Request,
                               std::uint32_t Granted) {
  wire::limit_grant Grant;
  Grant.organisation = Request.Request.organisation;
  Grant.granted = static_cast<std::int32_t>(Granted);
  Grant.limiter_ok = true;
  Grant.sent_at_us = Request.Request.sent_at_us;
  Grant.share = Request.Request.share;
  Hub.send(Request.Link,
           {LimitGrantKind, Request.Number, encode(Grant), "", false});
}

line_listener_fixture::line_listener_fixture(
    std::optional<std::vector<organisation>> Organisations,
    line_listener_settings Settings) {
  Limiter.FirstShare = firstShareOf(Entry.Context.Self.Vm);
  Deployment.Version = deployment_version(1);
  auto &Route = Deployment.Routes.emplace_back();
  Route.Database = database_id("db");
  Route.Group = group_id("g");
  setOrganisations(std::move(Organisations));
  serveRenewals();
  membership_settings Membership;
  Membership.ControlEndpoints = {Control.Context.Self.InternalEndpoint};
  Membership.RenewalPeriod = fromMilliseconds(40);
  Member = std::make_unique<member_agent>(Entry.Context, Entry.Hub, Membership);
  Router = std::make_unique<statement_router>(Entry.Context, Entry.Hub, *Member,
                                              nullptr, routing_settings());
  Limits = std::make_unique<limit_service>(
      Entry.Context, Entry.Hub,
      limit_hooks{[this]() -> const limiter_view & { return LimiterView; },
                  [this]() -> const deployment & {
                    return Member->currentDeployment();
                  }});
  Settings.Listen = {"127.0.0.1", 0};
  Settings.Protocol = &platform::lineProtocol();
  Listener = std::make_unique<line_listener>(Entry.Context, *Member, *Router,
                                             *Limits, Settings);
  Member->start();
  Router->start();
  Limits->start(true);
  Address = Listener->start();
}

void line_listener_fixture::serveRenewals() {
  Control.Hub.registerReceiver(
      message_kind(RenewalKind), message_kind(RenewalKind),
      [this](link_id Link, link_message &&Message) {
        auto Renewal = decode<wire::renewal>(Message.Body, "entry");
        Control.Hub.send(Link, {message_kind(RenewalReplyKind), Message.Request,
                                encode(replyTo(Renewal)), "", false});
      });
}

wire::renewal_reply
line_listener_fixture::replyTo(const wire::renewal &Renewal) const {
  wire::renewal_reply Reply;
  Reply.granted = true;
  Reply.revision = 1;
  if (Renewal.applied_revision == 0)
    Reply.groups.push_back(toWire(viewOf(Peer)));
  deployment_version Known(
      static_cast<std::uint64_t>(Renewal.deployment_version));
  if (Known < Deployment.Version)
    Reply.__set_newer_deployment(toWire(Deployment));
  return Reply;
}

void line_listener_fixture::setOrganisations(
    std::optional<std::vector<organisation>> Organisations) {
  Deployment.Version.Value += 1;
  Deployment.Organisations = std::move(Organisations);
}

void line_listener_fixture::setLimiter(bool HasLimiter) {
  ++LimiterView.Revision.Value;
  LimiterView.Slots.clear();
  if (HasLimiter)
    LimiterView.Slots.assign(
        LimiterSlotCount,
        limiter_holder{Peer.Context.Self.Vm, Peer.Context.Self.Incarnation,
                       Peer.Context.Self.InternalEndpoint});
  Limits->handleViewChange();
}

void line_listener_fixture::awaitGateway() {
  REQUIRE(runUntil([&] {
    return Member->find(group_id("g")) &&
           Entry.Hub.isOpen(
               Entry.Hub.linkTo(Peer.Context.Self.InternalEndpoint));
  }));
}

simulated_caller::simulated_caller(const endpoint &Address)
    : Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
  auto Target = toSocketAddress(Address);
  REQUIRE(::connect(Socket, reinterpret_cast<sockaddr *>(&Target),
                    sizeof(Target)) == 0);
}

void simulated_caller::send(const std::string &Text) const {
  REQUIRE(::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(Text.size()));
}

const std::string &simulated_caller::receive() {
  char Buffer[1024];
  ssize_t Count = ::recv(Socket, Buffer, sizeof(Buffer), MSG_DONTWAIT);
  if (Count > 0)
    Received.append(Buffer, static_cast<std::size_t>(Count));
  IsClosed = IsClosed || Count == 0;
  return Received;
}

void simulated_caller::disconnect() {
  if (Socket >= 0)
    ::close(std::exchange(Socket, -1));
}

} // namespace teasellock
