#include "modules/gateway/gateway_service.h"

#include "core/event_log.h"
#include "modules/gateway/group_gateway.h"
#include "modules/gateway/refusals.h"
#include "modules/gateway/statement_size.h"
#include "modules/link/codec.h"

namespace teasellock {

namespace {

const message_kind StatementKind(300);
const message_kind ReplyKind(301);
const message_kind CancelKind(302);
const message_kind ReleaseKind(303);
/// The link id that denotes this VM's own entry.
const link_id LocalLink(0);

} // namespace

struct gateway_service::state {
  state(daemon_context &Context, link_hub &Hub, member_agent &Member,
        gateway_settings Settings)
      : Context(Context), Hub(Hub), Member(Member),
        Settings(std::move(Settings)) {}

  daemon_context &Context;
  link_hub &Hub;
  member_agent &Member;
  gateway_settings Settings;
  std::map<group_id, std::shared_ptr<group_handler>> Groups;
  /// Bytes of the statements that are not answered.
  std::size_t StatementBytes = 0;

  group_handler &findOrCreateGroup(const group_id &Group) {
    std::shared_ptr<group_handler> &Entry = Groups[Group];
    if (Entry)
      return *Entry;
    if (Settings.MakeGroupHandler)
      Entry = Settings.MakeGroupHandler(Context, hooks(), Group);
    else
      Entry =
          std::make_shared<group_gateway>(Context, hooks(), Settings, Group);
    return *Entry;
  }

  membership_hooks hooks() {
    return {
        [this] { return Member.isLeaseValid(); },
        [this] { Member.renewEarly(); },
        [this] { return Member.currentDeployment().Organisations.has_value(); },
        [this] { return Member.confirmedAt(); }};
  }

  void attach() {
    gateway_hooks Hooks;
    Hooks.BuildReports = [this] { return reports(); };
    Hooks.Fence = [this](const wire::fence &Fence,
                         std::function<void(wire::fence_reply)> Answer) {
      findOrCreateGroup(group_id(Fence.group)).fence(Fence, std::move(Answer));
    };
    Hooks.Resume = [this](const group_id &Group) {
      findOrCreateGroup(Group).resume();
    };
    Hooks.Promote = [this](const wire::promote &Order,
                           std::function<void(wire::promote_reply)> Answer) {
      findOrCreateGroup(group_id(Order.group))
          .promote(Order, std::move(Answer));
    };
    Member.attachGateway(std::move(Hooks));
  }

  void start() {
    Member.onViewChanged([this](const group_view &View) { apply(View); });
    for (const auto &[Group, View] : Member.views())
      apply(View);
    // Replies (301) are received by the statement_router of the entry.
    for (message_kind Kind : {StatementKind, CancelKind, ReleaseKind})
      Hub.registerReceiver(Kind, Kind,
                           [this](link_id Link, link_message &&Message) {
                             onMessage(Link, std::move(Message));
                           });
    link_events Events;
    Events.Opened = [](link_id, const link_peer &) {};
    Events.Closed = [this](link_id Link, const error &) {
      for (const auto &[Group, Gateway] : Groups)
        Gateway->handleLinkClosed(Link);
    };
    Hub.subscribe(std::move(Events));
  }

  void apply(const group_view &View) {
    findOrCreateGroup(View.Group).apply(View);
  }

  std::vector<wire::group_report> reports() const {
    std::vector<wire::group_report> Reports;
    for (const auto &[Group, Gateway] : Groups)
      if (Gateway->isActive())
        Reports.push_back(Gateway->report());
    return Reports;
  }

  void onMessage(link_id Link, link_message &&Message) {
    std::string Peer = Hub.peerOf(Link) ? Hub.peerOf(Link)->Vm.Value : "";
    if (Message.Kind == StatementKind) {
      request_id Request = Message.Request;
      auto Reply = [this, Link, Request](wire::statement_reply Answer) {
        Hub.send(Link, {ReplyKind, Request, encode(Answer), "", true});
      };
      return submit({{Link, Request},
                     decode<wire::statement_request>(Message.Body, Peer),
                     Message.TraceParent,
                     Reply});
    }
    if (Message.Kind == CancelKind)
      return cancel(
          {Link,
           request_id(static_cast<std::uint64_t>(
               decode<wire::statement_cancel>(Message.Body, Peer).request))});
    if (Message.Kind == ReleaseKind)
      return release(Link,
                     transaction_id(static_cast<std::uint64_t>(
                         decode<wire::transaction_release>(Message.Body, Peer)
                             .transaction)));
    throw error("gateway.receive", Peer,
                "unknown message kind " + std::to_string(Message.Kind.Value));
  }

  void submit(incoming_statement Arrived) {
    auto Found = Groups.find(group_id(Arrived.Statement.group));
    if (Found == Groups.end())
      return refuse(Arrived, "this VM does not know the group", true);
    std::size_t Bytes = sizeOf(Arrived.Statement);
    if (!fitsBeside(StatementBytes, Bytes, Settings.MaxStatementBytes))
      return refuse(Arrived,
                    "the statements at the gateway use too much memory", false);
    countBytes(Arrived, Bytes);
    Found->second->submit(std::move(Arrived));
  }

  static void refuse(const incoming_statement &Arrived,
                     const std::string &Problem, bool NotAssigned) {
    wire::statement_reply Refusal;
    Refusal.outcome = wire::statement_outcome::not_run;
    Refusal.last = true;
    Refusal.code = CannotConnectNow;
    Refusal.problem = Problem;
    Refusal.transaction_status = 'I';
    Refusal.not_assigned = NotAssigned;
    Arrived.Reply(std::move(Refusal));
  }

  /// Counts a statement's bytes until its callback is destroyed, which is when
  /// it has been answered or abandoned.
  void countBytes(incoming_statement &Arrived, std::size_t Bytes) {
    StatementBytes += Bytes;
    std::shared_ptr<void> Counted(
        nullptr, [this, Bytes](void *) { StatementBytes -= Bytes; });
    Arrived.Reply = [Counted, Reply = std::move(Arrived.Reply)](
                        wire::statement_reply Answer) {
      Reply(std::move(Answer));
    };
  }

  void cancel(const statement_key &Key) {
    for (const auto &[Group, Gateway] : Groups)
      Gateway->cancel(Key);
  }

  void release(link_id Link, transaction_id Transaction) {
    for (const auto &[Group, Gateway] : Groups)
      Gateway->release(Link, Transaction);
  }
};

gateway_service::gateway_service(daemon_context &Context, link_hub &Hub,
                                 member_agent &Member,
                                 gateway_settings Settings)
    : State(
          std::make_unique<state>(Context, Hub, Member, std::move(Settings))) {
  State->attach();
}

gateway_service::~gateway_service() = default;

void gateway_service::start() { State->start(); }

void gateway_service::submitLocal(
    request_id Request, wire::statement_request Statement,
    const std::string &TraceParent,
    std::function<void(wire::statement_reply)> Reply) {
  State->submit({{LocalLink, Request},
                 std::move(Statement),
                 TraceParent,
                 std::move(Reply)});
}

void gateway_service::cancelLocal(request_id Request) {
  State->cancel({LocalLink, Request});
}

void gateway_service::releaseLocal(transaction_id Transaction) {
  State->release(LocalLink, Transaction);
}

std::size_t gateway_service::inFlight() const {
  std::size_t Count = 0;
  for (const auto &[Group, Gateway] : State->Groups)
    Count += Gateway->inFlight();
  return Count;
}

} // namespace teasellock
