/// The progress of a statement at the entry, and what to do when its answer is
/// lost.
#pragma once

#include <cstdint>

namespace teasellock {

/// The progress of a statement.
enum class statement_progress {
  /// It waits at the entry. Earlier attempts, if any, were answered as not run
  /// or their answers were lost.
  NotSent,
  /// It was sent to a gateway, whose answer is awaited.
  Sent,
  /// Its outcome has been reported to the caller.
  Answered,
};

/// The properties of a statement that decide where it is sent, and what happens
/// when its answer is lost.
struct statement_traits {
  bool Write = false;
  /// Only the primary may execute it; see needsPrimary().
  bool NeedsPrimary = false;
  bool InTransaction = false;
  bool OpensTransaction = false;
  /// It may commit a transaction that wrote.
  bool MayCommit = false;
  bool HasIdempotencyKey = false;
};

/// What to do with a statement whose answer can no longer arrive.
enum class loss_action {
  /// Retry it at any gateway.
  Retry,
  /// Retry it under its idempotency key, as this attempt may have been
  /// executed.
  RetryWithKey,
  /// Report that it may or may not have been executed.
  ReportUnknown,
  /// Report that its transaction was rolled back.
  ReportRolledBack,
  /// End an answer, of which the caller has received a part, with an error.
  AbortAnswer,
};

/// Reports whether the outcome is unknown when the answer is lost, because the
/// statement may have committed changes.
bool isOutcomeUnknownWhenLost(const statement_traits &Traits);

/// Returns what to do with a statement whose answer can no longer arrive.
/// PartForwarded: the caller has received a part of the answer.
loss_action chooseLossAction(const statement_traits &Traits,
                             bool PartForwarded);

} // namespace teasellock
