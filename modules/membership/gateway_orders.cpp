#include "modules/membership/gateway_orders.h"

#include "core/event_log.h"
#include "modules/control/message_kinds.h"
#include "modules/link/codec.h"

#include <utility>

namespace teasellock {

gateway_orders::gateway_orders(link_hub &Hub, const member_state &Member)
    : Hub(Hub), Member(Member) {}

void gateway_orders::attach(gateway_hooks Hooks) { Gateway = std::move(Hooks); }

void gateway_orders::start() {
  Hub.registerReceiver(
      message_kind(FenceKind), message_kind(FenceKind),
      [this](link_id Link, link_message &&Message) { onFence(Link, Message); });
  Hub.registerReceiver(message_kind(PromoteKind), message_kind(PromoteKind),
                       [this](link_id Link, link_message &&Message) {
                         onPromote(Link, Message);
                       });
  Hub.registerReceiver(
      message_kind(ResumeKind), message_kind(ResumeKind),
      [this](link_id, link_message &&Message) { onResume(Message); });
}

std::vector<wire::group_report> gateway_orders::buildReports() const {
  return Gateway.BuildReports ? Gateway.BuildReports()
                              : std::vector<wire::group_report>();
}

void gateway_orders::onResume(const link_message &Message) {
  auto Resume = decode<wire::resume>(Message.Body, "control");
  event("membership.resume").with("group", Resume.group);
  if (Gateway.Resume)
    Gateway.Resume(group_id(Resume.group));
}

template <typename Reply>
void gateway_orders::sendReply(link_id Link, request_id Request,
                               std::int16_t Kind, const Reply &Body) {
  Hub.send(Link, {message_kind(Kind), Request, encode(Body), ""});
}

void gateway_orders::onFence(link_id Link, const link_message &Message) {
  auto Fence = decode<wire::fence>(Message.Body, "control");
  event("membership.fence").with("group", Fence.group).with("term", Fence.term);
  auto Request = Message.Request;
  if (!Gateway.Fence) {
    // A VM without the gateway role has never acknowledged anything.
    wire::fence_reply Reply;
    Reply.group = Fence.group;
    Reply.term = Fence.term;
    sendReply(Link, Request, FenceReplyKind, Reply);
    return;
  }
  Gateway.Fence(Fence, [this, Link, Request](wire::fence_reply Reply) {
    sendReply(Link, Request, FenceReplyKind, Reply);
  });
}

void gateway_orders::onPromote(link_id Link, const link_message &Message) {
  auto Order = decode<wire::promote>(Message.Body, "control");
  auto Request = Message.Request;
  std::string Problem = Gateway.Promote ? promotionRefusal(Member, Order)
                                        : "this VM is not a gateway";
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
    sendReply(Link, Request, PromoteReplyKind, Reply);
    return;
  }
  Gateway.Promote(Order, [this, Link, Request](wire::promote_reply Reply) {
    sendReply(Link, Request, PromoteReplyKind, Reply);
  });
}

} // namespace teasellock
