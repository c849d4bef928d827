#include "modules/line/line_group_state.h"

#include "core/event_log.h"
#include "modules/gateway/refusals.h"

#include <algorithm>

namespace teasellock {

namespace {

constexpr duration TickPeriod = std::chrono::milliseconds(100);
/// A leaving replica receives no new statements after this period. It is not
/// excluded at once: callers' connections and the replacement of the primary
/// need it for a while.
constexpr duration LeavingGrace = std::chrono::milliseconds(300);
/// A leaving primary is used until it is replaced, but no longer than this.
constexpr duration LeavingPrimaryGrace = std::chrono::milliseconds(4500);
constexpr duration LeastConnectDelay = std::chrono::milliseconds(50);
/// An upstream that is temporarily full has a free connection within this.
constexpr duration MostConnectDelay = std::chrono::milliseconds(250);
/// Connections opened in advance to each upstream, so that the first statement
/// does not wait for one.
constexpr std::uint32_t WarmConnections = 1;
/// Connections unused for this long are closed. After a VM has lost power,
/// upstreams count its connections for seconds, and its next incarnation needs
/// connections too.
constexpr duration UnusedLimit = std::chrono::milliseconds(1000);
/// The part of a gateway's connection share that is reserved for probes.
constexpr std::uint32_t ProbeConnections = 1;

} // namespace

line_group::line_group(daemon_context &Context, membership_hooks Member,
                       const line_group_settings &Settings, group_id Group)
    : Context(Context), Member(std::move(Member)), Settings(Settings),
      QueueSeconds(Context.Metrics.histogramOf(
          "teasellock_gateway_queue_seconds", {{"group", Group.Value}})),
      StatementSeconds(Context.Metrics.histogramOf(
          "teasellock_upstream_statement_seconds", {{"group", Group.Value}})) {
  View.Group = std::move(Group);
}

line_group::~line_group() = default;

line_upstream *line_group::findUpstream(const upstream_id &Id) {
  auto Found = Upstreams.find(Id);
  return Found == Upstreams.end() ? nullptr : &Found->second;
}

line_work *line_group::findWork(std::uint64_t Id) {
  auto Found = Works.find(Id);
  return Found == Works.end() ? nullptr : Found->second.get();
}

std::uint32_t line_group::connectionLimit() const {
  if (!Assigned || Share.Connections == 0)
    return 0;
  return std::max<std::uint32_t>(Share.Connections - ProbeConnections, 1);
}

std::uint32_t line_group::mostRunning(const line_upstream &Upstream) const {
  return mostInFlight(Upstream.Level, Upstream.Announcement.Slots,
                      View.Gateways.size());
}

bool line_group::mayConnect(const line_upstream &Upstream) const {
  std::uint32_t Held = Upstream.Occupied + Upstream.Opening +
                       static_cast<std::uint32_t>(Upstream.Idle.size());
  return Held < connectionLimit() && now() >= Upstream.ConnectNotBefore;
}

bool line_group::accepts(const line_upstream &Upstream) const {
  if (now() < Upstream.BusyUntil || Upstream.Running >= mostRunning(Upstream))
    return false;
  if (!Upstream.LeavingSince)
    return true;
  duration Grace = Upstream.Leads ? LeavingPrimaryGrace : LeavingGrace;
  return now() - *Upstream.LeavingSince < Grace;
}

void line_group::apply(const group_view &NewView) {
  View = NewView;
  const auto *Mine = findOwnShare(View, Context.Self);
  Assigned = Mine && !View.Removed;
  Share = Mine ? *Mine : gateway_share();
  applyUpstreams();
  if (!Assigned)
    refuseQueued();
  if (!Assigned && !holdsGroup()) {
    Ticker.cancel();
    Upstreams.clear();
    return;
  }
  if (!Ticker.active())
    Ticker = Context.Timers.every(TickPeriod, [Weak = weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->tick();
    });
  probeAll();
  pump();
}

/// Refuses the queued statements as not assigned, so that their entries send
/// them to the group's current gateways.
void line_group::refuseQueued() {
  std::vector<std::uint64_t> Waiting;
  for (const auto &[Rank, Id] : Queue)
    Waiting.push_back(Id);
  for (auto Id : Waiting)
    if (auto *Work = findWork(Id))
      refuse(*Work, line_error::Busy, "this VM is no longer a gateway", true);
}

/// Checks the expected waits again: statements of faster kinds that arrived
/// later may have made a wait too long.
void line_group::refuseHopeless() {
  std::vector<std::uint64_t> Waiting;
  for (const auto &[Place, Id] : Queue)
    Waiting.push_back(Id);
  for (auto Id : Waiting)
    if (auto *Work = findWork(Id))
      refuseIfTooLong(*Work);
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
      dropUpstream(Id);
      Known = nullptr;
    }
    Present.insert(Id);
    if (!Known && !Assigned)
      continue;
    auto &Upstream = Upstreams[Id];
    Upstream.Announcement = Announcement;
    // The probe connects first: if the upstream has few free connections,
    // nothing is known of it without a probe.
    if (!Known)
      probe(Id);
    if (Announcement.Leaving && !Upstream.LeavingSince)
      Upstream.LeavingSince = now();
    trimIdle(Upstream);
    for (std::uint32_t Held = Upstream.Occupied + Upstream.Opening +
                              static_cast<std::uint32_t>(Upstream.Idle.size());
         Held < WarmConnections && mayConnect(Upstream); ++Held)
      connect(Id);
  }
  std::vector<upstream_id> Gone;
  for (const auto &[Id, Upstream] : Upstreams)
    if (!Present.contains(Id))
      Gone.push_back(Id);
  for (const auto &Id : Gone)
    dropUpstream(Id);
}

void line_group::dropUpstream(const upstream_id &Id) {
  std::vector<std::uint64_t> Lost;
  for (const auto &[Number, Work] : Works)
    if (Work->Phase != line_phase::Waiting && Work->Upstream == Id)
      Lost.push_back(Number);
  for (auto Number : Lost)
    if (auto *Work = findWork(Number))
      lose(*Work, "the upstream has left");
  std::erase_if(Transactions,
                [&](const auto &Entry) { return Entry.second.Upstream == Id; });
  std::erase_if(Stragglers,
                [&](const auto &Entry) { return Entry.second.Upstream == Id; });
  Upstreams.erase(Id);
}

//===----------------------------------------------------------------------===//
// Connections
//===----------------------------------------------------------------------===//

void line_group::connect(const upstream_id &Id) {
  auto &Upstream = Upstreams.at(Id);
  std::uint64_t Attempt = ++LastId;
  ++Upstream.Opening;
  line_target Target{Upstream.Announcement.Address, View.Group.Value,
                     Settings.User, Id, Settings.ConnectTimeout};
  Connecting[Attempt] = std::make_unique<line_connection>(
      Context, protocol(), std::move(Target),
      [Weak = weak_from_this(), Id, Attempt](const line_opening &Opening) {
        if (auto Self = Weak.lock())
          Self->onConnected(Id, Attempt, Opening);
      });
}

void line_group::onConnected(const upstream_id &Id, std::uint64_t Attempt,
                             const line_opening &Opening) {
  auto Session = std::make_unique<line_session>();
  auto Taken = Connecting.extract(Attempt);
  auto *Upstream = findUpstream(Id);
  if (Taken.empty() || !Upstream)
    return;
  Session->Connection = std::move(Taken.mapped());
  --Upstream->Opening;
  if (!Opening.Problem) {
    Upstream->ConnectDelay = duration::zero();
    ++Upstream->Occupied;
    return giveBack(Id, std::move(Session));
  }
  Upstream->ConnectDelay = std::clamp(Upstream->ConnectDelay * 2,
                                      LeastConnectDelay, MostConnectDelay);
  Upstream->ConnectNotBefore = now() + Upstream->ConnectDelay;
  event("upstream.connect_failed", severity::Debug)
      .with("group", View.Group.Value)
      .with("upstream", Id.Value)
      .with("reason", Opening.Problem->reason());
  // The connection is inside its callback and must outlive this call.
  Context.Loop.post([Keep = std::shared_ptr<line_session>(
                         std::move(Session))]() mutable { Keep.reset(); });
  pump();
}

void line_group::giveBack(const upstream_id &Id,
                          std::unique_ptr<line_session> Session) {
  auto *Upstream = findUpstream(Id);
  if (!Upstream)
    return;
  --Upstream->Occupied;
  if (!Session->Connection->isOpen())
    return pump();
  auto *Connection = Session->Connection.get();
  Connection->onLost([Weak = weak_from_this(), Id, Connection] {
    auto Self = Weak.lock();
    auto *Upstream = Self ? Self->findUpstream(Id) : nullptr;
    if (!Upstream)
      return;
    for (auto &Idle : Upstream->Idle)
      if (Idle->Connection.get() == Connection) {
        Self->Context.Loop.post(
            [Keep = std::shared_ptr<line_session>(std::move(Idle))] {});
        break;
      }
    std::erase_if(Upstream->Idle, [](const auto &Idle) { return !Idle; });
  });
  Session->UsedAt = now();
  Upstream->Idle.push_back(std::move(Session));
  trimIdle(*Upstream);
  pump();
}

void line_group::rollBack(const upstream_id &Id,
                          std::unique_ptr<line_session> Session) {
  std::string Bytes;
  protocol().AppendRollback(Bytes);
  auto Shared =
      std::make_shared<std::unique_ptr<line_session>>(std::move(Session));
  (*Shared)->Connection->run(
      std::move(Bytes), 1,
      [Weak = weak_from_this(), Id, Shared](const line_run &Run) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        bool Clean = !Run.Broken && Run.Answers.back().Ready.State == 'I';
        if (Clean)
          Self->giveBack(Id, std::move(*Shared));
        else
          Self->discard(Id, std::move(*Shared));
      });
}

void line_group::discard(const upstream_id &Id,
                         std::unique_ptr<line_session> Session) {
  if (Session) {
    Session->Connection->close();
    Context.Loop.post(
        [Keep = std::shared_ptr<line_session>(std::move(Session))] {});
  }
  if (auto *Upstream = findUpstream(Id))
    --Upstream->Occupied;
}

void line_group::trimIdle(line_upstream &Upstream) {
  std::uint32_t Limit = connectionLimit();
  while (!Upstream.Idle.empty() &&
         Upstream.Occupied + Upstream.Opening + Upstream.Idle.size() > Limit)
    Upstream.Idle.erase(Upstream.Idle.begin());
  // Sessions are taken from the back, so the front is the longest unused.
  while (Upstream.Idle.size() > WarmConnections &&
         now() - Upstream.Idle.front()->UsedAt > UnusedLimit)
    Upstream.Idle.erase(Upstream.Idle.begin());
}

//===----------------------------------------------------------------------===//
// Timers
//===----------------------------------------------------------------------===//

/// Ends all statements and transactions of a group that is assigned elsewhere
/// when this VM has no valid lease: control grants no new lease before.
void line_group::endLostWork() {
  if (Assigned || Member.LeaseValid() || !holdsGroup())
    return;
  std::vector<upstream_id> Ids;
  for (const auto &[Id, Upstream] : Upstreams)
    Ids.push_back(Id);
  for (const auto &Id : Ids)
    dropUpstream(Id);
}

void line_group::tick() {
  endLostWork();
  probeAll();
  askElsewhere();
  refuseHopeless();
  dropStragglers();
  for (auto &[Id, Upstream] : Upstreams)
    trimIdle(Upstream);
  pump();
  if (!Assigned && !holdsGroup()) {
    Ticker.cancel();
    Upstreams.clear();
  }
}

void line_group::armDeadline() {
  std::optional<time_point> Next;
  for (const auto &[Id, Work] : Works) {
    time_point Due = Work->Deadline;
    if (Work->Phase == line_phase::Waiting && Work->NotBefore > now())
      Due = std::min(Due, Work->NotBefore);
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
        Self->expire();
        Self->pump();
        Self->armDeadline();
      });
}

void line_group::expire() {
  std::vector<std::uint64_t> Over;
  for (const auto &[Id, Work] : Works)
    if (Work->Deadline <= now())
      Over.push_back(Id);
  for (auto Id : Over) {
    auto *Work = findWork(Id);
    if (!Work)
      continue;
    if (Work->Phase == line_phase::Waiting && !Work->inTransaction())
      refuse(*Work, line_error::Busy,
             Work->Reason.empty() ? "no capacity before the deadline"
                                  : Work->Reason);
    else
      lose(*Work, "no answer in time");
  }
}

//===----------------------------------------------------------------------===//
// Cancellation
//===----------------------------------------------------------------------===//

void line_group::cancel(const caller_request &Caller) {
  for (const auto &[Id, Work] : Works)
    if (Work->Arrived.Caller == Caller) {
      Work->Arrived.Reply = [](wire::statement_reply) {};
      if (Work->Phase == line_phase::Waiting)
        refuse(*Work, line_error::Aborted, "the caller went away");
      return;
    }
}

void line_group::release(link_id Link, transaction_id Transaction) {
  auto Found = Transactions.find({Link, Transaction});
  if (Found == Transactions.end())
    return;
  auto Taken = std::move(Found->second);
  Transactions.erase(Found);
  // Otherwise a statement of the transaction holds the session. On completion
  // it finds that the transaction has ended, and rolls it back.
  if (Taken.Session)
    rollBack(Taken.Upstream, std::move(Taken.Session));
}

void line_group::callerGone(link_id Link) {
  std::vector<transaction_id> Open;
  for (const auto &[Key, Transaction] : Transactions)
    if (Key.Link == Link)
      Open.push_back(Key.Transaction);
  for (auto Transaction : Open)
    release(Link, Transaction);
  std::vector<caller_request> Callers;
  for (const auto &[Id, Work] : Works)
    if (Work->Arrived.Caller.Link == Link)
      Callers.push_back(Work->Arrived.Caller);
  for (const auto &Caller : Callers)
    cancel(Caller);
}

bool line_group::holdsGroup() const {
  return Assigned || !Works.empty() || !Transactions.empty();
}

std::size_t line_group::inFlight() const {
  return Works.size() + Transactions.size();
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

std::shared_ptr<group_port> makeLineGroup(daemon_context &Context,
                                          membership_hooks Member,
                                          const line_group_settings &Settings,
                                          const group_id &Group) {
  return std::make_shared<line_group>(Context, std::move(Member), Settings,
                                      Group);
}

} // namespace teasellock
