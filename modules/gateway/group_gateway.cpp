#include "modules/gateway/group_gateway.h"

#include "core/event_log.h"
#include "modules/gateway/group_state.h"
#include "modules/gateway/refusals.h"
#include "modules/upstream/message_encoder.h"

#include <algorithm>

namespace teasellock {

namespace {

constexpr duration MaintenancePeriod = std::chrono::milliseconds(5);
/// How long a gateway that no longer serves the group may take to finish its
/// transactions before its back-ends are terminated.
constexpr duration RemovedGatewayGracePeriod = std::chrono::seconds(30);
/// How long a leaving primary still accepts writes while control replaces it.
constexpr duration LeavingPrimaryGracePeriod = std::chrono::milliseconds(1500);
/// Connections of a gateway's share of an upstream that are reserved for probes
/// and checks.
constexpr std::uint32_t ReservedConnections = 2;
constexpr const char *OutcomeUnknown = "08007";

std::uint32_t statementConnections(std::uint32_t Share) {
  if (Share == 0)
    return 0;
  return Share > ReservedConnections ? Share - ReservedConnections : 1;
}

} // namespace

group_gateway::state::state(daemon_context &Context, membership_hooks Member,
                            const gateway_settings &Settings, group_id Group)
    : Context(Context), Member(std::move(Member)), Settings(Settings),
      QueueSeconds(Context.Metrics.histogramOf(
          "teasellock_gateway_queue_seconds", {{"group", Group.Value}})),
      AcknowledgementSeconds(Context.Metrics.histogramOf(
          "teasellock_acknowledgement_seconds", {{"group", Group.Value}})),
      StatementSeconds(Context.Metrics.histogramOf(
          "teasellock_upstream_statement_seconds", {{"group", Group.Value}})) {
  View.Group = Group;
}

gateway_statement *group_gateway::state::find(std::uint64_t Id) {
  auto Found = Statements.find(Id);
  return Found == Statements.end() ? nullptr : Found->second.get();
}

upstream_state *
group_gateway::state::findUpstream(const upstream_id &Upstream) {
  auto Found = Upstreams.find(Upstream);
  return Found == Upstreams.end() ? nullptr : &Found->second;
}

upstream_target group_gateway::state::targetOf(
    const upstream_announcement &Announcement) const {
  upstream_target Target;
  Target.Address = Announcement.Address;
  Target.Database = View.Group.Value;
  Target.User = Settings.User;
  Target.Password = Settings.Password;
  Target.ApplicationName =
      dialect::applicationName(Context.Self.Vm, Context.Self.Incarnation);
  Target.SslMode = Settings.SslMode;
  Target.SslRootCertificate = Settings.SslRootCertificate;
  Target.ConnectTimeout = Settings.ConnectTimeout;
  return Target;
}

void group_gateway::state::apply(const group_view &NewView) {
  if (isWithinShare())
    ConfirmedEpoch = Share.BudgetEpoch;
  std::vector<gateway_share> GatewaysBefore = std::move(View.Gateways);
  bool TermChanged = NewView.Term != View.Term;
  View = NewView;
  const auto *OwnShare = findOwnShare(View, Context.Self);
  Assigned = OwnShare && !View.Removed;
  Share = OwnShare ? *OwnShare : gateway_share();
  applyUpstreams();
  applyLimits();
  if (TermChanged)
    finishWrites(applyViewTerm(Gate, View.Term));
  handleGatewayChanges(GatewaysBefore);
  if (!Assigned)
    refuseWaiting();
  if (!MaintenanceTimer.isActive())
    MaintenanceTimer =
        Context.Timers.every(MaintenancePeriod, [Weak = weak_from_this()] {
          if (auto Self = Weak.lock())
            Self->runMaintenance();
        });
}

void group_gateway::state::applyUpstreams() {
  std::set<upstream_id> Present;
  for (const upstream_announcement &Announcement : View.Upstreams) {
    Present.insert(Announcement.Upstream);
    upstream_state *State = findUpstream(Announcement.Upstream);
    if (State && State->Announcement.Address != Announcement.Address) {
      abortWorkOn(Announcement.Upstream, "the upstream has a new address");
      Upstreams.erase(Announcement.Upstream);
      State = nullptr;
    }
    if (!State)
      addUpstream(Announcement);
    upstream_state &Current = Upstreams[Announcement.Upstream];
    Current.Announcement = Announcement;
    if (!Announcement.Leaving)
      Current.LeavingSince.reset();
    else if (!Current.LeavingSince)
      Current.LeavingSince = now();
  }
  for (auto State = Upstreams.begin(); State != Upstreams.end();) {
    if (Present.contains(State->first)) {
      ++State;
      continue;
    }
    abortWorkOn(State->first, "the upstream is gone from the group");
    State = Upstreams.erase(State);
  }
}

void group_gateway::state::addUpstream(
    const upstream_announcement &Announcement) {
  upstream_state &State = Upstreams[Announcement.Upstream];
  auto Weak = weak_from_this();
  upstream_id Id = Announcement.Upstream;
  State.ConnectionGauge = &Context.Metrics.gaugeOf(
      "teasellock_upstream_connections",
      {{"group", View.Group.Value}, {"upstream", Id.Value}});
  State.Pool = std::make_unique<connection_pool>(
      Context, targetOf(Announcement), Settings.ProbeTimeout / 2, [Weak, Id] {
        auto Self = Weak.lock();
        if (!Self)
          return;
        admission_effects Effects;
        handleIdleConnectionLost(Self->Admission, Id, Effects);
        Self->applyEffects(Id, std::move(Effects));
      });
}

void group_gateway::state::applyLimits() {
  Admission.QueueLimit = View.Row.QueueLimit;
  auto Weak = weak_from_this();
  for (auto &[Id, State] : Upstreams) {
    bool Open = Assigned && !State.Announcement.Leaving;
    // A leaving primary keeps serving until it is replaced, for a limited time.
    bool Replaced = !View.Primary || *View.Primary != Id;
    if (Assigned && State.LeavingSince && !Replaced &&
        now() - *State.LeavingSince < LeavingPrimaryGracePeriod)
      Open = true;
    std::uint32_t Slots =
        Assigned ? Share.Slots : Admission.Upstreams[Id].SlotLimit;
    if (!Open)
      rerouteQueuedFrom(Id);
    admission_effects Effects;
    setLimits(Admission, Id, Open ? statementConnections(Share.Connections) : 0,
              Slots, Effects);
    applyEffects(Id, std::move(Effects));
    if (Assigned && !State.Prober) {
      State.Prober = std::make_unique<upstream_prober>(
          Context, targetOf(State.Announcement),
          probe_settings{Settings.ProbePeriod, Settings.ProbeTimeout},
          [Weak, Id = Id](const probe_result &Probe) {
            if (auto Self = Weak.lock())
              Self->onProbe(Id, Probe);
          });
      terminateBackEndsOf(Context.Self.Vm, Context.Self.Incarnation);
    }
  }
}

// Sends statements that are queued for an upstream that accepts no more work to
// another one. Statements of open transactions stay queued.
void group_gateway::state::rerouteQueuedFrom(const upstream_id &Upstream) {
  if (!Assigned)
    return;
  std::vector<std::uint64_t> Ids;
  for (const queued_work &Work : Admission.Upstreams[Upstream].Queue)
    if (Work.Class != work_class::Pinned)
      Ids.push_back(Work.Id);
  for (std::uint64_t Id : Ids) {
    removeQueuedWork(Admission, Upstream, Id);
    gateway_statement *Statement = find(Id);
    if (!Statement)
      continue;
    Statement->Excluded.insert(Upstream);
    if (Statement->Purpose == execution_purpose::Tombstone)
      startKeyResolution(*Statement, "the upstream is leaving");
    else if (Statement->isRead())
      startRead(*Statement);
    else
      answerNotRun(*Statement, CannotConnectNow, "the primary is leaving");
  }
}

void group_gateway::state::refuseWaiting() {
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Statement] : Statements)
    if (!Statement->inTransaction() || Statement->Request.opens_transaction)
      Ids.push_back(Id);
  for (std::uint64_t Id : Ids) {
    gateway_statement *Statement = find(Id);
    if (!Statement || Statement->Purpose != execution_purpose::Statement)
      continue;
    bool Waiting = Statement->Phase == statement_phase::AwaitingFloor ||
                   Statement->Phase == statement_phase::AwaitingReplica;
    if (Waiting || (Statement->Phase == statement_phase::Queued &&
                    removeQueuedWork(Admission, Statement->Upstream, Id)))
      answerNotRun(*Statement, CannotConnectNow,
                   "this VM no longer serves the group", true);
  }
}

// A gateway that no longer serves the group keeps probing until its last
// statements and transactions have ended.
void group_gateway::state::stopIfUnused() {
  if (Assigned || !Statements.empty() || !Transactions.empty())
    return;
  for (auto &[Id, State] : Upstreams)
    State.Prober.reset();
  MaintenanceTimer.cancel();
}

void group_gateway::state::handleGatewayChanges(
    const std::vector<gateway_share> &Before) {
  for (const gateway_share &Old : Before) {
    auto Now = std::find_if(
        View.Gateways.begin(), View.Gateways.end(),
        [&](const gateway_share &Each) { return Each.Vm == Old.Vm; });
    if (Now == View.Gateways.end())
      RemovedGatewayDeadlines[Old.Vm] = now() + RemovedGatewayGracePeriod;
    else if (Now->Incarnation != Old.Incarnation)
      terminateBackEndsOf(Now->Vm, Now->Incarnation);
  }
  for (const gateway_share &Each : View.Gateways)
    RemovedGatewayDeadlines.erase(Each.Vm);
}

void group_gateway::state::terminateBackEndsOf(const vm_id &Vm,
                                               incarnation Kept) {
  for (auto &[Id, State] : Upstreams) {
    if (!State.Prober)
      continue;
    std::vector<upstream_operation> Operations;
    Operations.push_back(hiddenQuery(dialect::terminateBackEnds(Vm, Kept)));
    State.Prober->enqueueOperations(std::move(Operations),
                                    "gateway.end_leftovers");
  }
}

/// Ends the remaining statements and transactions of a group that has been
/// assigned to other gateways once this VM has no lease: control grants it no
/// new lease before that.
void group_gateway::state::abortUnassignedWork() {
  if (Assigned || Member.IsLeaseValid() ||
      (Statements.empty() && Transactions.empty()))
    return;
  std::vector<upstream_id> Ids;
  for (const auto &[Id, State] : Upstreams)
    Ids.push_back(Id);
  for (const auto &Id : Ids)
    abortWorkOn(Id, "the group is now served by other gateways");
}

void group_gateway::state::runMaintenance() {
  abortUnassignedWork();
  admission_effects Effects;
  expireQueuedWork(Admission, now(), Effects);
  applyEffects(upstream_id(), std::move(Effects));
  finishWrites(expirePendingWrites(Gate, now()));
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Statement] : Statements)
    Ids.push_back(Id);
  for (std::uint64_t Id : Ids)
    if (gateway_statement *Statement = find(Id))
      checkStatementTimeouts(*Statement);
  for (std::size_t Index = 0; Index < Fences.size();)
    if (now() - Fences[Index].StartedAt >= Settings.ProbeTimeout) {
      pending_fence Due = std::move(Fences[Index]);
      Fences.erase(Fences.begin() + static_cast<std::ptrdiff_t>(Index));
      answerFence(Due);
    } else {
      ++Index;
    }
  for (auto Removed = RemovedGatewayDeadlines.begin();
       Removed != RemovedGatewayDeadlines.end();)
    if (Removed->second <= now()) {
      terminateBackEndsOf(Removed->first, incarnation(0));
      Removed = RemovedGatewayDeadlines.erase(Removed);
    } else {
      ++Removed;
    }
  for (const auto &[Id, State] : Upstreams)
    if (State.LeavingSince && Admission.Upstreams[Id].ConnectionLimit > 0)
      return applyLimits();
  if (isWithinShare())
    ConfirmedEpoch = Share.BudgetEpoch;
  for (auto &[Id, State] : Upstreams)
    if (State.ConnectionGauge)
      State.ConnectionGauge->set(countConnections(Admission.Upstreams[Id]));
  stopIfUnused();
}

void group_gateway::state::checkStatementTimeouts(
    gateway_statement &Statement) {
  time_point Now = now();
  bool Expired = Statement.Deadline <= Now;
  switch (Statement.Phase) {
  case statement_phase::AwaitingFloor:
    if (Expired)
      answerNotRun(Statement, CannotConnectNow,
                   "the primary's position is not known");
    return;
  case statement_phase::AwaitingReplica:
    if (Statement.CatchupDeadline <= Now)
      readFromPrimary(Statement);
    return;
  case statement_phase::ResolvingKey:
    if (Expired)
      return answerUnknown(Statement, "determining the outcome timed out");
    if (canWrite())
      startWrite(Statement);
    return;
  case statement_phase::Executing:
    if (Expired) {
      auto Id = Statement.Id;
      execution_result TimedOut;
      TimedOut.ConnectionLost = true;
      TimedOut.Sent = true;
      TimedOut.Problem = "no answer before the deadline";
      return onDone(Id, std::move(TimedOut));
    }
    return checkResponsiveness(Statement);
  default:
    return;
  }
}

void group_gateway::state::sendReply(gateway_statement &Statement,
                                     wire::statement_reply Reply) {
  Reply.term = static_cast<std::int64_t>(View.Term.Value);
  Reply.upstream = Statement.Upstream.Value;
  Reply.by_replica = Statement.ByReplica;
  if (Statement.Reply)
    Statement.Reply(std::move(Reply));
}

void group_gateway::state::answer(gateway_statement &Statement,
                                  const position &Reached,
                                  char TransactionStatus) {
  std::vector<std::string> Held = std::move(Statement.HeldMessages);
  for (std::size_t Index = 0; Index + 1 < Held.size(); ++Index) {
    wire::statement_reply Part;
    Part.outcome = wire::statement_outcome::answered;
    Part.messages = std::move(Held[Index]);
    Part.last = false;
    sendReply(Statement, std::move(Part));
  }
  wire::statement_reply Last;
  Last.outcome = wire::statement_outcome::answered;
  if (!Held.empty())
    Last.messages = std::move(Held.back());
  Last.last = true;
  Last.reached = toWire(Reached);
  Last.transaction_status = TransactionStatus;
  sendReply(Statement, std::move(Last));
  eraseStatement(Statement);
}

void group_gateway::state::answerNotRun(gateway_statement &Statement,
                                        const std::string &Code,
                                        const std::string &Problem,
                                        bool NotAssigned) {
  // The statement was sent to the upstream before. Only the row of its key can
  // show that it was not executed, and that row has not been read.
  if (Statement.Purpose == execution_purpose::Tombstone &&
      !Statement.KeyOutcome)
    return answerUnknown(Statement, Problem);
  wire::statement_reply Refusal;
  Refusal.outcome = wire::statement_outcome::not_run;
  Refusal.last = true;
  Refusal.code = Code;
  Refusal.problem = Problem;
  Refusal.transaction_status = 'I';
  Refusal.not_assigned = NotAssigned;
  Refusal.resolved = Statement.KeyOutcome == key_outcome::Tombstone;
  Statement.Span.setAttribute("outcome", "not_run");
  sendReply(Statement, std::move(Refusal));
  eraseStatement(Statement);
}

void group_gateway::state::answerUnknown(gateway_statement &Statement,
                                         const std::string &Problem) {
  wire::statement_reply Unknown;
  Unknown.outcome = wire::statement_outcome::unknown;
  Unknown.last = true;
  Unknown.code = OutcomeUnknown;
  Unknown.problem = Problem;
  Unknown.transaction_status = 'I';
  Statement.Span.setAttribute("outcome", "unknown");
  sendReply(Statement, std::move(Unknown));
  eraseStatement(Statement);
}

void group_gateway::state::eraseStatement(gateway_statement &Statement) {
  Statement.UpstreamSpan.end();
  Statement.Span.end();
  Statements.erase(Statement.Id);
}

group_gateway::group_gateway(daemon_context &Context, membership_hooks Member,
                             const gateway_settings &Settings, group_id Group)
    : State(std::make_shared<state>(Context, std::move(Member), Settings,
                                    std::move(Group))) {}

group_gateway::~group_gateway() {
  State->MaintenanceTimer.cancel();
  State->Statements.clear();
  State->Transactions.clear();
  State->Upstreams.clear();
}

void group_gateway::apply(const group_view &View) { State->apply(View); }

void group_gateway::submit(incoming_statement Arrived) {
  State->submit(std::move(Arrived));
}

void group_gateway::cancel(const statement_key &Key) {
  for (const auto &[Id, Statement] : State->Statements)
    if (Statement->Key == Key)
      return State->cancel(*Statement);
}

void group_gateway::release(link_id Link, transaction_id Transaction) {
  State->release({Link, Transaction});
}

void group_gateway::handleLinkClosed(link_id Link) {
  State->handleLinkClosed(Link);
}

bool group_gateway::assigned() const { return State->Assigned; }

bool group_gateway::isActive() const {
  return State->Assigned || !State->Statements.empty() ||
         !State->Transactions.empty();
}

wire::group_report group_gateway::report() const { return State->report(); }

void group_gateway::fence(const wire::fence &Fence,
                          std::function<void(wire::fence_reply)> Answer) {
  State->fenceTerm(term(static_cast<std::uint64_t>(Fence.term)),
                   std::move(Answer));
}

void group_gateway::promote(const wire::promote &Order,
                            std::function<void(wire::promote_reply)> Answer) {
  State->promote(Order, std::move(Answer));
}

std::size_t group_gateway::inFlight() const {
  return State->Statements.size() + State->Transactions.size();
}

} // namespace teasellock
