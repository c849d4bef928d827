#include "modules/control/promotion_orders.h"

#include "modules/control/leases.h"

namespace teasellock {

namespace {

group_orders &ordersOfTerm(const group_state &Group, leader_state &Leader,
                           time_point Now) {
  auto &Orders = Leader.Orders[Group.Group];
  if (Orders.Term != Group.Term) {
    Orders.Term = Group.Term;
    Orders.FencingSince = Now;
    Orders.FenceSentAt.clear();
    Orders.FenceReplies.clear();
    Orders.OrdersSent = 0;
    Orders.LastReply.reset();
  }
  return Orders;
}

} // namespace

const group_orders *ordersOf(const group_state &Group,
                             const leader_state &Leader) {
  auto Found = Leader.Orders.find(Group.Group);
  if (Found == Leader.Orders.end() || Found->second.Term != Group.Term)
    return nullptr;
  return &Found->second;
}

void recordFencesSent(const group_state &Group, leader_state &Leader,
                      const std::vector<gateway_incarnation> &Gateways,
                      time_point Now) {
  auto &Orders = ordersOfTerm(Group, Leader, Now);
  for (const auto &Gateway : Gateways)
    Orders.FenceSentAt[Gateway] = Now;
}

void recordFenceReply(const group_state &Group, leader_state &Leader,
                      const gateway_incarnation &Gateway,
                      const wire::fence_reply &Reply, time_point FenceSentAt) {
  if (static_cast<std::uint64_t>(Reply.term) != Group.Term.Value)
    return;
  auto &Orders = ordersOfTerm(Group, Leader, FenceSentAt);
  auto &Answer = Orders.FenceReplies[Gateway];
  position Highest =
      std::max(Answer.Acknowledged, fromWire(Reply.acknowledged));
  if (FenceSentAt >= Answer.FenceSentAt) {
    Answer.FenceSentAt = FenceSentAt;
    Answer.Upstreams = parseReports(Reply.upstreams);
  }
  Answer.Acknowledged = Highest;
}

void recordOrderSent(const group_state &Group, leader_state &Leader,
                     time_point Now) {
  auto &Orders = ordersOfTerm(Group, Leader, Now);
  Orders.LastOrderSentAt = Now;
  ++Orders.OrdersSent;
  Orders.LastReply.reset();
}

void recordPromoteReply(const group_state &Group, leader_state &Leader,
                        const wire::promote_reply &Reply) {
  if (!Group.Promotion || !Group.Promotion->Chosen ||
      static_cast<std::uint64_t>(Reply.term) != Group.Term.Value ||
      Reply.upstream != Group.Promotion->Chosen->Value)
    return;
  auto &Orders = Leader.Orders[Group.Group];
  if (Orders.Term == Group.Term)
    Orders.LastReply = Reply;
}

} // namespace teasellock
