#include "core/event_log.h"
#include "modules/gateway/refusals.h"
#include "modules/line/line_group_state.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Delay before a statement that could not be executed is tried again.
constexpr duration RetryDelay = std::chrono::milliseconds(5);
constexpr std::uint32_t MostAttempts = 12;
/// A read is hedged, that is, sent to another upstream as well, once it takes
/// this many times the usual latency, but not before the minimum delay, which
/// lies beyond the tail of ordinary latencies.
constexpr int HedgeFactor = 4;
constexpr duration LeastHedgeDelay = std::chrono::milliseconds(150);
constexpr std::uint32_t MostHedges = 3;
/// A detached attempt's connection is closed when its answer has not arrived
/// after this.
constexpr duration StragglerPatience = std::chrono::milliseconds(2000);
/// A busy upstream receives no statements for this long: less than a statement
/// usually takes.
constexpr duration BusyDelay = std::chrono::milliseconds(10);

} // namespace

//===----------------------------------------------------------------------===//
// Detached attempts
//===----------------------------------------------------------------------===//

/// Reports whether the answer belongs to a detached attempt. If so, releases
/// the attempt's connection.
bool line_group::takeStraggler(line_attempt_key Key, const line_run &Run) {
  auto Taken = Stragglers.extract(Key);
  if (Taken.empty())
    return false;
  auto &Straggler = Taken.mapped();
  if (auto *Upstream = findUpstream(Straggler.Upstream))
    --Upstream->Running;
  if (Run.Broken)
    discard(Straggler.Upstream, std::move(Straggler.Session));
  else if (Run.Answers.back().Ready.State == 'I')
    giveBack(Straggler.Upstream, std::move(Straggler.Session));
  else
    rollBack(Straggler.Upstream, std::move(Straggler.Session));
  return true;
}

/// Detaches the current attempt from its statement. Its connection stays open
/// for a while, as a replacement would have to be opened first.
void line_group::leaveBehind(line_work &Work) {
  if (!Work.Session)
    return;
  Stragglers[Work.key()] = {Work.Upstream, std::move(Work.Session),
                            now() + StragglerPatience};
}

/// Sends reads that take much longer than usual to another upstream as well:
/// the answer may have been lost.
void line_group::askElsewhere() {
  std::vector<std::uint64_t> Slow;
  for (const auto &[Id, Work] : Works) {
    const auto *Upstream = findUpstream(Work->Upstream);
    if (Work->Phase != line_phase::Running || !Work->readsOnly() || !Upstream ||
        Work->Attempts >= MostHedges)
      continue;
    duration Limit = std::max(LeastHedgeDelay, Upstream->Latency * HedgeFactor);
    if (now() - Work->SentAt > Limit)
      Slow.push_back(Id);
  }
  for (auto Id : Slow) {
    auto &Work = *Works.at(Id);
    event("statement.asked_elsewhere", severity::Debug)
        .with("id", Work.step().id)
        .with("group", View.Group.Value)
        .with("upstream", Work.Upstream.Value)
        .with("after_ms", toMilliseconds(now() - Work.SentAt));
    leaveBehind(Work);
    if (Work.Need == line_need::Replica)
      Work.Tried.insert(Work.Upstream);
    retry(Work, "no answer for much longer than usual");
  }
}

void line_group::dropStragglers() {
  std::vector<line_attempt_key> Over;
  for (const auto &[Key, Straggler] : Stragglers)
    if (now() >= Straggler.Until)
      Over.push_back(Key);
  for (const auto &Key : Over) {
    auto Taken = Stragglers.extract(Key);
    auto &Straggler = Taken.mapped();
    if (auto *Upstream = findUpstream(Straggler.Upstream))
      --Upstream->Running;
    discard(Straggler.Upstream, std::move(Straggler.Session));
  }
}

//===----------------------------------------------------------------------===//
// Outcomes
//===----------------------------------------------------------------------===//

/// The reply to a statement that succeeded.
wire::statement_reply line_group::replyOf(const line_work &Work,
                                          const line_answer &Answer) const {
  wire::statement_reply Reply;
  Reply.outcome = wire::statement_outcome::answered;
  Reply.last = true;
  Reply.upstream = Work.Upstream.Value;
  Reply.by_replica = Work.Need == line_need::Replica;
  for (const auto &Row : Answer.Rows)
    protocol().AppendRow(Reply.messages, Row);
  protocol().AppendSignature(Reply.messages, Answer.Signature);
  Reply.transaction_status = 'I';
  if (Work.changesData() && Answer.Ready.Position)
    Reply.reached = toWire(*Answer.Ready.Position);
  return Reply;
}

/// Answers a read whose connection has already been released or detached.
void line_group::answer(line_work &Work, const line_answer &Answer) {
  finish(Work, replyOf(Work, Answer));
}

void line_group::succeed(line_work &Work, const line_answer &Answer) {
  auto Reply = replyOf(Work, Answer);
  auto Session = std::move(Work.Session);
  auto Id = Work.Upstream;
  if (auto *Upstream = findUpstream(Id))
    --Upstream->Running;
  auto Key = Work.transactionKey();
  bool Gone =
      Work.inTransaction() && !Work.opens() && !Transactions.contains(Key);
  if (!Work.inTransaction()) {
    finish(Work, std::move(Reply));
    return giveBack(Id, std::move(Session));
  }
  if (Work.commits()) {
    Transactions.erase(Key);
    finish(Work, std::move(Reply));
    return giveBack(Id, std::move(Session));
  }
  if (Gone) {
    refuse(Work, line_error::Aborted, TransactionEnded);
    return rollBack(Id, std::move(Session));
  }
  auto &Transaction = Transactions[Key];
  Transaction.Upstream = Id;
  Transaction.Session = std::move(Session);
  Transaction.Wrote = Transaction.Wrote ||
                      Work.request().access == wire::statement_access::write;
  Reply.transaction_status = 'T';
  finish(Work, std::move(Reply));
}

void line_group::handleFailure(line_work &Work, const line_failure &Failure) {
  auto *Upstream = findUpstream(Work.Upstream);
  auto Id = Work.Upstream;
  if (Failure.Code == line_error::ReadOnly)
    noteLeads(Id, false, term());
  if (Failure.Code == line_error::Busy && Upstream)
    Upstream->BusyUntil = now() + BusyDelay;
  if (Failure.Code == line_error::Lagging && leader() == Id)
    Work.Demand.FloorDoubted = true;
  event("statement.refused", severity::Debug)
      .with("id", Work.step().id)
      .with("group", View.Group.Value)
      .with("upstream", Id.Value)
      .with("code", sqlStateOf(Failure.Code))
      .with("attempt", static_cast<std::uint64_t>(Work.Attempts));
  bool InTransaction = Work.inTransaction() && !Work.opens();
  bool Read =
      Work.request().access == wire::statement_access::read && !Work.commits();
  bool Repeatable =
      isNotRun(Failure.Code) || (Read && Failure.Code == line_error::Failed);
  if (Failure.Code == line_error::NoStatement && Work.Session)
    Work.Session->Prepared.clear();
  dropSession(Work);
  if (!InTransaction && Repeatable && !Work.commits()) {
    if (Failure.Code != line_error::Busy)
      Work.Tried.insert(Id);
    return retry(Work, Failure.Text);
  }
  failed(Work, Failure);
}

/// Ends the transaction of a failed statement, if any, rolls it back and
/// releases the connection.
void line_group::dropSession(line_work &Work) {
  auto Session = std::move(Work.Session);
  if (auto *Upstream = findUpstream(Work.Upstream))
    --Upstream->Running;
  Transactions.erase(Work.transactionKey());
  if (!Session)
    return;
  rollBack(Work.Upstream, std::move(Session));
}

void line_group::retry(line_work &Work, const std::string &Reason) {
  Work.Phase = line_phase::Waiting;
  Work.Reason = Reason;
  if (++Work.Attempts >= MostAttempts || now() >= Work.Deadline)
    return refuse(Work, line_error::Busy, Reason);
  if (!Assigned)
    return refuse(Work, line_error::Busy, Reason, true);
  Work.NotBefore = now() + RetryDelay;
  Queue[Work.Place] = Work.Id;
  armDeadline();
}

void line_group::lose(line_work &Work, const std::string &Reason) {
  bool Running = Work.Phase == line_phase::Running;
  bool Held = Work.Phase != line_phase::Waiting;
  auto Id = Work.Upstream;
  bool Late = now() >= Work.Deadline;
  if (Held && Late) {
    leaveBehind(Work);
  } else if (Held) {
    if (auto *Upstream = findUpstream(Id))
      --Upstream->Running;
    discard(Id, std::move(Work.Session));
  }
  auto Key = Work.transactionKey();
  bool Wrote = false;
  if (auto Found = Transactions.find(Key); Found != Transactions.end()) {
    Wrote = Found->second.Wrote;
    Transactions.erase(Found);
  }
  if (Running && Work.changesData() && (!Work.commits() || Wrote))
    return unknown(Work, line_error::InDoubt, Reason);
  if (Work.inTransaction() && !Work.opens())
    return refuse(Work, line_error::Aborted, Reason);
  if (Late)
    return refuse(Work, Running ? line_error::Timeout : line_error::Busy,
                  Reason);
  Work.Tried.insert(Id);
  retry(Work, Reason);
}

void line_group::finish(line_work &Work, wire::statement_reply Reply) {
  Reply.term =
      std::max(static_cast<std::int64_t>(View.Term.Value), Work.request().term);
  Work.Span.set("upstream", Work.Upstream.Value);
  Work.Span.end();
  auto Callback = std::move(Work.Arrived.Reply);
  Queue.erase(Work.Place);
  Works.erase(Work.Id);
  Callback(std::move(Reply));
}

void line_group::refuse(line_work &Work, line_error Code,
                        const std::string &Reason, bool NotAssigned) {
  wire::statement_reply Reply;
  Reply.outcome = wire::statement_outcome::not_run;
  Reply.last = true;
  Reply.code = sqlStateOf(Code);
  Reply.problem = Reason;
  Reply.not_assigned = NotAssigned;
  Reply.transaction_status = 'I';
  event("statement.not_run")
      .with("id", Work.step().id)
      .with("group", View.Group.Value)
      .with("code", Reply.code)
      .with("attempts", static_cast<std::uint64_t>(Work.Attempts))
      .with("waited_ms", toMilliseconds(now() - Work.ArrivedAt))
      .with("reason", Reason);
  finish(Work, std::move(Reply));
}

void line_group::failed(line_work &Work, const line_failure &Failure) {
  wire::statement_reply Reply;
  Reply.outcome = wire::statement_outcome::answered;
  Reply.last = true;
  Reply.code = sqlStateOf(Failure.Code);
  Reply.problem = Failure.Text;
  Reply.upstream = Work.Upstream.Value;
  Reply.transaction_status = 'I';
  event("statement.failed")
      .with("id", Work.step().id)
      .with("group", View.Group.Value)
      .with("upstream", Work.Upstream.Value)
      .with("code", Reply.code)
      .with("reason", Failure.Text);
  finish(Work, std::move(Reply));
}

void line_group::unknown(line_work &Work, line_error Code,
                         const std::string &Reason) {
  wire::statement_reply Reply;
  Reply.outcome = wire::statement_outcome::unknown;
  Reply.last = true;
  Reply.code = sqlStateOf(Code);
  Reply.problem = Reason;
  Reply.transaction_status = 'I';
  event("statement.unknown")
      .with("id", Work.step().id)
      .with("group", View.Group.Value)
      .with("upstream", Work.Upstream.Value)
      .with("sent_ms_ago", toMilliseconds(now() - Work.SentAt))
      .with("reason", Reason);
  finish(Work, std::move(Reply));
}

} // namespace teasellock
