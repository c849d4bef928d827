#include "modules/routing/statement_state.h"

namespace teasellock {

bool isOutcomeUnknownWhenLost(const statement_traits &Traits) {
  if (Traits.InTransaction)
    return Traits.MayCommit;
  return Traits.Write;
}

loss_action chooseLossAction(const statement_traits &Traits,
                             bool PartForwarded) {
  if (isOutcomeUnknownWhenLost(Traits)) {
    // A key covers only requests that contain their transaction from its start.
    bool Whole = !Traits.InTransaction || Traits.OpensTransaction;
    if (Traits.HasIdempotencyKey && Whole && !PartForwarded)
      return loss_action::RetryWithKey;
    return loss_action::ReportUnknown;
  }
  if (Traits.InTransaction && !Traits.OpensTransaction)
    return loss_action::ReportRolledBack;
  if (!PartForwarded)
    return loss_action::Retry;
  return Traits.InTransaction ? loss_action::ReportRolledBack
                              : loss_action::AbortAnswer;
}

} // namespace teasellock
