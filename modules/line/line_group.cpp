#include "modules/line/line_group_state.h"

#include "core/event_log.h"
#include "modules/gateway/primary_gateways.h"
#include "modules/gateway/refusals.h"

#include <algorithm>

namespace teasellock {

namespace {

constexpr duration TickInterval = std::chrono::milliseconds(100);
/// A leaving replica receives no new statements after this period. It is not
/// excluded at once: callers' connections and the replacement of the primary
/// need it for a while.
constexpr duration LeavingReplicaGracePeriod = std::chrono::milliseconds(300);
/// A leaving primary is used until it is replaced, but no longer than this.
constexpr duration LeavingPrimaryGracePeriod = std::chrono::milliseconds(4500);
constexpr duration MinConnectDelay = std::chrono::milliseconds(50);
/// An upstream that is temporarily full has a free connection within this.
constexpr duration MaxConnectDelay = std::chrono::milliseconds(250);
/// Connections opened in advance to each upstream, so that the first statement
/// does not wait for one.
constexpr std::uint32_t PreopenedConnections = 1;
/// Connections unused for this long are closed. After a VM has lost power,
/// upstreams count its connections for seconds, and its next incarnation needs
/// connections too.
constexpr duration IdleConnectionTimeout = std::chrono::milliseconds(1000);
/// In a deployment with organisations idle connections are kept for longer,
/// because an organisation can't use those of others: a new connection takes
/// about 12 ms and a slot of the upstream.
constexpr duration OrganisationIdleTimeout = std::chrono::milliseconds(5000);
/// The part of a gateway's connection share that is reserved for probes.
constexpr std::uint32_t ReservedProbeConnections = 1;

} // namespace

line_group::line_group(daemon_context &Context, membership_hooks Member,
                       const line_group_settings &Settings, group_id Group)
    : Context(Context), Member(std::move(Member)), Settings(Settings),
      QueueSeconds(Context.Metrics.histogramOf(
          "teasellock_gateway_queue_seconds", {{"group", Group.Value}})),
      StatementSeconds(Context.Metrics.histogramOf(
          "teasellock_upstream_statement_seconds", {{"group", Group.Value}})),
      HeldCommitSeconds(Context.Metrics.histogramOf(
          "teasellock_gateway_commit_hold_seconds", {{"group", Group.Value}})),
      OpenTransactions(Context.Metrics.gaugeOf(
          "teasellock_gateway_open_transactions", {{"group", Group.Value}})),
      ConnectionsInUse(Context.Metrics.gaugeOf(
          "teasellock_gateway_connections_in_use", {{"group", Group.Value}})) {
  Random.seed(static_cast<std::minstd_rand::result_type>(
      std::hash<std::string>()(Context.Self.Vm.Value + "/" + Group.Value)));
  View.Group = std::move(Group);
}

line_group::~line_group() = default;

line_upstream *line_group::findUpstream(const upstream_id &Id) {
  auto Found = Upstreams.find(Id);
  return Found == Upstreams.end() ? nullptr : &Found->second;
}

line_pending_statement *line_group::findStatement(std::uint64_t Id) {
  auto Found = PendingStatements.find(Id);
  return Found == PendingStatements.end() ? nullptr : Found->second.get();
}

std::uint32_t line_group::connectionLimit() const {
  if (!IsAssigned || Share.Connections == 0)
    return 0;
  return std::max<std::uint32_t>(Share.Connections - ReservedProbeConnections,
                                 1);
}

bool line_group::canConnect(const line_upstream &Upstream) const {
  std::uint32_t ConnectionCount =
      Upstream.ConnectionsInUse + Upstream.ConnectionsOpening +
      static_cast<std::uint32_t>(Upstream.IdleSessions.size());
  return ConnectionCount < connectionLimit() &&
         now() >= Upstream.ConnectNotBefore;
}

bool line_group::canAccept(const line_upstream &Upstream) const {
  if (now() < Upstream.BusyUntil ||
      Upstream.InFlight >= maxInFlightOn(Upstream))
    return false;
  if (!Upstream.LeavingSince)
    return true;
  duration Grace = Upstream.IsPrimary ? LeavingPrimaryGracePeriod
                                      : LeavingReplicaGracePeriod;
  return now() - *Upstream.LeavingSince < Grace;
}

void line_group::apply(const group_view &NewView) {
  View = NewView;
  PrimaryGatewayCount = primaryGateways(View).size();
  const auto *OwnShare = findOwnShare(View, Context.Self);
  IsAssigned = OwnShare && !View.Removed;
  Share = OwnShare ? *OwnShare : gateway_share();
  applyView(WriteFence, View);
  Coverage.IsRequired = View.Row.AckReplicas > 0;
  applyUpstreams();
  handleHeldCommits();
  if (!IsAssigned)
    refuseQueued();
  if (!IsAssigned && !isActive()) {
    TickTimer.cancel();
    Upstreams.clear();
    return;
  }
  if (!TickTimer.isActive())
    TickTimer = Context.Timers.every(TickInterval, [Weak = weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->tick();
    });
  probeUpstreams();
  startQueued();
}

/// Refuses the queued statements as not assigned, so that their entries send
/// them to the group's current gateways.
void line_group::refuseQueued() {
  std::vector<std::uint64_t> Waiting;
  for (const auto &[Rank, Id] : Queue)
    Waiting.push_back(Id);
  for (auto Id : Waiting)
    if (auto *Statement = findStatement(Id))
      refuseStatement(*Statement, line_error::Busy,
                      "this VM is no longer a gateway", true);
}

/// Checks the expected waits again: statements of faster kinds that arrived
/// later may have made a wait too long.
void line_group::refuseOverlongWaits() {
  std::vector<std::uint64_t> Waiting;
  for (const auto &[Place, Id] : Queue)
    Waiting.push_back(Id);
  for (auto Id : Waiting)
    if (auto *Statement = findStatement(Id))
      refuseIfWaitTooLong(*Statement);
}

void line_group::applyUpstreams() {
  std::set<upstream_id> Present;
  for (const auto &Announcement : View.Upstreams) {
    const auto &Id = Announcement.Upstream;
    auto *Known = findUpstream(Id);
    // A new incarnation does not have the sessions of the one before.
    if (Known &&
        (Known->Announcement.Address != Announcement.Address ||
         Known->Announcement.Incarnation != Announcement.Incarnation)) {
      removeUpstream(Id);
      Known = nullptr;
    }
    Present.insert(Id);
    if (!Known && !IsAssigned)
      continue;
    auto &Upstream = Upstreams[Id];
    Upstream.Announcement = Announcement;
    Upstream.FlightLimit.Phase = phaseOf(Context.Self.Vm, Id);
    if (!Upstream.Load)
      Upstream.Load =
          std::make_unique<load_metrics>(Context.Metrics, View.Group, Id);
    // The probe connects first: if the upstream has few free connections,
    // nothing is known of it without a probe.
    if (!Known)
      probe(Id);
    // An upstream that this gateway never knew otherwise may have been leaving
    // for long, so no grace period is left.
    if (Announcement.Leaving && !Upstream.LeavingSince)
      Upstream.LeavingSince = Known ? now() : now() - LeavingPrimaryGracePeriod;
    trimIdleSessions(Upstream);
    for (std::uint32_t ConnectionCount =
             Upstream.ConnectionsInUse + Upstream.ConnectionsOpening +
             static_cast<std::uint32_t>(Upstream.IdleSessions.size());
         !Member.HasOrganisations() && ConnectionCount < PreopenedConnections &&
         canConnect(Upstream);
         ++ConnectionCount)
      connect(Id, organisation_id());
  }
  std::vector<upstream_id> Departed;
  for (const auto &[Id, Upstream] : Upstreams)
    if (!Present.contains(Id))
      Departed.push_back(Id);
  for (const auto &Id : Departed)
    removeUpstream(Id);
}

void line_group::removeUpstream(const upstream_id &Id) {
  std::vector<std::uint64_t> Lost;
  for (const auto &[StatementId, Statement] : PendingStatements)
    if (Statement->Phase != line_phase::Queued && Statement->Upstream == Id)
      Lost.push_back(StatementId);
  for (auto StatementId : Lost)
    if (auto *Statement = findStatement(StatementId))
      handleLostAttempt(*Statement, "the upstream has left");
  std::erase_if(Transactions,
                [&](const auto &Entry) { return Entry.second.Upstream == Id; });
  std::erase_if(DetachedAttempts,
                [&](const auto &Entry) { return Entry.second.Upstream == Id; });
  // They must not count for the upstream's next incarnation.
  std::erase_if(Connecting,
                [&](const auto &Entry) { return Entry.second.Upstream == Id; });
  Upstreams.erase(Id);
}

//===----------------------------------------------------------------------===//
// Connections
//===----------------------------------------------------------------------===//

void line_group::connect(const upstream_id &Id,
                         const organisation_id &Organisation) {
  auto &Upstream = Upstreams.at(Id);
  std::uint64_t Attempt = ++LastId;
  ++Upstream.ConnectionsOpening;
  ++Upstream.ConnectionUses[Organisation].Opening;
  line_target Target{Upstream.Announcement.Address, View.Group.Value,
                     Organisation.Value.empty() ? Settings.User
                                                : Organisation.Value,
                     Id, Settings.ConnectTimeout};
  Connecting[Attempt].Upstream = Id;
  Connecting[Attempt].Organisation = Organisation;
  Connecting[Attempt].Connection = std::make_unique<line_connection>(
      Context, protocol(), std::move(Target),
      [Weak = weak_from_this(), Id,
       Attempt](const line_connect_result &Opening) {
        if (auto Self = Weak.lock())
          Self->onConnected(Id, Attempt, Opening);
      });
}

void line_group::onConnected(const upstream_id &Id, std::uint64_t Attempt,
                             const line_connect_result &Opening) {
  auto Session = std::make_unique<line_session>();
  auto Extracted = Connecting.extract(Attempt);
  auto *Upstream = findUpstream(Id);
  if (Extracted.empty() || !Upstream)
    return;
  Session->Connection = std::move(Extracted.mapped().Connection);
  Session->Organisation = std::move(Extracted.mapped().Organisation);
  Session->IsUnused = true;
  --Upstream->ConnectionsOpening;
  --Upstream->ConnectionUses[Session->Organisation].Opening;
  if (!Opening.Problem) {
    Upstream->ConnectDelay = duration::zero();
    ++Upstream->ConnectionsInUse;
    ++Upstream->ConnectionUses[Session->Organisation].InUse;
    learnPosition(*Upstream, Opening.Ready);
    return releaseSession(Id, std::move(Session));
  }
  Upstream->ConnectDelay =
      std::clamp(Upstream->ConnectDelay * 2, MinConnectDelay, MaxConnectDelay);
  Upstream->ConnectNotBefore = now() + Upstream->ConnectDelay;
  event("upstream.connect_failed", severity::Debug)
      .with("group", View.Group.Value)
      .with("upstream", Id.Value)
      .with("reason", Opening.Problem->reason());
  // The connection is inside its callback and must outlive this call.
  Context.Loop.post([KeepAlive = std::shared_ptr<line_session>(
                         std::move(Session))]() mutable { KeepAlive.reset(); });
  startQueued();
}

void line_group::releaseSession(const upstream_id &Id,
                                std::unique_ptr<line_session> Session) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream)
    return;
  if (Session->Values.AreUnknown) {
    closeSession(Id, std::move(Session));
    return startQueued();
  }
  --Upstream->ConnectionsInUse;
  --Upstream->ConnectionUses[Session->Organisation].InUse;
  if (!Session->Connection->isOpen())
    return startQueued();
  auto *Connection = Session->Connection.get();
  Connection->onLost([Weak = weak_from_this(), Id, Connection] {
    auto Self = Weak.lock();
    auto *Upstream = Self ? Self->findUpstream(Id) : nullptr;
    if (!Upstream)
      return;
    for (auto &Idle : Upstream->IdleSessions)
      if (Idle->Connection.get() == Connection) {
        Self->Context.Loop.post(
            [KeepAlive = std::shared_ptr<line_session>(std::move(Idle))] {});
        break;
      }
    std::erase_if(Upstream->IdleSessions,
                  [](const auto &Idle) { return !Idle; });
  });
  Session->LastUsedAt = now();
  Upstream->IdleSessions.push_back(std::move(Session));
  trimIdleSessions(*Upstream);
  startQueued();
}

void line_group::closeSession(const upstream_id &Id,
                              std::unique_ptr<line_session> Session) {
  if (auto *Upstream = findUpstream(Id)) {
    --Upstream->ConnectionsInUse;
    if (Session)
      --Upstream->ConnectionUses[Session->Organisation].InUse;
  }
  if (Session) {
    Session->Connection->close();
    Context.Loop.post(
        [KeepAlive = std::shared_ptr<line_session>(std::move(Session))] {});
  }
}

void line_group::trimIdleSessions(line_upstream &Upstream) {
  std::uint32_t Limit = connectionLimit();
  while (!Upstream.IdleSessions.empty() &&
         Upstream.ConnectionsInUse + Upstream.ConnectionsOpening +
                 Upstream.IdleSessions.size() >
             Limit)
    Upstream.IdleSessions.erase(Upstream.IdleSessions.begin());
  // Sessions are taken from the back, so the front is the longest unused.
  bool HasOrganisations = Member.HasOrganisations();
  std::size_t Kept = HasOrganisations ? 0 : PreopenedConnections;
  duration Timeout =
      HasOrganisations ? OrganisationIdleTimeout : IdleConnectionTimeout;
  while (Upstream.IdleSessions.size() > Kept &&
         now() - Upstream.IdleSessions.front()->LastUsedAt > Timeout)
    Upstream.IdleSessions.erase(Upstream.IdleSessions.begin());
}

//===----------------------------------------------------------------------===//
// Timers
//===----------------------------------------------------------------------===//

/// Ends all statements and transactions of a group that is assigned elsewhere
/// when this VM has no valid lease: control grants no new lease before.
void line_group::endWorkWithoutLease() {
  if (IsAssigned || Member.IsLeaseValid() || !isActive())
    return;
  std::vector<upstream_id> Ids;
  for (const auto &[Id, Upstream] : Upstreams)
    Ids.push_back(Id);
  for (const auto &Id : Ids)
    removeUpstream(Id);
}

void line_group::tick() {
  endWorkWithoutLease();
  refreshCoverage();
  probeUpstreams();
  hedgeSlowReads();
  refuseOverlongWaits();
  closeExpiredAttempts();
  updateGauges();
  for (auto &[Id, Upstream] : Upstreams)
    trimIdleSessions(Upstream);
  startQueued();
  if (!IsAssigned && !isActive()) {
    TickTimer.cancel();
    Upstreams.clear();
  }
}

void line_group::armDeadlineTimer() {
  std::optional<time_point> Next;
  for (const auto &[Id, Statement] : PendingStatements) {
    time_point Due = Statement->Deadline;
    if (Statement->Phase == line_phase::Queued && Statement->NotBefore > now())
      Due = std::min(Due, Statement->NotBefore);
    if (!Next || Due < *Next)
      Next = Due;
  }
  if (!Next || (DeadlineAt && *DeadlineAt <= *Next))
    return;
  DeadlineAt = Next;
  DeadlineTimer = Context.Timers.after(
      std::max(duration::zero(), *Next - now()), [Weak = weak_from_this()] {
        auto Self = Weak.lock();
        if (!Self)
          return;
        Self->DeadlineAt.reset();
        Self->expireStatements();
        Self->startQueued();
        Self->armDeadlineTimer();
      });
}

void line_group::expireStatements() {
  std::vector<std::uint64_t> Expired;
  for (const auto &[Id, Statement] : PendingStatements)
    if (Statement->Deadline <= now())
      Expired.push_back(Id);
  for (auto Id : Expired) {
    auto *Statement = findStatement(Id);
    if (!Statement)
      continue;
    if (Statement->Phase == line_phase::Queued && !Statement->isInTransaction())
      refuseStatement(*Statement, line_error::Busy,
                      Statement->Reason.empty()
                          ? "no capacity before the deadline"
                          : Statement->Reason);
    else
      handleLostAttempt(*Statement, "no answer in time");
  }
}

void line_group::updateGauges() {
  std::uint32_t InUse = 0;
  for (const auto &[Id, Upstream] : Upstreams)
    InUse += Upstream.ConnectionsInUse;
  ConnectionsInUse.set(InUse);
  OpenTransactions.set(static_cast<double>(Transactions.size()));
  updateLoadMetrics();
}

//===----------------------------------------------------------------------===//
// Cancellation
//===----------------------------------------------------------------------===//

void line_group::cancel(const statement_key &Key) {
  for (const auto &[Id, Statement] : PendingStatements)
    if (Statement->Arrived.Key == Key) {
      Statement->Arrived.Reply = [](wire::statement_reply) {};
      Statement->IsAbandoned = true;
      if (Statement->Phase == line_phase::Queued)
        refuseStatement(*Statement, line_error::Aborted,
                        "the caller disconnected");
      return;
    }
}

void line_group::release(link_id Link, transaction_id Transaction) {
  transaction_key Key{Link, Transaction};
  // A statement that opens the transaction may still be executed.
  for (const auto &[Id, Statement] : PendingStatements)
    if (Statement->opensTransaction() && Statement->transactionKey() == Key)
      Statement->IsAbandoned = true;
  auto Found = Transactions.find(Key);
  if (Found == Transactions.end())
    return;
  auto Extracted = std::move(Found->second);
  Transactions.erase(Found);
  // Otherwise a statement of the transaction holds the session. On completion
  // it finds that the transaction has ended, and rolls it back.
  if (Extracted.Session)
    rollBack(Extracted.Upstream, std::move(Extracted.Session));
}

void line_group::handleLinkClosed(link_id Link) {
  std::vector<transaction_id> Open;
  for (const auto &[Key, Transaction] : Transactions)
    if (Key.Link == Link)
      Open.push_back(Key.Transaction);
  for (auto Transaction : Open)
    release(Link, Transaction);
  std::vector<statement_key> Callers;
  for (const auto &[Id, Statement] : PendingStatements)
    if (Statement->Arrived.Key.Link == Link)
      Callers.push_back(Statement->Arrived.Key);
  for (const auto &Caller : Callers)
    cancel(Caller);
}

bool line_group::isActive() const {
  return IsAssigned || !PendingStatements.empty() || !Transactions.empty();
}

std::size_t line_group::inFlight() const {
  return PendingStatements.size() + Transactions.size();
}

void line_group::promote(const wire::promote &Order,
                         std::function<void(wire::promote_reply)> Answer) {
  wire::promote_reply Reply;
  Reply.group = Order.group;
  Reply.upstream = Order.upstream;
  Reply.term = Order.term;
  Reply.problem = "the platform promotes upstreams of this kind";
  Answer(std::move(Reply));
}

std::shared_ptr<group_handler>
makeLineGroup(daemon_context &Context, membership_hooks Member,
              const line_group_settings &Settings, const group_id &Group) {
  return std::make_shared<line_group>(Context, std::move(Member), Settings,
                                      Group);
}

} // namespace teasellock
