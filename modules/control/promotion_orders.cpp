#include "modules/control/promotion_orders.h"

#include "modules/control/leases.h"

namespace teasellock {

namespace {

group_orders &beginOrders(const group_state &Group, leader_state &Leader,
                          time_point Now) {
  auto &Orders = Leader.Orders[Group.Group];
  if (Orders.Term != Group.Term) {
    Orders.Term = Group.Term;
    Orders.FencingSince = Now;
    Orders.AskedAt.clear();
    Orders.Answers.clear();
    Orders.OrdersSent = 0;
    Orders.Reply.reset();
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

void noteFencesSent(const group_state &Group, leader_state &Leader,
                    const std::vector<gateway_run> &Runs, time_point Now) {
  auto &Orders = beginOrders(Group, Leader, Now);
  for (const auto &Run : Runs)
    Orders.AskedAt[Run] = Now;
}

void takeFenceReply(const group_state &Group, leader_state &Leader,
                    const gateway_run &Run, const wire::fence_reply &Reply,
                    time_point AskedAt) {
  if (static_cast<std::uint64_t>(Reply.term) != Group.Term.Value)
    return;
  auto &Orders = beginOrders(Group, Leader, AskedAt);
  auto &Answer = Orders.Answers[Run];
  position Highest =
      std::max(Answer.Acknowledged, fromWire(Reply.acknowledged));
  if (AskedAt >= Answer.AskedAt) {
    Answer.AskedAt = AskedAt;
    Answer.Upstreams = readReports(Reply.upstreams);
  }
  Answer.Acknowledged = Highest;
}

void noteOrderSent(const group_state &Group, leader_state &Leader,
                   time_point Now) {
  auto &Orders = beginOrders(Group, Leader, Now);
  Orders.OrderedAt = Now;
  ++Orders.OrdersSent;
  Orders.Reply.reset();
}

void takePromoteReply(const group_state &Group, leader_state &Leader,
                      const wire::promote_reply &Reply) {
  if (!Group.Promotion || !Group.Promotion->Chosen ||
      static_cast<std::uint64_t>(Reply.term) != Group.Term.Value ||
      Reply.upstream != Group.Promotion->Chosen->Value)
    return;
  auto &Orders = Leader.Orders[Group.Group];
  if (Orders.Term == Group.Term)
    Orders.Reply = Reply;
}

} // namespace teasellock
