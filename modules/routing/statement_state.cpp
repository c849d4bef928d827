#include "modules/routing/statement_state.h"

namespace teasellock {

bool isOutcomeUnknownWhenLost(const statement_traits &Facts) {
  if (Facts.InTransaction)
    return Facts.MayCommit;
  return Facts.Write;
}

loss_action chooseLossAction(const statement_traits &Facts,
                             bool PartForwarded) {
  if (isOutcomeUnknownWhenLost(Facts)) {
    // A key covers only requests that contain their transaction from its start.
    bool Whole = !Facts.InTransaction || Facts.OpensTransaction;
    if (Facts.HasIdempotencyKey && Whole && !PartForwarded)
      return loss_action::RetryWithKey;
    return loss_action::ReportUnknown;
  }
  if (Facts.InTransaction && !Facts.OpensTransaction)
    return loss_action::ReportRolledBack;
  if (!PartForwarded)
    return loss_action::Retry;
  return Facts.InTransaction ? loss_action::ReportRolledBack
                             : loss_action::AbortAnswer;
}

} // namespace teasellock
