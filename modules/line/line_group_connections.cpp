#include "modules/line/line_group_state.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Connections that may be opened to one upstream concurrently: each takes a
/// slot there for as long as a statement.
constexpr std::uint32_t MaxConcurrentConnects = 2;

} // namespace

/// Also true while an entry already knows organisations that this gateway does
/// not, or after they were removed: connections of organisations then exist.
bool line_group::usesOrganisations() const {
  return HasServedOrganisations || Member.HasOrganisations();
}

connection_pool line_group::poolOf(const line_upstream &Upstream) const {
  connection_pool Pool;
  Pool.Limit = connectionLimit();
  Pool.OpensEnough = Upstream.ConnectionsOpening >= MaxConcurrentConnects;
  Pool.IsOpeningDelayed = now() < Upstream.ConnectNotBefore;
  for (const auto &Session : Upstream.IdleSessions)
    Pool.Idle.push_back({Session->Organisation, Session->IsUnused});
  Pool.Held = Upstream.ConnectionsInUse + Upstream.ConnectionsOpening;
  Pool.Uses = &Upstream.ConnectionUses;
  return Pool;
}

/// Counts the waiting statements again before a pass over the queue. Statements
/// that ended otherwise are thus no longer counted.
void line_group::updateWaiting() {
  if (!usesOrganisations())
    return;
  for (auto &[Id, Upstream] : Upstreams) {
    for (auto &[Name, Use] : Upstream.ConnectionUses)
      Use.Waiting = 0;
    std::erase_if(Upstream.ConnectionUses, [](const auto &Entry) {
      return Entry.second.InUse + Entry.second.Opening == 0;
    });
  }
  for (const auto &[Key, Id] : Queue) {
    const auto &Statement = *PendingStatements.at(Id);
    for (const auto &UpstreamId : Statement.WaitsAt)
      if (auto *Upstream = findUpstream(UpstreamId))
        ++Upstream->ConnectionUses[Statement.organisation()].Waiting;
  }
}

void line_group::recordWaiting(line_pending_statement &Statement,
                               const upstream_id &Id) {
  auto *Upstream = usesOrganisations() ? findUpstream(Id) : nullptr;
  if (!Upstream)
    return;
  Statement.WaitsAt.push_back(Id);
  ++Upstream->ConnectionUses[Statement.organisation()].Waiting;
}

/// Records a read as waiting at every upstream that may still execute it. This
/// includes those that accept no statements at the moment: a connection that
/// was opened for the read must not be replaced meanwhile.
void line_group::recordWaitingRead(line_pending_statement &Statement,
                                   const position &Required) {
  if (!usesOrganisations())
    return;
  auto Primary = findPrimary();
  for (const auto &[Id, Upstream] : Upstreams)
    if ((Primary == Id || Upstream.Applied >= Required) &&
        !Upstream.UnreachableSince && !Statement.TriedUpstreams.contains(Id))
      recordWaiting(Statement, Id);
}

void line_group::forgetWaiting(line_pending_statement &Statement) {
  for (const auto &Id : Statement.WaitsAt) {
    auto *Upstream = findUpstream(Id);
    auto Use = Upstream
                   ? Upstream->ConnectionUses.find(Statement.organisation())
                   : std::map<organisation_id, connection_use>::iterator();
    if (Upstream && Use != Upstream->ConnectionUses.end() &&
        Use->second.Waiting > 0)
      --Use->second.Waiting;
  }
  Statement.WaitsAt.clear();
}

bool line_group::hasIdleConnection(const line_upstream &Upstream,
                                   const organisation_id &Organisation) const {
  return std::any_of(Upstream.IdleSessions.begin(), Upstream.IdleSessions.end(),
                     [&](const auto &Session) {
                       return Session->Organisation == Organisation;
                     });
}

/// Reports whether a statement of the organisation that is tried now would get
/// a connection, or has one being opened for it.
bool line_group::canGetConnection(const line_upstream &Upstream,
                                  const organisation_id &Organisation) const {
  bool FewWait = Upstream.ConnectionDemand < MaxConcurrentConnects;
  if (!usesOrganisations()) {
    bool Opens = Upstream.ConnectionsOpening > 0 || canConnect(Upstream);
    return hasIdleConnection(Upstream, Organisation) || (Opens && FewWait);
  }
  auto Action = decideConnection(poolOf(Upstream), Organisation).Action;
  if (Action != connection_action::Wait)
    return true;
  auto Use = Upstream.ConnectionUses.find(Organisation);
  return Use != Upstream.ConnectionUses.end() && Use->second.Opening > 0 &&
         FewWait;
}

/// Moves an idle connection of the statement's organisation to the statement.
/// If there is none, opens one if that is due. Returns whether the statement
/// has got a connection.
bool line_group::claimConnection(line_pending_statement &Statement,
                                 const upstream_id &Id) {
  auto &Upstream = Upstreams.at(Id);
  auto Organisation = Statement.organisation();
  connection_decision Decision;
  if (!usesOrganisations()) {
    bool Opens = Upstream.ConnectionsOpening < MaxConcurrentConnects &&
                 canConnect(Upstream);
    Decision.Action = hasIdleConnection(Upstream, Organisation)
                          ? connection_action::Use
                      : Opens ? connection_action::Open
                              : connection_action::Wait;
  } else {
    recordWaiting(Statement, Id);
    Decision = decideConnection(poolOf(Upstream), Organisation);
  }
  if (Decision.Action == connection_action::Use) {
    forgetWaiting(Statement);
    takeIdleSession(Statement, Upstream);
    return true;
  }
  Statement.Reason = "no connection is free";
  ++Upstream.ConnectionDemand;
  if (Decision.Action == connection_action::Replace)
    replaceIdleSession(Upstream, Decision.Victim);
  if (Decision.Action != connection_action::Wait)
    connect(Id, Organisation);
  return false;
}

void line_group::takeIdleSession(line_pending_statement &Statement,
                                 line_upstream &Upstream) {
  auto Organisation = Statement.organisation();
  // An unused one, if there are organisations: see decideConnection().
  // Otherwise a connection with the same session settings saves messages, or
  // else the one that was used last is taken.
  auto Best = Upstream.IdleSessions.end();
  for (auto Idle = Upstream.IdleSessions.begin();
       Idle != Upstream.IdleSessions.end(); ++Idle) {
    if ((*Idle)->Organisation != Organisation)
      continue;
    Best = Idle;
    if ((*Idle)->Values.Settings == Statement.request().settings ||
        ((*Idle)->IsUnused && usesOrganisations()))
      break;
  }
  Statement.Session = std::move(*Best);
  Statement.Session->IsUnused = false;
  Upstream.IdleSessions.erase(Best);
  ++Upstream.ConnectionsInUse;
  ++Upstream.ConnectionUses[Organisation].InUse;
}

/// Closes an idle connection to make room for one of another organisation. The
/// connection may be inside its callback and must outlive this call.
void line_group::replaceIdleSession(line_upstream &Upstream,
                                    std::size_t Index) {
  auto Idle =
      Upstream.IdleSessions.begin() + static_cast<std::ptrdiff_t>(Index);
  std::shared_ptr<line_session> Session = std::move(*Idle);
  Upstream.IdleSessions.erase(Idle);
  Session->Connection->close();
  Context.Loop.post([KeepAlive = std::move(Session)] {});
}

} // namespace teasellock
