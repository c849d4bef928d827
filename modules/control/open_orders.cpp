#include "modules/control/open_orders.h"

#include "modules/control/promotion_steps.h"

#include <algorithm>

namespace teasellock {

namespace {

group_decision orderForPrimary(const group_state &Group,
                               const std::string &Reason) {
  group_state Next = Group;
  addOrder(Next, *Group.Primary);
  auto Decision = changeTo(std::move(Next), "order_primary",
                           Group.Primary->Value + ": " + Reason);
  Decision.AddsOrder = true;
  return Decision;
}

/// Counts the open orders for upstreams other than this one and than a primary
/// that is being replaced without being demoted: it leads already, so that
/// orders for it change nothing.
std::uint32_t countOrders(const group_state &Group,
                          const std::optional<upstream_id> &Except) {
  std::uint32_t Result = 0;
  for (const auto &[Name, Count] : Group.OpenOrders) {
    bool IsDeposed = Group.Promotion && !Group.Promotion->Planned &&
                     Group.Promotion->Deposed == Name;
    if (Name != Except && !IsDeposed)
      Result += Count;
  }
  return Result;
}

} // namespace

const order_progress *orderProgressOf(const group_state &Group,
                                      const leader_state &Leader) {
  auto Found = Leader.PlatformOrders.find(Group.Group);
  if (Found == Leader.PlatformOrders.end() ||
      Found->second.DecidedNumber != Group.OrderNumber)
    return nullptr;
  return &Found->second;
}

void addOrder(group_state &Next, const upstream_id &Upstream) {
  ++Next.OrderNumber;
  ++Next.OpenOrders[Upstream];
}

void endOrder(group_state &Next, const upstream_id &Upstream) {
  auto Found = Next.OpenOrders.find(Upstream);
  if (Found != Next.OpenOrders.end() && --Found->second == 0)
    Next.OpenOrders.erase(Found);
}

bool hasOrdersForOthers(const group_state &Group, const upstream_id &Upstream) {
  return countOrders(Group, Upstream) > 0;
}

bool hasOrdersExceptFor(const group_state &Group,
                        const std::optional<upstream_id> &Upstream) {
  return std::any_of(
      Group.OpenOrders.begin(), Group.OpenOrders.end(),
      [&](const auto &Order) { return Order.first != Upstream; });
}

std::uint32_t countOrdersForOthers(const group_state &Group) {
  return countOrders(Group,
                     Group.Promotion ? Group.Promotion->Chosen : std::nullopt);
}

bool mayOrdersTakeEffect(const group_state &Group, const leader_state &Leader,
                         const decision_settings &Settings, time_point Now) {
  time_point Last = Leader.LeadingSince;
  if (const auto *Progress = orderProgressOf(Group, Leader))
    Last = std::max(Last, Progress->AnsweredAt);
  return Now - Last < Settings.OrderEffectTimeout;
}

group_decision decideOpenOrders(const group_state &Group,
                                const leader_state &Leader,
                                const decision_settings &Settings,
                                time_point Now, bool PrimaryLeads) {
  const auto *Progress = orderProgressOf(Group, Leader);
  auto Order = [&](const std::string &Reason) {
    return PrimaryLeads ? orderForPrimary(Group, Reason)
                        : waitingFor("the primary is not known to lead");
  };
  if (!Progress)
    return Order("orders of an earlier leader may be open");
  if (Progress->SentNumber != Group.OrderNumber) {
    group_decision Decision;
    Decision.Order =
        promotion_order{Group.Group, *Group.Primary, Group.Revision};
    Decision.WaitingReason = "ordering the primary, to end earlier orders";
    return Decision;
  }
  duration Since = Now - Progress->SentAt;
  bool HasFailed = Progress->Answer == promotion_answer::Unknown &&
                   Since >= FailedOrderDelay;
  if (HasFailed || (!Progress->Answer && Since >= Settings.PlatformTimeout))
    return Order("the last order got no answer");
  if (!Progress->Answer || Progress->Answer == promotion_answer::Unknown ||
      Now - Progress->AnsweredAt < Settings.OrderEffectTimeout)
    return waitingFor("earlier orders to promote may still take effect");
  group_state Next = Group;
  Next.OpenOrders.clear();
  return changeTo(std::move(Next), "orders_ended",
                  "the last order was answered, and earlier ones have taken "
                  "effect or are refused");
}

void recordOrderDecided(const group_decision &Decision, leader_state &Leader) {
  if (Decision.AddsOrder)
    Leader.PlatformOrders[Decision.Next->Group].DecidedNumber =
        Decision.Next->OrderNumber;
}

void recordPlatformOrderSent(const group_state &Group, leader_state &Leader,
                             time_point Now) {
  auto &Progress = Leader.PlatformOrders[Group.Group];
  Progress.SentNumber = Group.OrderNumber;
  Progress.SentAt = Now;
  Progress.Answer.reset();
}

void recordPlatformAnswer(const group_id &Group, leader_state &Leader,
                          std::uint64_t OrderNumber, promotion_answer Answer,
                          time_point Now) {
  auto Progress = Leader.PlatformOrders.find(Group);
  if (Progress == Leader.PlatformOrders.end() ||
      Progress->second.SentNumber != OrderNumber)
    return;
  Progress->second.Answer = Answer;
  Progress->second.AnsweredAt = Now;
}

} // namespace teasellock
