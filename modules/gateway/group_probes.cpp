#include "core/event_log.h"
#include "modules/gateway/group_state.h"
#include "modules/gateway/promotion.h"
#include "modules/gateway/side_session.h"

namespace teasellock {

namespace {

/// Between probes while a write or a read waits for one.
constexpr duration AwaitedProbeDistance = std::chrono::milliseconds(1);
constexpr duration RepointPeriod = std::chrono::seconds(1);

} // namespace

void group_gateway::state::onProbe(const upstream_id &Upstream,
                                   const probe_result &Probe) {
  upstream_slot *Slot = findUpstream(Upstream);
  if (!Slot)
    return;
  bool Changed = record(Slot->Health, Probe);
  bool Primary = View.Primary && *View.Primary == Upstream;
  if (Changed) {
    event("gateway.upstream_reachability")
        .with("group", View.Group.Value)
        .with("upstream", Upstream.Value)
        .with("reachable", Slot->Health.Reachable)
        .with("problem", Slot->Health.Problem);
    if (Primary)
      Member.Hurry();
  }
  for (const auto &[Id, Statement] : Statements)
    if (Probe.Status && Statement->Phase == statement_phase::AwaitingReplica)
      Statement->Excluded.erase(Upstream);
  serveFences(Upstream, Probe);
  const std::optional<time_point> &Since = Slot->Health.UnreachableSince;
  if (Since &&
      (Slot->Health.Refused || now() - *Since >= View.Row.FailureTimeout))
    breakConnectionsTo(Upstream, "the upstream is unreachable");
  if (Probe.OldConnectionSilent)
    distrustConnectionsTo(Upstream);
  if (Primary && Probe.Status)
    onPrimaryProbe(*Slot);
  serveCatchupWaiters();
  probeAgainIfAwaited();
}

void group_gateway::state::onPrimaryProbe(upstream_slot &Primary) {
  const upstream_status &Status = Primary.Health.Status;
  if (Status.Replica || Status.Position.Term != View.Term ||
      !Member.LeaseValid() || !mayAcknowledge(Gate, View.Term))
    return;
  History.add(Primary.Health.StatusStartedAt, Status.Position);
  primary_probe Probe;
  Probe.StartedAt = Primary.Health.StatusStartedAt;
  Probe.Position = Status.Position;
  Probe.Replicas = Status.Replicas;
  gate_conditions Conditions;
  Conditions.ViewTerm = View.Term;
  Conditions.AckReplicas = View.Row.AckReplicas;
  for (const upstream_announcement &Each : View.Upstreams)
    if (Each.Upstream != *View.Primary)
      Conditions.Replicas.insert(Each.Upstream);
  Conditions.LeaseValid = Member.LeaseValid();
  Conditions.Now = now();
  auto Verdicts = teasellock::onProbe(Gate, Probe, Conditions);
  repoint(Primary);
  serveFloorWaiters(Primary);
  serveVerdicts(Verdicts);
}

void group_gateway::state::serveVerdicts(
    const std::vector<gate_verdict> &Verdicts) {
  for (const gate_verdict &Verdict : Verdicts) {
    gateway_statement *Statement = find(Verdict.Id);
    if (!Statement)
      continue;
    if (!Verdict.Acknowledged) {
      if (Statement->Request.idempotency_key.empty())
        giveUpUnknown(*Statement, Verdict.Problem);
      else
        resolveKey(*Statement, Verdict.Problem);
      continue;
    }
    AcknowledgementSeconds.observe(now() - Statement->SentAt);
    Statement->Span.set("reached", toString(Verdict.Reached));
    if (Statement->KeyOutcome)
      answerByKey(*Statement, Verdict.Reached);
    else
      answer(*Statement, Verdict.Reached, 'I');
  }
}

void group_gateway::state::serveFloorWaiters(const upstream_slot &Primary) {
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Statement] : Statements)
    if (Statement->Phase == statement_phase::AwaitingFloor &&
        Statement->ArrivedAt <= Primary.Health.StatusStartedAt)
      Ids.push_back(Id);
  position Floor = Primary.Health.Status.Position;
  for (std::uint64_t Id : Ids)
    if (gateway_statement *Statement = find(Id)) {
      Statement->Floor = Floor;
      beginRead(*Statement);
    }
}

void group_gateway::state::serveCatchupWaiters() {
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
  upstream_slot *Slot = findUpstream(*View.Primary);
  if (Slot && Slot->Prober)
    Slot->Prober->want();
}

void group_gateway::state::probeReplicas() {
  for (auto &[Id, Slot] : Upstreams)
    if (Slot.Prober && (!View.Primary || *View.Primary != Id))
      Slot.Prober->wantAfter(AwaitedProbeDistance);
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
  if (!View.Primary || (!Floor && Gate.Waiting.empty()))
    return;
  upstream_slot *Slot = findUpstream(*View.Primary);
  if (Slot && Slot->Prober)
    Slot->Prober->wantAfter(AwaitedProbeDistance);
}

// Upstreams that follow nobody or an older primary are made to follow this
// one; replicas of replicas are not supported.
void group_gateway::state::repoint(const upstream_slot &Primary) {
  std::set<upstream_id> Following;
  for (const replica_flush &Replica : Primary.Health.Status.Replicas)
    Following.insert(Replica.Replica);
  for (auto &[Id, Slot] : Upstreams) {
    bool Astray = !Following.contains(Id) ||
                  (!Slot.Health.Status.Replica &&
                   Slot.Health.Status.Position.Term < View.Term);
    if (Id == *View.Primary || !Astray || !Slot.Prober ||
        !Slot.Health.Reachable || now() - Slot.LastRepointed < RepointPeriod)
      continue;
    Slot.LastRepointed = now();
    event("gateway.repoint")
        .with("group", View.Group.Value)
        .with("upstream", Id.Value)
        .with("primary", View.Primary->Value);
    std::vector<upstream_operation> Operations;
    for (std::string &Sql : dialect::follow(Primary.Announcement.Address, Id))
      Operations.push_back(hiddenQuery(std::move(Sql)));
    Slot.Prober->runBetween(std::move(Operations), "gateway.repoint");
  }
}

void group_gateway::state::breakConnectionsTo(const upstream_id &Upstream,
                                              const std::string &Problem) {
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Statement] : Statements)
    if (Statement->Phase == statement_phase::Running &&
        Statement->Upstream == Upstream)
      Ids.push_back(Id);
  for (std::uint64_t Id : Ids) {
    run_result Lost;
    Lost.Broken = true;
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
    releasePinned(Admission, Upstream, connection_fate::Close, Effects);
    applyEffects(Upstream, std::move(Effects));
  }
}

void group_gateway::state::checkSilence(gateway_statement &Statement) {
  pooled_connection *Connection = connectionOf(Statement);
  upstream_slot *Slot = findUpstream(Statement.Upstream);
  if (!Connection || !Slot || Statement.CheckingSilence)
    return;
  time_point Heard = Connection->Connection->lastHeard();
  Statement.LastAlive = std::max(Statement.LastAlive, Heard);
  duration Limit = Statement.CheckEarly ? std::min(Settings.ProbeTimeout,
                                                   View.Row.SilenceTimeout)
                                        : View.Row.SilenceTimeout;
  if (now() - Statement.LastAlive < Limit)
    return;
  Statement.CheckingSilence = true;
  Statement.CheckEarly = false;
  auto Session = side_session::open(Context, targetOf(Slot->Announcement),
                                    Settings.ConnectTimeout);
  Session->query(
      dialect::backEndState(Connection->Connection->backEndPid()),
      [Weak = weak_from_this(), Id = Statement.Id, Heard](run_result Result) {
        auto Self = Weak.lock();
        gateway_statement *Statement = Self ? Self->find(Id) : nullptr;
        if (!Statement || Statement->Phase != statement_phase::Running)
          return;
        Statement->CheckingSilence = false;
        bool Active = !Result.Broken && !Result.Failure &&
                      !Result.Tables.empty() &&
                      !Result.Tables[0].Rows.empty() &&
                      Result.Tables[0].Rows[0][0] == dialect::ActiveState;
        pooled_connection *Connection = Self->connectionOf(*Statement);
        if (Active ||
            (Connection && Connection->Connection->lastHeard() > Heard)) {
          Statement->LastAlive = Self->now();
          return;
        }
        run_result Lost;
        Lost.Broken = true;
        Lost.Sent = true;
        Lost.Problem = "the connection went silent";
        Self->distrustConnectionsTo(Statement->Upstream);
        Self->onDone(Id, std::move(Lost));
      });
}

// Where one connection went silent the others may have, too: idle ones are
// closed, and statements are checked before their time.
void group_gateway::state::distrustConnectionsTo(const upstream_id &Upstream) {
  upstream_slot *Slot = findUpstream(Upstream);
  if (!Slot)
    return;
  event("gateway.silent_connection", severity::Warning)
      .with("group", View.Group.Value)
      .with("upstream", Upstream.Value);
  std::size_t Idle = Slot->Pool->idle();
  Slot->Pool->closeIdle(Idle);
  admission_effects Effects;
  for (std::size_t Closed = 0; Closed < Idle; ++Closed)
    loseIdle(Admission, Upstream, Effects);
  applyEffects(Upstream, std::move(Effects));
  for (const auto &[Id, Statement] : Statements)
    if (Statement->Phase == statement_phase::Running &&
        Statement->Upstream == Upstream)
      Statement->CheckEarly = true;
}

void group_gateway::state::fenceTerm(
    term Term, std::function<void(wire::fence_reply)> Answer) {
  serveVerdicts(teasellock::fence(Gate, Term));
  pending_fence Fence;
  Fence.Term = Term;
  Fence.StartedAt = now();
  Fence.Answer = std::move(Answer);
  for (auto &[Id, Slot] : Upstreams)
    if (Slot.Prober && Slot.Health.Reachable) {
      Fence.Awaited.insert(Id);
      Slot.Prober->want();
    }
  if (Fence.Awaited.empty())
    return answerFence(Fence);
  Fences.push_back(std::move(Fence));
}

void group_gateway::state::serveFences(const upstream_id &Upstream,
                                       const probe_result &Probe) {
  std::vector<pending_fence> Ready;
  for (std::size_t Index = 0; Index < Fences.size();) {
    pending_fence &Fence = Fences[Index];
    if (Probe.StartedAt >= Fence.StartedAt)
      Fence.Awaited.erase(Upstream);
    if (!Fence.Awaited.empty()) {
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
  Reply.acknowledged = toWire(Gate.Acknowledged);
  for (const auto &[Id, Slot] : Upstreams)
    if (Slot.Health.Probed)
      Reply.upstreams.push_back(toReport(Id, Slot.Health, now()));
  Fence.Answer(std::move(Reply));
}

void group_gateway::state::promote(
    const wire::promote &Order,
    std::function<void(wire::promote_reply)> Answer) {
  upstream_slot *Slot = findUpstream(upstream_id(Order.upstream));
  if (!Slot) {
    wire::promote_reply Reply;
    Reply.group = Order.group;
    Reply.upstream = Order.upstream;
    Reply.term = Order.term;
    Reply.problem = "the upstream is not known here";
    return Answer(std::move(Reply));
  }
  startPromotion(Context, targetOf(Slot->Announcement), Order,
                 std::move(Answer));
}

bool group_gateway::state::withinShare() const {
  for (const auto &[Id, Slot] : Upstreams) {
    auto Use = Admission.Upstreams.find(Id);
    if (Use != Admission.Upstreams.end() && !Slot.Announcement.Leaving &&
        connections(Use->second) > Use->second.ConnectionLimit)
      return false;
  }
  return true;
}

wire::group_report group_gateway::state::report() const {
  wire::group_report Report;
  Report.group = View.Group.Value;
  Report.term = static_cast<std::int64_t>(View.Term.Value);
  Report.acknowledged = toWire(Gate.Acknowledged);
  Report.budget_epoch = static_cast<std::int64_t>(
      withinShare() ? Share.BudgetEpoch : ConfirmedEpoch);
  for (const auto &[Id, Slot] : Upstreams)
    if (Slot.Health.Probed)
      Report.upstreams.push_back(toReport(Id, Slot.Health, now()));
  return Report;
}

} // namespace teasellock
