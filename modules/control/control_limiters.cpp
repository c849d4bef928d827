#include "modules/control/control_service_state.h"

#include "core/event_log.h"
#include "modules/control/limiter_assignment.h"

namespace teasellock {

void control_service::state::updateLimiters() {
  if (!Leading || CommittingLimiters ||
      (Replicated.Limiters.Slots.empty() &&
       !hasLimits(Replicated.Deployment.Deployment)))
    return;
  removeEndedLimiterLeases(Leader, now());
  Leader.ControlHosts.clear();
  for (const auto &Member : Consensus.members())
    Leader.ControlHosts.insert(Member.Address.Address);
  auto Decision = decideLimiters(Replicated, Leader, Settings, now());
  if (!Decision.Next)
    return;
  for (const auto &Change : Decision.Changes)
    event("control.limiters")
        .with("slot", static_cast<std::uint64_t>(Change.Slot))
        .with("vm", Change.Vm.Value)
        .with("incarnation", Change.Incarnation.Value)
        .with("reason", Change.Reason);
  CommittingLimiters = true;
  propose(makeLimiterCommand(*Decision.Next),
          [this, Epoch = LeadershipEpoch](proposal_outcome Outcome) {
            if (Epoch != LeadershipEpoch)
              return;
            CommittingLimiters = false;
            if (Outcome == proposal_outcome::Committed)
              updateLimiters();
          });
}

void control_service::state::nudgeForLimiters() {
  for (const auto &[Name, Vm] : Leader.Vms) {
    if (Vm.LimiterRevision >= Replicated.Limiters.Revision)
      continue;
    // An earlier nudge must not delay this one.
    LastNudgeAt.erase(Name);
    nudge(Name);
  }
}

} // namespace teasellock
