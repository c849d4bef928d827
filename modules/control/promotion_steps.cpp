#include "modules/control/promotion_steps.h"

#include "modules/control/open_orders.h"

#include <utility>

namespace teasellock {

group_decision waitingFor(std::string Reason) {
  group_decision Decision;
  Decision.WaitingReason = std::move(Reason);
  return Decision;
}

group_decision changeTo(group_state Next, std::string Kind,
                        std::string Reason) {
  group_decision Decision;
  Decision.Next = std::move(Next);
  Decision.Kind = std::move(Kind);
  Decision.Reason = std::move(Reason);
  return Decision;
}

group_state beginFencing(const group_state &Group, const std::string &Reason) {
  group_state Next = Group;
  Next.Promotion = promotion_state();
  Next.Promotion->Reason = Reason;
  Next.Promotion->FencedTerm = Group.Term;
  Next.Promotion->Deposed = Group.Primary;
  if (Group.Primary)
    if (auto Known = Group.Upstreams.find(*Group.Primary);
        Known != Group.Upstreams.end())
      Next.Promotion->DeposedIncarnation = Known->second.Incarnation;
  Next.Promotion->MayHaveLed = hasOrdersExceptFor(Group, Group.Primary);
  Next.Primary.reset();
  return Next;
}

} // namespace teasellock
