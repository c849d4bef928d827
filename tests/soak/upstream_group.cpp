#include "tests/soak/upstream_group.h"

#include "core/error.h"
#include "core/event_log.h"
#include "tests/soak/upstream_group_state.h"

#include <algorithm>
#include <unistd.h>
#include <utility>

namespace teasellock::soak {

namespace {

constexpr duration ReplicationPeriod = std::chrono::milliseconds(5);

} // namespace

upstream_group::state::state(event_loop &Loop, timer_service &Timers,
                             oracle &Oracle, group_settings Given)
    : Loop(Loop), Timers(Timers), Oracle(Oracle), Settings(std::move(Given)),
      Servers(Settings.Upstreams) {
  for (std::size_t Index = 0; Index < Servers.size(); ++Index) {
    auto &Server = Servers[Index];
    Server.Node.Id = Settings.Group.Value + "-" + std::to_string(Index + 1);
    Server.Node.IsPrimary = Index == 0;
    Server.Node.Term = NewestTerm;
    Server.Node.Incarnation = 1;
    Server.Address = Settings.Address;
    if (Settings.Address.Port != 0)
      Server.Address.Port += static_cast<std::uint16_t>(Index);
    listen(Index);
  }
  ReplicationTimer =
      this->Timers.every(ReplicationPeriod, [this] { replicate(); });
}

upstream_group::state::server *upstream_group::state::primaryServer() {
  for (auto &Server : Servers)
    if (Server.Node.IsPrimary)
      return &Server;
  return nullptr;
}

//===----------------------------------------------------------------------===//
// Replication
//===----------------------------------------------------------------------===//

void upstream_group::state::replicate() {
  auto *Primary = primaryServer();
  for (auto &Server : Servers) {
    auto &Node = Server.Node;
    if (Node.IsPrimary || !Node.IsRunning || Node.IsSilent)
      continue;
    bool Receives = Primary && Primary->Node.IsRunning &&
                    !Primary->Node.IsSilent && !Primary->Node.IsPartitioned &&
                    !Node.IsPartitioned &&
                    Node.PausedTerm <= Primary->Node.Term;
    if (Receives)
      copyLog(Server, *Primary);
    while (Node.AppliedCount < Node.Log.size() &&
           Node.ReceivedAt[Node.AppliedCount] + Settings.Lag <= Timers.now())
      ++Node.AppliedCount;
  }
  if (Primary)
    completeCommits(*Primary);
}

/// Replaces a replica's log with that of the primary, starting at the first
/// entry that differs.
void upstream_group::state::copyLog(server &Replica, const server &Primary) {
  auto &Log = Replica.Node.Log;
  const auto &Source = Primary.Node.Log;
  std::size_t Same = std::min(Log.size(), Source.size());
  while (Same > 0 && Log[Same - 1].Number != Source[Same - 1].Number)
    --Same;
  Log.resize(Same);
  Replica.Node.ReceivedAt.resize(Same);
  Replica.Node.AppliedCount = std::min(Replica.Node.AppliedCount, Same);
  Replica.Node.Term = Primary.Node.Term;
  for (std::size_t Index = Same; Index < Source.size(); ++Index) {
    Log.push_back(Source[Index]);
    Replica.Node.ReceivedAt.push_back(Timers.now());
  }
}

/// Sends the results of commits that a replica has received.
void upstream_group::state::completeCommits(server &Primary) {
  auto Received = [&](const upstream_session &Session) {
    return std::any_of(Servers.begin(), Servers.end(), [&](const auto &Other) {
      const auto &Log = Other.Node.Log;
      return &Other != &Primary && Other.Node.IsRunning &&
             Log.size() >= Session.AwaitedOffset &&
             Log[Session.AwaitedOffset - 1].Number == Session.AwaitedNumber;
    });
  };
  auto Sessions = Primary.Sessions;
  for (auto &Session : Sessions) {
    if (Session->AwaitedOffset == 0 || Primary.Node.IsSilent ||
        !Received(*Session))
      continue;
    Session->AwaitedOffset = 0;
    Session->IsBusy = false;
    sendResult(Primary, *Session, Session->AwaitedResult);
    auto Index = static_cast<std::size_t>(&Primary - Servers.data());
    processInput(Index, Session);
  }
}

/// Makes a primary a replica. It never replies to commits that no replica has
/// received.
void upstream_group::state::endLeadership(server &Server) {
  if (!std::exchange(Server.Node.IsPrimary, false))
    return;
  std::erase_if(Server.Sessions, [](const auto &Session) {
    bool Awaits = Session->AwaitedOffset != 0;
    Session->IsClosed = Session->IsClosed || Awaits;
    return Awaits;
  });
}

/// Demotes a primary of a lower term. What it has sent still arrives.
void upstream_group::state::demote(server &Server, term Term) {
  if (!Server.Node.IsPrimary || Server.Node.Term >= Term)
    return;
  replicate();
  endLeadership(Server);
  event("soak.demoted").with("upstream", Server.Node.Id);
}

void upstream_group::state::becomePrimary(std::size_t Index) {
  auto &Server = Servers[Index];
  if (!Server.Node.IsRunning || Server.Node.IsSilent || Server.Node.IsPrimary)
    return;
  NewestTerm = term(NewestTerm.Value + 1);
  ++Promotions;
  for (auto &Other : Servers) {
    endLeadership(Other);
    Other.Node.PausedTerm = term();
  }
  Server.Node.IsPrimary = true;
  Server.Node.Term = NewestTerm;
  Server.Node.AppliedCount = Server.Node.Log.size();
  event("soak.promoted")
      .with("upstream", Server.Node.Id)
      .with("term", NewestTerm.Value);
  Oracle.checkPromotion(Settings.Group, Server.Node.Log);
}

//===----------------------------------------------------------------------===//
// Promotions and faults
//===----------------------------------------------------------------------===//

upstream_group::upstream_group(event_loop &Loop, timer_service &Timers,
                               oracle &Oracle, group_settings Settings)
    : State(
          std::make_unique<state>(Loop, Timers, Oracle, std::move(Settings))) {}

upstream_group::~upstream_group() = default;

std::size_t upstream_group::size() const { return State->Servers.size(); }

std::size_t upstream_group::primaryIndex() const {
  for (std::size_t Index = 0; Index < size(); ++Index)
    if (State->Servers[Index].Node.IsPrimary)
      return Index;
  return 0;
}

upstream_status upstream_group::statusOf(std::size_t Upstream) const {
  const auto &Server = State->Servers.at(Upstream);
  return {Server.Node.Id,        Server.Address,
          Server.Node.IsRunning, Server.Node.IsPrimary,
          Server.Node.IsLeaving, Server.Node.Incarnation};
}

bool upstream_group::promote(const std::string &Id) {
  for (std::size_t Index = 0; Index < size(); ++Index) {
    const auto &Node = State->Servers[Index].Node;
    if (Node.Id != Id)
      continue;
    bool Runs = Node.IsRunning && !Node.IsSilent;
    if (Runs)
      State->PendingPromotions.push_back(
          State->Timers.after(State->Settings.PromotionTime,
                              [this, Index] { State->becomePrimary(Index); }));
    return Runs;
  }
  return false;
}

void upstream_group::injectFault(std::size_t Upstream, upstream_fault Fault) {
  auto &Server = State->Servers.at(Upstream);
  if (!Server.Node.IsRunning || Server.Node.IsSilent)
    return;
  if (Fault == upstream_fault::Silent) {
    Server.Node.IsSilent = true;
    return;
  }
  Server.Node.IsRunning = false;
  Server.Watch = descriptor_watch();
  ::close(Server.Listener);
  State->endSessions(Server);
}

void upstream_group::recover(std::size_t Upstream) {
  auto &Server = State->Servers.at(Upstream);
  if (Server.Node.IsSilent) {
    // Statements received while the upstream was silent get no reply.
    Server.Node.IsSilent = false;
    State->endSessions(Server);
    return;
  }
  if (Server.Node.IsRunning)
    return;
  Server.Node.IsRunning = true;
  Server.Node.PausedTerm = term();
  ++Server.Node.Incarnation;
  State->listen(Upstream);
}

void upstream_group::cutReplication(std::size_t Upstream, bool Cut) {
  State->Servers.at(Upstream).Node.IsPartitioned = Cut;
}

void upstream_group::setLag(duration Lag) { State->Settings.Lag = Lag; }

void upstream_group::selectFaults(
    std::function<statement_fault(const std::string &Verb)> SelectFault) {
  State->SelectFault = std::move(SelectFault);
}

void upstream_group::setLeaving(std::size_t Upstream, bool Leaving) {
  State->Servers.at(Upstream).Node.IsLeaving = Leaving;
}

void upstream_group::silenceConnections() {
  for (auto &Server : State->Servers)
    for (auto &Session : Server.Sessions)
      Session->Connection->mute();
}

void upstream_group::resetConnections(double Share, std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::bernoulli_distribution Hit(Share);
  for (auto &Server : State->Servers)
    std::erase_if(Server.Sessions, [&](const auto &Session) {
      if (!Hit(Random))
        return false;
      Session->IsClosed = true;
      Server.Node.RunningStatements -=
          Session->ExecutionTimer.isActive() ? 1 : 0;
      return true;
    });
}

const commit_log &upstream_group::primaryLog() const {
  return State->Servers[primaryIndex()].Node.Log;
}

std::uint64_t upstream_group::promotions() const { return State->Promotions; }

std::size_t upstream_group::openTransactions() const {
  std::size_t Count = 0;
  for (const auto &Server : State->Servers)
    for (const auto &Session : Server.Sessions)
      Count += Session->Transaction ? 1 : 0;
  return Count;
}

std::set<std::string>
upstream_group::usersOf(const std::string &StatementId) const {
  auto Found = State->UsersOfStatements.find(StatementId);
  return Found == State->UsersOfStatements.end() ? std::set<std::string>()
                                                 : Found->second;
}

std::uint64_t upstream_group::sessionsOf(const std::string &User) const {
  auto Found = State->SessionsOfUsers.find(User);
  return Found == State->SessionsOfUsers.end() ? 0 : Found->second;
}

std::size_t upstream_group::busyConnections() const {
  std::size_t Count = 0;
  for (const auto &Server : State->Servers)
    for (const auto &Session : Server.Sessions)
      Count += Session->IsBusy ? 1 : 0;
  return Count;
}

std::uint64_t upstream_group::unknownNames() const {
  return State->UnknownNames;
}

} // namespace teasellock::soak
