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
    Server.Node.Primary = Index == 0;
    Server.Node.Term = NewestTerm;
    Server.Node.Born = 1;
    Server.Address = Settings.Address;
    Server.Address.Port += static_cast<std::uint16_t>(Index);
    listen(Index);
  }
  Replication = this->Timers.every(ReplicationPeriod, [this] { replicate(); });
}

upstream_group::state::server *upstream_group::state::leader() {
  for (auto &Server : Servers)
    if (Server.Node.Primary)
      return &Server;
  return nullptr;
}

//===----------------------------------------------------------------------===//
// Replication
//===----------------------------------------------------------------------===//

void upstream_group::state::replicate() {
  auto *Primary = leader();
  for (auto &Server : Servers) {
    auto &Node = Server.Node;
    if (Node.Primary || !Node.Running || Node.Silent)
      continue;
    bool Receives = Primary && Primary->Node.Running && !Primary->Node.Silent &&
                    !Primary->Node.Cut && !Node.Cut &&
                    Node.Held <= Primary->Node.Term;
    if (Receives)
      receive(Server, *Primary);
    while (Node.Applied < Node.Log.size() &&
           Node.ReceivedAt[Node.Applied] + Settings.Lag <= Timers.now())
      ++Node.Applied;
  }
  if (Primary)
    confirm(*Primary);
}

/// Makes a replica's log that of the primary.
void upstream_group::state::receive(server &Replica, const server &Primary) {
  auto &Log = Replica.Node.Log;
  const auto &Source = Primary.Node.Log;
  std::size_t Same = std::min(Log.size(), Source.size());
  while (Same > 0 && Log[Same - 1].Number != Source[Same - 1].Number)
    --Same;
  Log.resize(Same);
  Replica.Node.ReceivedAt.resize(Same);
  Replica.Node.Applied = std::min(Replica.Node.Applied, Same);
  Replica.Node.Term = Primary.Node.Term;
  for (std::size_t Index = Same; Index < Source.size(); ++Index) {
    Log.push_back(Source[Index]);
    Replica.Node.ReceivedAt.push_back(Timers.now());
  }
}

/// Answers the commits that a replica has received.
void upstream_group::state::confirm(server &Primary) {
  auto Received = [&](const upstream_session &Session) {
    return std::any_of(Servers.begin(), Servers.end(), [&](const auto &Other) {
      const auto &Log = Other.Node.Log;
      return &Other != &Primary && Other.Node.Running &&
             Log.size() >= Session.AwaitedOffset &&
             Log[Session.AwaitedOffset - 1].Number == Session.AwaitedNumber;
    });
  };
  auto Sessions = Primary.Sessions;
  for (auto &Session : Sessions) {
    if (Session->AwaitedOffset == 0 || Primary.Node.Silent ||
        !Received(*Session))
      continue;
    Session->AwaitedOffset = 0;
    Session->Busy = false;
    answer(Primary, *Session, Session->AwaitedAnswer);
    auto Index = static_cast<std::size_t>(&Primary - Servers.data());
    take(Index, Session);
  }
}

void upstream_group::state::lead(std::size_t Index) {
  auto &Server = Servers[Index];
  if (!Server.Node.Running || Server.Node.Silent || Server.Node.Primary)
    return;
  NewestTerm = term(NewestTerm.Value + 1);
  ++Promotions;
  for (auto &Other : Servers) {
    // Commits that no replica has are never answered by a former leader.
    if (std::exchange(Other.Node.Primary, false))
      std::erase_if(Other.Sessions, [](const auto &Session) {
        bool Awaits = Session->AwaitedOffset != 0;
        Session->Ended = Session->Ended || Awaits;
        return Awaits;
      });
    Other.Node.Held = term();
  }
  Server.Node.Primary = true;
  Server.Node.Term = NewestTerm;
  Server.Node.Applied = Server.Node.Log.size();
  event("soak.promoted")
      .with("upstream", Server.Node.Id)
      .with("term", NewestTerm.Value);
  Oracle.promoted(Settings.Group, Server.Node.Log);
}

//===----------------------------------------------------------------------===//
// Orders and faults
//===----------------------------------------------------------------------===//

upstream_group::upstream_group(event_loop &Loop, timer_service &Timers,
                               oracle &Oracle, group_settings Settings)
    : State(
          std::make_unique<state>(Loop, Timers, Oracle, std::move(Settings))) {}

upstream_group::~upstream_group() = default;

std::size_t upstream_group::size() const { return State->Servers.size(); }

std::size_t upstream_group::primary() const {
  for (std::size_t Index = 0; Index < size(); ++Index)
    if (State->Servers[Index].Node.Primary)
      return Index;
  return 0;
}

upstream_account upstream_group::account(std::size_t Upstream) const {
  const auto &Server = State->Servers.at(Upstream);
  return {Server.Node.Id,      Server.Address,      Server.Node.Running,
          Server.Node.Primary, Server.Node.Leaving, Server.Node.Born};
}

bool upstream_group::promote(const std::string &Id) {
  for (std::size_t Index = 0; Index < size(); ++Index) {
    const auto &Node = State->Servers[Index].Node;
    if (Node.Id != Id)
      continue;
    bool Runs = Node.Running && !Node.Silent;
    if (Runs)
      State->PendingPromotions.push_back(
          State->Timers.after(State->Settings.PromotionTime,
                              [this, Index] { State->lead(Index); }));
    return Runs;
  }
  return false;
}

void upstream_group::fail(std::size_t Upstream, upstream_fault Fault) {
  auto &Server = State->Servers.at(Upstream);
  if (!Server.Node.Running || Server.Node.Silent)
    return;
  if (Fault == upstream_fault::Silent) {
    Server.Node.Silent = true;
    return;
  }
  Server.Node.Running = false;
  Server.Watch = descriptor_watch();
  ::close(Server.Listener);
  State->endSessions(Server);
}

void upstream_group::recover(std::size_t Upstream) {
  auto &Server = State->Servers.at(Upstream);
  if (Server.Node.Silent) {
    // What was asked meanwhile is never answered.
    Server.Node.Silent = false;
    State->endSessions(Server);
    return;
  }
  if (Server.Node.Running)
    return;
  Server.Node.Running = true;
  Server.Node.Held = term();
  ++Server.Node.Born;
  State->listen(Upstream);
}

void upstream_group::cutReplication(std::size_t Upstream, bool Cut) {
  State->Servers.at(Upstream).Node.Cut = Cut;
}

void upstream_group::setLag(duration Lag) { State->Settings.Lag = Lag; }

void upstream_group::setLeaving(std::size_t Upstream, bool Leaving) {
  State->Servers.at(Upstream).Node.Leaving = Leaving;
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
      Session->Ended = true;
      Server.Node.Busy -= Session->Work.active() ? 1 : 0;
      return true;
    });
}

const commit_log &upstream_group::leadersLog() const {
  return State->Servers[primary()].Node.Log;
}

std::uint64_t upstream_group::promotions() const { return State->Promotions; }

} // namespace teasellock::soak
