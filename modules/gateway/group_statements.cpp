#include "core/event_log.h"
#include "modules/gateway/group_state.h"
#include "modules/upstream/message_encoder.h"

namespace teasellock {

namespace {

constexpr std::uint32_t MostReadAttempts = 5;
constexpr duration DefaultTimeout = std::chrono::seconds(30);
constexpr const char *CannotConnectNow = "57P03";
constexpr const char *TooManyConnections = "53300";
constexpr const char *NoActiveTransaction = "25P01";
constexpr const char *TransactionEnded =
    "the transaction has ended and was rolled back";

bool asksForReadOnly(const gateway_statement &Statement) {
  for (const auto &[Name, Value] : Statement.Request.settings)
    if (Name.find("read_only") != std::string::npos)
      return true;
  return false;
}

// The primary has turned into a replica and refused the whole write.
bool refusedByReplica(const gateway_statement &Statement,
                      const run_result &Result) {
  return Result.Failure && Result.Failure->Code == ReadOnlyTransaction &&
         Result.Completed == 0 && !Statement.inTransaction() &&
         !Statement.isRead() && !asksForReadOnly(Statement);
}

// Whether the answer tells of a commit, so that it needs the gate.
bool mayHaveCommitted(const gateway_statement &Statement,
                      const run_result &Result) {
  if (Statement.isRead() || Result.TransactionStatus != 'I')
    return false;
  if (Result.Failure && Result.Completed == 0)
    return false;
  return !(Result.Completed > 0 && Result.OnlyRollbacks);
}

} // namespace

void group_gateway::state::submit(arrived_statement Arrived) {
  auto Owned = std::make_unique<gateway_statement>();
  gateway_statement &Statement = *Owned;
  Statement.Id = ++LastStatement;
  Statement.Caller = Arrived.Caller;
  Statement.Request = std::move(Arrived.Statement);
  Statement.Reply = std::move(Arrived.Reply);
  Statement.ArrivedAt = now();
  duration Timeout = Statement.Request.timeout_ms > 0
                         ? fromMilliseconds(Statement.Request.timeout_ms)
                         : DefaultTimeout;
  Statement.Deadline = Statement.ArrivedAt + Timeout;
  Statement.Span = Context.Tracer.start("gateway.statement",
                                        parseTraceParent(Arrived.TraceParent));
  Statements.emplace(Statement.Id, std::move(Owned));
  begin(Statement);
}

void group_gateway::state::begin(gateway_statement &Statement) {
  if (Statement.inTransaction() && !Statement.Request.opens_transaction)
    return continueTransaction(Statement);
  if (!Assigned)
    return refuse(Statement, CannotConnectNow,
                  "this VM does not serve the group", true);
  if (Statement.inTransaction() &&
      Transactions.contains(Statement.transactionKey()))
    return refuse(Statement, CannotConnectNow, "the transaction is open");
  if (static_cast<std::uint64_t>(Statement.Request.term) > View.Term.Value) {
    Member.Hurry();
    return refuse(Statement, CannotConnectNow,
                  "this VM has not heard of the new primary yet");
  }
  Statement.isRead() ? beginRead(Statement) : beginWrite(Statement);
}

bool group_gateway::state::mayWrite() const {
  if (!View.Primary || !mayAcknowledge(Gate, View.Term) || !Member.LeaseValid())
    return false;
  auto Slot = Upstreams.find(*View.Primary);
  return Slot != Upstreams.end() && Slot->second.Prober;
}

void group_gateway::state::beginWrite(gateway_statement &Statement) {
  if (!mayWrite())
    return refuse(Statement, CannotConnectNow,
                  "no primary may be written to now", !View.Primary);
  Statement.Upstream = *View.Primary;
  Statement.ByReplica = false;
  Statement.Term = View.Term;
  admit(Statement, work_class::Write);
}

void group_gateway::state::beginRead(gateway_statement &Statement) {
  if (!Statement.Floor && Statement.Request.floor_known)
    Statement.Floor = fromWire(Statement.Request.floor);
  if (!Statement.Floor) {
    Statement.Phase = statement_phase::AwaitingFloor;
    return probePrimary();
  }
  Statement.CatchupDeadline = now() + View.Row.CatchupTimeout;
  if (chooseUpstream(Statement))
    return;
  Statement.Phase = statement_phase::AwaitingReplica;
  probeReplicas();
}

bool group_gateway::state::serves(const upstream_slot &Slot) const {
  return Slot.Prober && Slot.Health.Reachable && !Slot.Announcement.Leaving;
}

bool group_gateway::state::chooseUpstream(gateway_statement &Statement) {
  std::vector<replica_candidate> Candidates;
  for (const auto &[Id, Slot] : Upstreams) {
    if (!serves(Slot) || !Slot.Health.Status.Replica ||
        (View.Primary && *View.Primary == Id) ||
        Statement.Excluded.contains(Id))
      continue;
    const upstream_admission &Use = Admission.Upstreams[Id];
    replica_candidate Candidate;
    Candidate.Upstream = Id;
    Candidate.AvailabilityZone = Slot.Announcement.AvailabilityZone;
    Candidate.Region = Slot.Announcement.Region;
    Candidate.Replayed = Slot.Health.Status.Position;
    Candidate.Age = History.ageOf(Candidate.Replayed, now());
    Candidate.Weight = weightOf(View.Row, Id, Candidate.AvailabilityZone);
    Candidate.InFlight =
        Use.Running + static_cast<std::uint32_t>(Use.Queue.size());
    Candidate.Slots = Use.SlotLimit;
    Candidates.push_back(std::move(Candidate));
  }
  read_demand Demand;
  Demand.Floor = *Statement.Floor;
  Demand.MostAge =
      toleratedAge(View.Row, read_kind(Statement.Request.read_kind));
  Demand.AvailabilityZone = Context.Self.AvailabilityZone;
  Demand.Region = Context.Self.Region;
  std::optional<std::size_t> Chosen = chooseReplica(Candidates, Demand);
  if (!Chosen)
    return false;
  Statement.Upstream = Candidates[*Chosen].Upstream;
  Statement.ByReplica = true;
  admit(Statement, work_class::Read);
  return true;
}

void group_gateway::state::readFromPrimary(gateway_statement &Statement) {
  if (Statement.Deadline <= now())
    return Statement.Attempts > 0
               ? giveUpUnknown(Statement, "no upstream could answer in time")
               : refuse(Statement, CannotConnectNow,
                        "no upstream could answer in time");
  if (!mayWrite() || Statement.Excluded.contains(*View.Primary) ||
      !serves(Upstreams[*View.Primary]))
    return;
  Statement.Upstream = *View.Primary;
  Statement.ByReplica = false;
  Statement.Term = View.Term;
  admit(Statement, work_class::Read);
}

void group_gateway::state::continueTransaction(gateway_statement &Statement) {
  auto Found = Transactions.find(Statement.transactionKey());
  if (Found == Transactions.end())
    return refuse(Statement, NoActiveTransaction, TransactionEnded);
  pinned_transaction &Transaction = Found->second;
  if (Transaction.Statement != 0)
    return refuse(Statement, CannotConnectNow,
                  "the transaction runs another statement");
  Transaction.Statement = Statement.Id;
  Statement.Upstream = Transaction.Upstream;
  Statement.Term = Transaction.Term;
  Statement.ByReplica = Transaction.ByReplica;
  admit(Statement, work_class::Pinned);
}

void group_gateway::state::admit(gateway_statement &Statement,
                                 work_class Class) {
  Statement.Phase = statement_phase::Queued;
  Statement.QueuedAt = now();
  queued_work Work;
  Work.Id = Statement.Id;
  Work.Class = Class;
  // A statement of a transaction waits as long as its caller does.
  Work.Deadline = Class == work_class::Pinned
                      ? Statement.Deadline
                      : std::min(Statement.Deadline,
                                 Statement.QueuedAt + View.Row.QueueTimeout);
  upstream_id Upstream = Statement.Upstream;
  admission_effects Effects;
  teasellock::submit(Admission, Upstream, Work, Effects);
  applyEffects(Upstream, std::move(Effects));
}

void group_gateway::state::applyEffects(const upstream_id &Upstream,
                                        admission_effects Effects) {
  if (Effects.CloseIdle > 0)
    if (upstream_slot *Slot = findUpstream(Upstream))
      Slot->Pool->closeIdle(Effects.CloseIdle);
  for (const queued_work &Work : Effects.Start)
    onAdmitted(Upstream, Work);
  for (std::uint64_t Id : Effects.Shed) {
    gateway_statement *Statement = find(Id);
    if (!Statement)
      continue;
    Context.Metrics
        .counterOf("teasellock_shed_total",
                   {{"group", View.Group.Value},
                    {"class", Statement->isRead() ? "read" : "write"}})
        .add();
    auto Transaction = Transactions.find(Statement->transactionKey());
    if (Transaction != Transactions.end() &&
        Transaction->second.Statement == Id)
      Transaction->second.Statement = 0;
    if (Statement->Purpose == run_purpose::Tombstone)
      resolveKey(*Statement, "too many statements are waiting");
    else
      refuse(*Statement, TooManyConnections, "too many statements are waiting");
  }
}

void group_gateway::state::onAdmitted(const upstream_id &Upstream,
                                      const queued_work &Work) {
  std::uint64_t Id = Work.Id;
  gateway_statement *Found = find(Id);
  upstream_slot *Slot = findUpstream(Upstream);
  if (!Found || !Slot) {
    gateway_statement Nobody;
    Nobody.Upstream = Upstream;
    freeConnection(Nobody, Work.Class == work_class::Pinned
                               ? connection_fate::Keep
                               : connection_fate::Close);
    return Found ? refuse(*Found, CannotConnectNow, "the upstream is gone")
                 : void();
  }
  gateway_statement &Statement = *Found;
  Statement.Phase = statement_phase::Acquiring;
  QueueSeconds.observe(now() - Statement.QueuedAt);
  if (pooled_connection *Pinned = connectionOf(Statement))
    return run(Statement, *Pinned);
  // Its transaction ended while it waited: it must not run outside of it.
  if (Work.Class == work_class::Pinned) {
    freeConnection(Statement, connection_fate::Keep);
    return refuse(Statement, NoActiveTransaction, TransactionEnded);
  }
  session_settings Wanted(Statement.Request.settings.begin(),
                          Statement.Request.settings.end());
  Slot->Pool->acquire(
      std::move(Wanted),
      [Weak = weak_from_this(), Id, Upstream](acquired_connection Acquired) {
        if (auto Self = Weak.lock())
          Self->onAcquired(Id, Upstream, std::move(Acquired));
      });
}

pooled_connection *
group_gateway::state::connectionOf(gateway_statement &Statement) {
  if (Statement.Connection)
    return Statement.Connection.get();
  if (!Statement.inTransaction())
    return nullptr;
  auto Found = Transactions.find(Statement.transactionKey());
  return Found == Transactions.end() ? nullptr : Found->second.Connection.get();
}

void group_gateway::state::onAcquired(std::uint64_t Id,
                                      const upstream_id &Upstream,
                                      acquired_connection Acquired) {
  gateway_statement *Statement = find(Id);
  if (!Statement) {
    // The caller went away meanwhile.
    gateway_statement Nobody;
    Nobody.Upstream = Upstream;
    Nobody.Connection = std::move(Acquired.Connection);
    return freeConnection(Nobody, connection_fate::Free);
  }
  Statement->Connection = std::move(Acquired.Connection);
  if (!Statement->Connection) {
    freeConnection(*Statement, connection_fate::Close);
    if (upstream_slot *Slot = findUpstream(Upstream); Slot && Slot->Prober)
      Slot->Prober->want();
    if (!Acquired.SettingsRejected.empty()) {
      Statement->Held.push_back(std::move(Acquired.SettingsRejected));
      return answer(*Statement, position(), 'I');
    }
    if (Statement->Purpose == run_purpose::Tombstone)
      return resolveKey(*Statement, Acquired.Problem->reason());
    if (Statement->isRead())
      return retryRead(*Statement, Acquired.Problem->reason());
    return refuse(*Statement, CannotConnectNow, Acquired.Problem->reason());
  }
  bool Stale =
      !Statement->ByReplica && (!mayWrite() || Statement->Term != View.Term);
  if (!Stale)
    return run(*Statement, *Statement->Connection);
  freeConnection(*Statement, connection_fate::Free);
  if (Statement->Purpose == run_purpose::Tombstone)
    return resolveKey(*Statement, "the primary was replaced");
  if (Statement->isRead())
    return retryRead(*Statement, "the primary was replaced");
  refuse(*Statement, CannotConnectNow, "the primary was replaced");
}

void group_gateway::state::run(gateway_statement &Statement,
                               pooled_connection &Connection) {
  Statement.Phase = statement_phase::Running;
  Statement.SentAt = now();
  Statement.LastAlive = Statement.SentAt;
  Statement.UpstreamSpan =
      Context.Tracer.start("upstream.statement", Statement.Span.context());
  Statement.UpstreamSpan.set("upstream", Statement.Upstream.Value);
  std::uint64_t Id = Statement.Id;
  auto Weak = weak_from_this();
  run_events Events;
  Events.Part = [Weak, Id](std::string Part) {
    if (auto Self = Weak.lock())
      Self->onPart(Id, std::move(Part));
  };
  Events.Done = [Weak, Id](run_result Result) {
    if (auto Self = Weak.lock())
      Self->onDone(Id, std::move(Result));
  };
  Connection.Connection->run(operationsOf(Statement), std::move(Events));
}

void group_gateway::state::onPart(std::uint64_t Id, std::string Part) {
  gateway_statement *Statement = find(Id);
  if (!Statement)
    return;
  bool Good = Statement->ByReplica || Statement->inTransaction() ||
              (mayWrite() && Statement->Term == View.Term);
  // What is held back is passed on or dropped when the answer is whole.
  if (!Statement->isRead() || !Good || !Statement->Held.empty()) {
    Statement->Held.push_back(std::move(Part));
    return;
  }
  Statement->Forwarded = true;
  wire::statement_reply Message;
  Message.outcome = wire::statement_outcome::answered;
  Message.messages = std::move(Part);
  Message.last = false;
  reply(*Statement, std::move(Message));
}

void group_gateway::state::onDone(std::uint64_t Id, run_result Result) {
  gateway_statement *Statement = find(Id);
  if (!Statement)
    return;
  if (Statement->Purpose == run_purpose::KeyLookup)
    return onKeyLookup(Id, std::move(Result));
  if (Statement->Purpose == run_purpose::Tombstone)
    return onTombstone(*Statement, std::move(Result));
  StatementSeconds.observe(now() - Statement->SentAt);
  Statement->UpstreamSpan.end();
  if (Result.Broken)
    return onBroken(*Statement, Result);
  if (isKeyConflict(*Statement, Result))
    return lookUpKey(*Statement);
  conclude(*Statement, std::move(Result));
}

void group_gateway::state::onBroken(gateway_statement &Statement,
                                    const run_result &Result) {
  std::string Problem =
      Result.Problem.empty() ? "the connection was lost" : Result.Problem;
  auto Pinned = Transactions.find(Statement.transactionKey());
  bool WasPinned = Statement.inTransaction() && Pinned != Transactions.end();
  if (WasPinned) {
    Statement.Connection = std::move(Pinned->second.Connection);
    Transactions.erase(Pinned);
  }
  if (upstream_slot *Slot = findUpstream(Statement.Upstream);
      Slot && Slot->Prober)
    Slot->Prober->want();
  freeConnection(Statement, connection_fate::Close);
  if (WasPinned)
    return Result.Sent
               ? giveUpUnknown(Statement, Problem)
               : refuse(Statement, NoActiveTransaction, TransactionEnded);
  if (Statement.isRead())
    return retryRead(Statement, Problem);
  if (!Result.Sent)
    return refuse(Statement, CannotConnectNow, Problem);
  if (!Statement.Request.idempotency_key.empty())
    return resolveKey(Statement, Problem);
  giveUpUnknown(Statement, Problem);
}

void group_gateway::state::conclude(gateway_statement &Statement,
                                    run_result Result) {
  if (!Result.Messages.empty())
    Statement.Held.push_back(std::move(Result.Messages));
  char Status = Result.TransactionStatus;
  giveBack(Statement, Status, Result.SessionChanged);
  if (!Statement.inTransaction())
    Status = 'I';
  if (refusedByReplica(Statement, Result)) {
    probePrimary();
    return refuse(Statement, CannotConnectNow, Result.Failure->Message);
  }
  if (mayHaveCommitted(Statement, Result))
    return startGate(Statement);
  upstream_slot *Slot = findUpstream(Statement.Upstream);
  position Reached = Slot ? Slot->Health.Status.Position : position();
  bool Open = Statement.inTransaction() && Status != 'I';
  if (Statement.ByReplica || Open)
    return answer(Statement, Reached, Status);
  if (mayWrite() && Statement.Term == View.Term)
    return answer(Statement, Reached, Status);
  if (Statement.isRead() && !Statement.inTransaction())
    return retryRead(Statement, "the primary may have been replaced");
  giveUpUnknown(Statement, "the primary may have been replaced");
}

void group_gateway::state::giveBack(gateway_statement &Statement,
                                    char TransactionStatus,
                                    bool SessionChanged) {
  auto Pinned = Statement.inTransaction()
                    ? Transactions.find(Statement.transactionKey())
                    : Transactions.end();
  if (Pinned != Transactions.end()) {
    Statement.Connection = std::move(Pinned->second.Connection);
    Transactions.erase(Pinned);
  }
  if (SessionChanged)
    Statement.Connection->Changed = true;
  bool StaysOpen = Statement.inTransaction() && TransactionStatus != 'I' &&
                   Statement.Connection->Connection->isOpen();
  if (StaysOpen) {
    pinned_transaction Transaction;
    Transaction.Upstream = Statement.Upstream;
    Transaction.Term = Statement.Term;
    Transaction.ByReplica = Statement.ByReplica;
    Transaction.Connection = std::move(Statement.Connection);
    Transactions.emplace(Statement.transactionKey(), std::move(Transaction));
    return freeConnection(Statement, connection_fate::Keep);
  }
  bool Usable =
      TransactionStatus == 'I' && Statement.Connection->Connection->isOpen();
  freeConnection(Statement,
                 Usable ? connection_fate::Free : connection_fate::Close);
}

void group_gateway::state::freeConnection(gateway_statement &Statement,
                                          connection_fate Fate) {
  upstream_id Upstream = Statement.Upstream;
  std::unique_ptr<pooled_connection> Connection =
      std::move(Statement.Connection);
  upstream_slot *Slot = findUpstream(Upstream);
  bool Usable = Slot && Connection && Connection->Connection->isOpen();
  if (Fate == connection_fate::Free && !Usable)
    Fate = connection_fate::Close;
  admission_effects Effects;
  bool Stays = finish(Admission, Upstream, Fate, Effects);
  if (Stays && Fate == connection_fate::Free)
    Slot->Pool->give(std::move(Connection));
  // What starts now must not run inside this statement's own end.
  if (!Effects.Start.empty() || !Effects.Shed.empty())
    Context.Loop.post([Weak = weak_from_this(), Upstream,
                       Effects = std::move(Effects)]() mutable {
      if (auto Self = Weak.lock())
        Self->applyEffects(Upstream, std::move(Effects));
    });
}

void group_gateway::state::retryRead(gateway_statement &Statement,
                                     const std::string &Problem) {
  ++Statement.Attempts;
  Statement.Held.clear();
  Statement.Excluded.insert(Statement.Upstream);
  if (Statement.Forwarded || Statement.Attempts >= MostReadAttempts ||
      Statement.Deadline <= now())
    return giveUpUnknown(Statement, Problem);
  event("gateway.read_retried")
      .with("group", View.Group.Value)
      .with("upstream", Statement.Upstream.Value)
      .with("problem", Problem);
  beginRead(Statement);
}

void group_gateway::state::startGate(gateway_statement &Statement) {
  Statement.Phase = statement_phase::AwaitingAcknowledgement;
  Statement.SentAt = now();
  waiting_write Write;
  Write.Id = Statement.Id;
  Write.Term = Statement.Term;
  Write.AnsweredAt = Statement.SentAt;
  Write.Deadline = Statement.Deadline;
  awaitAcknowledgement(Gate, Write);
  if (Statement.Term != View.Term || !mayAcknowledge(Gate, View.Term)) {
    auto Verdicts = onTerm(Gate, View.Term);
    auto Fenced = teasellock::fence(Gate, Gate.FencedTerm);
    Verdicts.insert(Verdicts.end(), Fenced.begin(), Fenced.end());
    return serveVerdicts(Verdicts);
  }
  probePrimary();
}

void group_gateway::state::cancel(gateway_statement &Statement) {
  switch (Statement.Phase) {
  case statement_phase::Queued:
    if (!withdraw(Admission, Statement.Upstream, Statement.Id))
      return;
    if (auto Pinned = Transactions.find(Statement.transactionKey());
        Pinned != Transactions.end())
      Pinned->second.Statement = 0;
    return refuse(Statement, "57014", "canceled by the caller");
  case statement_phase::AwaitingFloor:
  case statement_phase::AwaitingReplica:
    return refuse(Statement, "57014", "canceled by the caller");
  case statement_phase::Running:
    if (pooled_connection *Connection = connectionOf(Statement))
      if (upstream_slot *Slot = findUpstream(Statement.Upstream);
          Slot && Slot->Prober) {
        std::vector<upstream_operation> Operations;
        Operations.push_back(hiddenQuery(
            dialect::cancelBackEnd(Connection->Connection->backEndPid())));
        Slot->Prober->runBetween(std::move(Operations), "gateway.cancel");
      }
    return;
  default:
    // Sent or acknowledged soon; the caller drops the answer.
    return;
  }
}

void group_gateway::state::release(const transaction_key &Key) {
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Statement] : Statements)
    if (Statement->inTransaction() && Statement->transactionKey() == Key)
      Ids.push_back(Id);
  for (std::uint64_t Id : Ids) {
    gateway_statement &Statement = *find(Id);
    Statement.Reply = nullptr;
    if (Statement.Phase == statement_phase::Running) {
      run_result Ended;
      Ended.Broken = true;
      Ended.Sent = true;
      Ended.Problem = "the caller went away";
      onBroken(Statement, Ended);
    } else if (Statement.Phase != statement_phase::AwaitingAcknowledgement) {
      cancel(Statement);
      if (find(Id))
        forget(Statement);
    }
  }
  auto Found = Transactions.find(Key);
  if (Found == Transactions.end())
    return;
  upstream_id Upstream = Found->second.Upstream;
  Transactions.erase(Found);
  admission_effects Effects;
  releasePinned(Admission, Upstream, connection_fate::Close, Effects);
  applyEffects(Upstream, std::move(Effects));
}

void group_gateway::state::callerGone(link_id Link) {
  std::set<transaction_key> Keys;
  for (const auto &[Key, Transaction] : Transactions)
    if (Key.Link == Link)
      Keys.insert(Key);
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Statement] : Statements)
    if (Statement->Caller.Link == Link) {
      Statement->Reply = nullptr;
      if (Statement->inTransaction())
        Keys.insert(Statement->transactionKey());
      else
        Ids.push_back(Id);
    }
  for (std::uint64_t Id : Ids)
    if (gateway_statement *Statement = find(Id))
      cancel(*Statement);
  for (const transaction_key &Key : Keys)
    release(Key);
}

} // namespace teasellock
