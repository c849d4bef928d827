/// The life of one statement at the entry and what may be said of it when its
/// answer is lost.
#pragma once

#include <cstdint>

namespace teasellock {

/// How far a statement got.
enum class statement_life {
  /// It waits at the entry. Earlier attempts were answered "not run" or lost.
  NotSent,
  /// A gateway was sent it and owes the answer.
  Sent,
  /// The caller has been told how it ended.
  Answered,
};

/// What decides how a lost statement is treated.
struct statement_facts {
  bool Write = false;
  bool InTransaction = false;
  bool OpensTransaction = false;
  /// It may end a transaction that wrote.
  bool MayCommit = false;
  bool HasIdempotencyKey = false;
};

/// What to do with a statement whose answer can no longer come.
enum class loss_action {
  /// Send it again to any gateway.
  Retry,
  /// Send it again under its key; an earlier attempt may have run.
  RetryWithKey,
  /// Tell the caller that it may or may not have run.
  ReportUnknown,
  /// Tell the caller that its transaction was rolled back.
  ReportRolledBack,
  /// Break off an answer of which the caller has seen a part.
  BreakOff,
};

/// Whether losing the answer leaves the outcome open: it may have changed data
/// for good.
bool outcomeOpenWhenLost(const statement_facts &Facts);

/// Decides on a statement whose answer can no longer come. PartForwarded: the
/// caller has seen a part of the answer.
loss_action onAnswerLost(const statement_facts &Facts, bool PartForwarded);

} // namespace teasellock
