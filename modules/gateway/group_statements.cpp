#include "core/event_log.h"
#include "modules/gateway/group_state.h"
#include "modules/gateway/refusals.h"
#include "modules/upstream/message_encoder.h"

namespace teasellock {

namespace {

constexpr duration DefaultTimeout = std::chrono::seconds(30);

} // namespace

void group_gateway::state::submit(incoming_statement Arrived) {
  auto Owned = std::make_unique<gateway_statement>();
  gateway_statement &Statement = *Owned;
  Statement.Id = ++LastStatementId;
  Statement.Key = Arrived.Key;
  Statement.Request = std::move(Arrived.Statement);
  Statement.Reply = std::move(Arrived.Reply);
  Statement.ArrivedAt = now();
  duration Timeout = Statement.Request.timeout_ms > 0
                         ? fromMilliseconds(Statement.Request.timeout_ms)
                         : DefaultTimeout;
  Statement.Deadline = Statement.ArrivedAt + Timeout;
  Statement.Span = Context.Tracer.startSpan(
      "gateway.statement", parseTraceParent(Arrived.TraceParent));
  Statements.emplace(Statement.Id, std::move(Owned));
  startStatement(Statement);
}

void group_gateway::state::startStatement(gateway_statement &Statement) {
  if (Statement.inTransaction() && !Statement.Request.opens_transaction)
    return continueTransaction(Statement);
  if (!Assigned)
    return answerNotRun(Statement, CannotConnectNow,
                        "this VM does not serve the group", true);
  if (Statement.inTransaction() &&
      Transactions.contains(Statement.transactionKey()))
    return answerNotRun(Statement, CannotConnectNow,
                        "the transaction is already open");
  if (static_cast<std::uint64_t>(Statement.Request.term) > View.Term.Value) {
    Member.RenewEarly();
    return answerNotRun(
        Statement, CannotConnectNow,
        "this VM has not received the view of the new primary yet");
  }
  Statement.isRead() ? startRead(Statement) : startWrite(Statement);
}

bool group_gateway::state::canWrite() const {
  if (!View.Primary || !canAcknowledge(Gate, View.Term) ||
      !Member.IsLeaseValid())
    return false;
  auto State = Upstreams.find(*View.Primary);
  return State != Upstreams.end() && State->second.Prober;
}

void group_gateway::state::startWrite(gateway_statement &Statement) {
  if (!canWrite())
    return answerNotRun(Statement, CannotConnectNow,
                        "no primary accepts writes at present", !View.Primary);
  Statement.Upstream = *View.Primary;
  Statement.ByReplica = false;
  Statement.Term = View.Term;
  admit(Statement, work_class::Write);
}

void group_gateway::state::startRead(gateway_statement &Statement) {
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

bool group_gateway::state::canServe(const upstream_state &State) const {
  return State.Prober && State.Health.Reachable && !State.Announcement.Leaving;
}

bool group_gateway::state::chooseUpstream(gateway_statement &Statement) {
  std::vector<replica_candidate> Candidates;
  for (const auto &[Id, State] : Upstreams) {
    if (!canServe(State) || !State.Health.Status.Replica ||
        (View.Primary && *View.Primary == Id) ||
        Statement.Excluded.contains(Id))
      continue;
    const upstream_admission &Usage = Admission.Upstreams[Id];
    replica_candidate Candidate;
    Candidate.Upstream = Id;
    Candidate.AvailabilityZone = State.Announcement.AvailabilityZone;
    Candidate.Region = State.Announcement.Region;
    Candidate.Replayed = State.Health.Status.Position;
    Candidate.Age = History.ageOf(Candidate.Replayed, now());
    Candidate.Weight = weightOf(View.Row, Id, Candidate.AvailabilityZone);
    Candidate.InFlight =
        Usage.Running + static_cast<std::uint32_t>(Usage.Queue.size());
    Candidate.Slots = Usage.SlotLimit;
    Candidates.push_back(std::move(Candidate));
  }
  read_requirements Requirements;
  Requirements.Floor = *Statement.Floor;
  Requirements.MaxAge =
      maxReadAge(View.Row, read_kind(Statement.Request.read_kind));
  Requirements.AvailabilityZone = Context.Self.AvailabilityZone;
  Requirements.Region = Context.Self.Region;
  std::optional<std::size_t> Chosen = chooseReplica(Candidates, Requirements);
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
               ? answerUnknown(Statement, "no upstream could answer in time")
               : answerNotRun(Statement, CannotConnectNow,
                              "no upstream could answer in time");
  if (!canWrite() || Statement.Excluded.contains(*View.Primary) ||
      !canServe(Upstreams[*View.Primary]))
    return;
  Statement.Upstream = *View.Primary;
  Statement.ByReplica = false;
  Statement.Term = View.Term;
  admit(Statement, work_class::Read);
}

void group_gateway::state::continueTransaction(gateway_statement &Statement) {
  auto Found = Transactions.find(Statement.transactionKey());
  if (Found == Transactions.end())
    return answerNotRun(Statement, NoActiveTransaction,
                        TransactionEndedMessage);
  pinned_transaction &Transaction = Found->second;
  if (Transaction.Statement != 0)
    return answerNotRun(
        Statement, CannotConnectNow,
        "another statement of the transaction is still executing");
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
  // The queue timeout does not apply to statements of open transactions.
  Work.Deadline = Class == work_class::Pinned
                      ? Statement.Deadline
                      : std::min(Statement.Deadline,
                                 Statement.QueuedAt + View.Row.QueueTimeout);
  upstream_id Upstream = Statement.Upstream;
  admission_effects Effects;
  teasellock::submitWork(Admission, Upstream, Work, Effects);
  applyEffects(Upstream, std::move(Effects));
}

void group_gateway::state::applyEffects(const upstream_id &Upstream,
                                        admission_effects Effects) {
  if (Effects.CloseIdle > 0)
    if (upstream_state *State = findUpstream(Upstream))
      State->Pool->closeIdle(Effects.CloseIdle);
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
    if (Statement->Purpose == execution_purpose::Tombstone)
      startKeyResolution(*Statement, "too many statements are waiting");
    else
      answerNotRun(*Statement, TooManyConnections,
                   "too many statements are waiting");
  }
}

void group_gateway::state::onAdmitted(const upstream_id &Upstream,
                                      const queued_work &Work) {
  std::uint64_t Id = Work.Id;
  gateway_statement *Found = find(Id);
  upstream_state *State = findUpstream(Upstream);
  if (!Found || !State) {
    gateway_statement Abandoned;
    Abandoned.Upstream = Upstream;
    releaseConnection(Abandoned, Work.Class == work_class::Pinned
                                     ? connection_disposition::KeepPinned
                                     : connection_disposition::Close);
    return Found ? answerNotRun(*Found, CannotConnectNow,
                                "the upstream is gone from the group")
                 : void();
  }
  gateway_statement &Statement = *Found;
  Statement.Phase = statement_phase::AcquiringConnection;
  QueueSeconds.observe(now() - Statement.QueuedAt);
  if (pooled_connection *Pinned = connectionOf(Statement))
    return execute(Statement, *Pinned);
  // Its transaction ended while it was queued. It must not be executed outside
  // of the transaction.
  if (Work.Class == work_class::Pinned) {
    releaseConnection(Statement, connection_disposition::KeepPinned);
    return answerNotRun(Statement, NoActiveTransaction,
                        TransactionEndedMessage);
  }
  session_settings Wanted(Statement.Request.settings.begin(),
                          Statement.Request.settings.end());
  State->Pool->acquire(std::move(Wanted), [Weak = weak_from_this(), Id,
                                           Upstream](acquire_result Acquired) {
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
                                      acquire_result Acquired) {
  gateway_statement *Statement = find(Id);
  if (!Statement) {
    // The statement was cancelled in the meantime.
    gateway_statement Abandoned;
    Abandoned.Upstream = Upstream;
    Abandoned.Connection = std::move(Acquired.Connection);
    return releaseConnection(Abandoned, connection_disposition::ReturnToPool);
  }
  Statement->Connection = std::move(Acquired.Connection);
  if (!Statement->Connection) {
    releaseConnection(*Statement, connection_disposition::Close);
    if (upstream_state *State = findUpstream(Upstream); State && State->Prober)
      State->Prober->requestProbe();
    if (!Acquired.SettingsError.empty()) {
      Statement->HeldMessages.push_back(std::move(Acquired.SettingsError));
      return answer(*Statement, position(), 'I');
    }
    if (Statement->Purpose == execution_purpose::Tombstone)
      return startKeyResolution(*Statement, Acquired.Problem->reason());
    if (Statement->isRead())
      return retryRead(*Statement, Acquired.Problem->reason());
    return answerNotRun(*Statement, CannotConnectNow,
                        Acquired.Problem->reason());
  }
  bool Stale =
      !Statement->ByReplica && (!canWrite() || Statement->Term != View.Term);
  if (!Stale)
    return execute(*Statement, *Statement->Connection);
  releaseConnection(*Statement, connection_disposition::ReturnToPool);
  if (Statement->Purpose == execution_purpose::Tombstone)
    return startKeyResolution(*Statement, "the primary was replaced");
  if (Statement->isRead())
    return retryRead(*Statement, "the primary was replaced");
  answerNotRun(*Statement, CannotConnectNow, "the primary was replaced");
}

void group_gateway::state::cancel(gateway_statement &Statement) {
  switch (Statement.Phase) {
  case statement_phase::Queued:
    if (!removeQueuedWork(Admission, Statement.Upstream, Statement.Id))
      return;
    if (auto Pinned = Transactions.find(Statement.transactionKey());
        Pinned != Transactions.end())
      Pinned->second.Statement = 0;
    return answerNotRun(Statement, "57014", "canceled by the caller");
  case statement_phase::AwaitingFloor:
  case statement_phase::AwaitingReplica:
    return answerNotRun(Statement, "57014", "canceled by the caller");
  case statement_phase::Executing:
    if (pooled_connection *Connection = connectionOf(Statement))
      if (upstream_state *State = findUpstream(Statement.Upstream);
          State && State->Prober) {
        std::vector<upstream_operation> Operations;
        Operations.push_back(hiddenQuery(
            dialect::cancelBackEnd(Connection->Connection->backEndPid())));
        State->Prober->enqueueOperations(std::move(Operations),
                                         "gateway.cancel");
      }
    return;
  default:
    // Too late to cancel: it will end soon, and the caller ignores the answer.
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
    if (Statement.Phase == statement_phase::Executing) {
      execution_result Ended;
      Ended.ConnectionLost = true;
      Ended.Sent = true;
      Ended.Problem = "the caller disconnected";
      onConnectionLost(Statement, Ended);
    } else if (Statement.Phase != statement_phase::AwaitingAcknowledgement) {
      cancel(Statement);
      if (find(Id))
        eraseStatement(Statement);
    }
  }
  auto Found = Transactions.find(Key);
  if (Found == Transactions.end())
    return;
  upstream_id Upstream = Found->second.Upstream;
  Transactions.erase(Found);
  admission_effects Effects;
  releasePinnedConnection(Admission, Upstream, connection_disposition::Close,
                          Effects);
  applyEffects(Upstream, std::move(Effects));
}

void group_gateway::state::handleLinkClosed(link_id Link) {
  std::set<transaction_key> Keys;
  for (const auto &[Key, Transaction] : Transactions)
    if (Key.Link == Link)
      Keys.insert(Key);
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Statement] : Statements)
    if (Statement->Key.Link == Link) {
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
