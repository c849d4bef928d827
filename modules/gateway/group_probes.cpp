#include "core/event_log.h"
#include "modules/gateway/auxiliary_session.h"
#include "modules/gateway/group_state.h"
#include "modules/gateway/promotion.h"

namespace teasellock {

namespace {

/// The interval between probes while a write or a read waits for their result.
constexpr duration AwaitedProbeInterval = std::chrono::milliseconds(1);
constexpr duration RepointPeriod = std::chrono::seconds(1);

} // namespace

void group_gateway::state::onProbe(const upstream_id &Upstream,
                                   const probe_result &Probe) {
  upstream_state *State = findUpstream(Upstream);
  if (!State)
    return;
  bool Changed = recordProbe(State->Health, Probe);
  bool Primary = View.Primary && *View.Primary == Upstream;
  if (Changed) {
    event("gateway.upstream_reachability")
        .with("group", View.Group.Value)
        .with("upstream", Upstream.Value)
        .with("reachable", State->Health.Reachable)
        .with("problem", State->Health.Problem);
    if (Primary)
      Member.RenewEarly();
  }
  for (const auto &[Id, Statement] : Statements)
    if (Probe.Status && Statement->Phase == statement_phase::AwaitingReplica)
      Statement->Excluded.erase(Upstream);
  completeFences(Upstream, Probe);
  const std::optional<time_point> &Since = State->Health.UnreachableSince;
  if (Since && (State->Health.ConnectionRefused ||
                now() - *Since >= View.Row.FailureTimeout))
    abortWorkOn(Upstream, "the upstream is unreachable");
  if (Probe.OldConnectionUnresponsive)
    suspectConnectionsTo(Upstream);
  if (Primary && Probe.Status)
    onPrimaryProbe(*State);
  resumeReplicaWaiters();
  probeAgainIfAwaited();
}

void group_gateway::state::onPrimaryProbe(upstream_state &Primary) {
  const upstream_status &Status = Primary.Health.Status;
  if (Status.Replica || Status.Position.Term != View.Term ||
      !Member.IsLeaseValid() || !canAcknowledge(Gate, View.Term))
    return;
  History.add(Primary.Health.StatusStartedAt, Status.Position);
  primary_probe Probe;
  Probe.StartedAt = Primary.Health.StatusStartedAt;
  Probe.Position = Status.Position;
  Probe.Replicas = Status.Replicas;
  acknowledgement_conditions Conditions;
  Conditions.ViewTerm = View.Term;
  Conditions.AckReplicas = View.Row.AckReplicas;
  for (const upstream_announcement &Each : View.Upstreams)
    if (Each.Upstream != *View.Primary)
      Conditions.Replicas.insert(Each.Upstream);
  Conditions.LeaseValid = Member.IsLeaseValid();
  Conditions.Now = now();
  auto Results = teasellock::applyProbe(Gate, Probe, Conditions);
  repoint(Primary);
  resumeFloorWaiters(Primary);
  finishWrites(Results);
}

void group_gateway::state::finishWrites(
    const std::vector<acknowledgement_result> &Results) {
  for (const acknowledgement_result &Result : Results) {
    gateway_statement *Statement = find(Result.Id);
    if (!Statement)
      continue;
    if (!Result.Acknowledged) {
      if (Statement->Request.idempotency_key.empty())
        answerUnknown(*Statement, Result.Problem);
      else
        startKeyResolution(*Statement, Result.Problem);
      continue;
    }
    AcknowledgementSeconds.observe(now() - Statement->SentAt);
    Statement->Span.setAttribute("reached", toString(Result.Reached));
    if (Statement->KeyOutcome)
      answerFromKey(*Statement, Result.Reached);
    else
      answer(*Statement, Result.Reached, 'I');
  }
}

void group_gateway::state::resumeFloorWaiters(const upstream_state &Primary) {
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Statement] : Statements)
    if (Statement->Phase == statement_phase::AwaitingFloor &&
        Statement->ArrivedAt <= Primary.Health.StatusStartedAt)
      Ids.push_back(Id);
  position Floor = Primary.Health.Status.Position;
  for (std::uint64_t Id : Ids)
    if (gateway_statement *Statement = find(Id)) {
      Statement->Floor = Floor;
      startRead(*Statement);
    }
}

void group_gateway::state::resumeReplicaWaiters() {
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Statement] : Statements)
    if (Statement->Phase == statement_phase::AwaitingReplica)
      Ids.push_back(Id);
  for (std::uint64_t Id : Ids)
    if (gateway_statement *Statement = find(Id))
      chooseUpstream(*Statement);
}

void group_gateway::state::probePrimary() {
  if (!View.Primary)
    return;
  upstream_state *State = findUpstream(*View.Primary);
  if (State && State->Prober)
    State->Prober->requestProbe();
}

void group_gateway::state::probeReplicas() {
  for (auto &[Id, State] : Upstreams)
    if (State.Prober && (!View.Primary || *View.Primary != Id))
      State.Prober->requestProbeAfter(AwaitedProbeInterval);
}

void group_gateway::state::probeAgainIfAwaited() {
  bool Floor = false;
  bool Replica = false;
  for (const auto &[Id, Statement] : Statements) {
    Floor = Floor || Statement->Phase == statement_phase::AwaitingFloor;
    Replica = Replica || Statement->Phase == statement_phase::AwaitingReplica;
  }
  if (Replica)
    probeReplicas();
  if (!View.Primary || (!Floor && Gate.Pending.empty()))
    return;
  upstream_state *State = findUpstream(*View.Primary);
  if (State && State->Prober)
    State->Prober->requestProbeAfter(AwaitedProbeInterval);
}

// Points upstreams that don't replicate from this primary to it, including
// primaries of older terms. Cascading replication is not supported.
void group_gateway::state::repoint(const upstream_state &Primary) {
  std::set<upstream_id> Following;
  for (const replica_flush &Replica : Primary.Health.Status.Replicas)
    Following.insert(Replica.Replica);
  for (auto &[Id, State] : Upstreams) {
    bool NeedsRepointing = !Following.contains(Id) ||
                           (!State.Health.Status.Replica &&
                            State.Health.Status.Position.Term < View.Term);
    if (Id == *View.Primary || !NeedsRepointing || !State.Prober ||
        !State.Health.Reachable ||
        now() - State.LastRepointedAt < RepointPeriod)
      continue;
    State.LastRepointedAt = now();
    event("gateway.repoint")
        .with("group", View.Group.Value)
        .with("upstream", Id.Value)
        .with("primary", View.Primary->Value);
    std::vector<upstream_operation> Operations;
    for (std::string &Sql : dialect::follow(Primary.Announcement.Address, Id))
      Operations.push_back(hiddenQuery(std::move(Sql)));
    State.Prober->enqueueOperations(std::move(Operations), "gateway.repoint");
  }
}

void group_gateway::state::abortWorkOn(const upstream_id &Upstream,
                                       const std::string &Problem) {
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Statement] : Statements)
    if (Statement->Phase == statement_phase::Executing &&
        Statement->Upstream == Upstream)
      Ids.push_back(Id);
  for (std::uint64_t Id : Ids) {
    execution_result Lost;
    Lost.ConnectionLost = true;
    Lost.Sent = true;
    Lost.Problem = Problem;
    onDone(Id, std::move(Lost));
  }
  std::vector<transaction_key> Keys;
  for (const auto &[Key, Transaction] : Transactions)
    if (Transaction.Upstream == Upstream)
      Keys.push_back(Key);
  for (const transaction_key &Key : Keys) {
    Transactions.erase(Key);
    admission_effects Effects;
    releasePinnedConnection(Admission, Upstream, connection_disposition::Close,
                            Effects);
    applyEffects(Upstream, std::move(Effects));
  }
}

void group_gateway::state::checkResponsiveness(gateway_statement &Statement) {
  pooled_connection *Connection = connectionOf(Statement);
  upstream_state *State = findUpstream(Statement.Upstream);
  if (!Connection || !State || Statement.IsCheckingBackEnd)
    return;
  time_point ReceivedAt = Connection->Connection->lastReceivedAt();
  Statement.LastActiveAt = std::max(Statement.LastActiveAt, ReceivedAt);
  duration Limit =
      Statement.ShouldCheckEarly
          ? std::min(Settings.ProbeTimeout, View.Row.SilenceTimeout)
          : View.Row.SilenceTimeout;
  if (now() - Statement.LastActiveAt < Limit)
    return;
  Statement.IsCheckingBackEnd = true;
  Statement.ShouldCheckEarly = false;
  auto Session = auxiliary_session::open(Context, targetOf(State->Announcement),
                                         Settings.ConnectTimeout);
  Session->query(
      dialect::backEndState(Connection->Connection->backEndPid()),
      [Weak = weak_from_this(), Id = Statement.Id,
       ReceivedAt](execution_result Result) {
        auto Self = Weak.lock();
        gateway_statement *Statement = Self ? Self->find(Id) : nullptr;
        if (!Statement || Statement->Phase != statement_phase::Executing)
          return;
        Statement->IsCheckingBackEnd = false;
        bool Active = !Result.ConnectionLost && !Result.Failure &&
                      !Result.Tables.empty() &&
                      !Result.Tables[0].Rows.empty() &&
                      Result.Tables[0].Rows[0][0] == dialect::ActiveState;
        pooled_connection *Connection = Self->connectionOf(*Statement);
        if (Active || (Connection &&
                       Connection->Connection->lastReceivedAt() > ReceivedAt)) {
          Statement->LastActiveAt = Self->now();
          return;
        }
        execution_result Lost;
        Lost.ConnectionLost = true;
        Lost.Sent = true;
        Lost.Problem = "the connection has gone silent";
        Self->suspectConnectionsTo(Statement->Upstream);
        Self->onDone(Id, std::move(Lost));
      });
}

// When one connection to an upstream has become unresponsive, the others may
// have, too: closes the idle ones and checks executing statements early.
void group_gateway::state::suspectConnectionsTo(const upstream_id &Upstream) {
  upstream_state *State = findUpstream(Upstream);
  if (!State)
    return;
  event("gateway.silent_connection", severity::Warning)
      .with("group", View.Group.Value)
      .with("upstream", Upstream.Value);
  std::size_t Idle = State->Pool->idleCount();
  State->Pool->closeIdle(Idle);
  admission_effects Effects;
  for (std::size_t Closed = 0; Closed < Idle; ++Closed)
    handleIdleConnectionLost(Admission, Upstream, Effects);
  applyEffects(Upstream, std::move(Effects));
  for (const auto &[Id, Statement] : Statements)
    if (Statement->Phase == statement_phase::Executing &&
        Statement->Upstream == Upstream)
      Statement->ShouldCheckEarly = true;
}

void group_gateway::state::fenceTerm(
    term Term, std::function<void(wire::fence_reply)> Answer) {
  finishWrites(teasellock::applyFence(Gate, Term));
  pending_fence Fence;
  Fence.Term = Term;
  Fence.StartedAt = now();
  Fence.Answer = std::move(Answer);
  for (auto &[Id, State] : Upstreams)
    if (State.Prober && State.Health.Reachable) {
      Fence.AwaitedUpstreams.insert(Id);
      State.Prober->requestProbe();
    }
  if (Fence.AwaitedUpstreams.empty())
    return answerFence(Fence);
  Fences.push_back(std::move(Fence));
}

void group_gateway::state::completeFences(const upstream_id &Upstream,
                                          const probe_result &Probe) {
  std::vector<pending_fence> Ready;
  for (std::size_t Index = 0; Index < Fences.size();) {
    pending_fence &Fence = Fences[Index];
    if (Probe.StartedAt >= Fence.StartedAt)
      Fence.AwaitedUpstreams.erase(Upstream);
    if (!Fence.AwaitedUpstreams.empty()) {
      ++Index;
      continue;
    }
    Ready.push_back(std::move(Fence));
    Fences.erase(Fences.begin() + static_cast<std::ptrdiff_t>(Index));
  }
  for (pending_fence &Fence : Ready)
    answerFence(Fence);
}

void group_gateway::state::answerFence(pending_fence &Fence) {
  wire::fence_reply Reply;
  Reply.group = View.Group.Value;
  Reply.term = static_cast<std::int64_t>(Fence.Term.Value);
  Reply.acknowledged = toWire(Gate.HighestAcknowledged);
  for (const auto &[Id, State] : Upstreams)
    if (State.Health.Probed)
      Reply.upstreams.push_back(toReport(Id, State.Health, now()));
  Fence.Answer(std::move(Reply));
}

void group_gateway::state::promote(
    const wire::promote &Order,
    std::function<void(wire::promote_reply)> Answer) {
  upstream_state *State = findUpstream(upstream_id(Order.upstream));
  if (!State) {
    wire::promote_reply Reply;
    Reply.group = Order.group;
    Reply.upstream = Order.upstream;
    Reply.term = Order.term;
    Reply.problem = "the upstream is not known to this gateway";
    return Answer(std::move(Reply));
  }
  startPromotion(Context, targetOf(State->Announcement), Order,
                 std::move(Answer));
}

bool group_gateway::state::isWithinShare() const {
  for (const auto &[Id, State] : Upstreams) {
    auto Usage = Admission.Upstreams.find(Id);
    if (Usage != Admission.Upstreams.end() && !State.Announcement.Leaving &&
        countConnections(Usage->second) > Usage->second.ConnectionLimit)
      return false;
  }
  return true;
}

wire::group_report group_gateway::state::report() const {
  wire::group_report Report;
  Report.group = View.Group.Value;
  Report.term = static_cast<std::int64_t>(View.Term.Value);
  Report.acknowledged = toWire(Gate.HighestAcknowledged);
  Report.budget_epoch = static_cast<std::int64_t>(
      isWithinShare() ? Share.BudgetEpoch : ConfirmedEpoch);
  for (const auto &[Id, State] : Upstreams)
    if (State.Health.Probed)
      Report.upstreams.push_back(toReport(Id, State.Health, now()));
  return Report;
}

} // namespace teasellock
