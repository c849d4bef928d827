#include "tests/soak/relay.h"

#include "core/error.h"

#include <algorithm>
#include <random>
#include <unistd.h>

namespace teasellock::soak {

struct relay::connection_pair {
  std::unique_ptr<stand_in::connection> Client;
  std::unique_ptr<stand_in::connection> Server;
  bool DropsToServer = false;
  bool DropsFromServer = false;
  bool IsClosed = false;
  /// Delayed bytes, and when the last of them are due.
  std::vector<timer_subscription> PendingWrites;
  time_point DueToServer;
  time_point DueFromServer;
};

relay::relay(event_loop &Loop, timer_service &Timers, const endpoint &Listen,
             endpoint Server)
    : Loop(Loop), Timers(Timers), Server(std::move(Server)),
      Listener(stand_in::listenOn(Listen)) {
  Watch = Loop.watch(Listener, {true, false}, [this](readiness) { accept(); });
}

relay::~relay() {
  Watch = descriptor_watch();
  ::close(Listener);
}

void relay::accept() {
  int Descriptor = stand_in::acceptFrom(Listener);
  if (Descriptor < 0)
    return;
  auto Pair = std::make_shared<connection_pair>();
  Pair->Client = std::make_unique<stand_in::connection>(Loop, Descriptor);
  try {
    Pair->Server = std::make_unique<stand_in::connection>(
        Loop, stand_in::connectTo(Server));
  } catch (const error &) {
    // No process listens: the client's connection is closed.
    return;
  }
  std::weak_ptr<connection_pair> Weak = Pair;
  auto End = [this, Weak] {
    auto LockedPair = Weak.lock();
    if (!LockedPair || LockedPair->IsClosed)
      return;
    LockedPair->IsClosed = true;
    Loop.post([this, LockedPair] { std::erase(Pairs, LockedPair); });
  };
  auto Pass = [this, Weak](bool ToServer) {
    if (auto LockedPair = Weak.lock(); LockedPair && !LockedPair->IsClosed)
      forward(LockedPair, ToServer);
  };
  Pair->Client->start([Pass] { Pass(true); }, End);
  Pair->Server->start([Pass] { Pass(false); }, End);
  Pairs.push_back(std::move(Pair));
}

/// Returns how long the bytes take on the limited link, behind all others that
/// it has accepted.
duration relay::transferTime(std::size_t Bytes, bool ToServer) {
  if (Rate == 0)
    return {};
  auto &Idle = ToServer ? IdleToServer : IdleFromServer;
  Idle = std::max(Idle, Timers.now()) +
         std::chrono::duration_cast<duration>(std::chrono::duration<double>(
             static_cast<double>(Bytes) / static_cast<double>(Rate)));
  return Idle - Timers.now();
}

void relay::forward(const std::shared_ptr<connection_pair> &Pair,
                    bool ToServer) {
  auto &From = ToServer ? Pair->Client : Pair->Server;
  std::string Bytes(From->input());
  From->consume(Bytes.size());
  bool &Lost = ToServer ? Pair->DropsToServer : Pair->DropsFromServer;
  auto Direction = ToServer ? relay_drop::ToServer : relay_drop::FromServer;
  Lost = Lost || Dropped == relay_drop::Both || Dropped == Direction;
  if (Lost || Bytes.empty())
    return;
  duration Transfer = transferTime(Bytes.size(), ToServer);
  auto Send = [Weak = std::weak_ptr<connection_pair>(Pair), ToServer,
               Bytes = std::move(Bytes)] {
    auto LockedPair = Weak.lock();
    if (!LockedPair || LockedPair->IsClosed)
      return;
    auto &To = ToServer ? LockedPair->Server : LockedPair->Client;
    To->output() += Bytes;
    To->flush();
  };
  std::erase_if(Pair->PendingWrites,
                [](const auto &Timer) { return !Timer.isActive(); });
  // Bytes must not overtake those that are still delayed.
  auto &Due = ToServer ? Pair->DueToServer : Pair->DueFromServer;
  Due = std::max(Due, Timers.now() + Delay + Transfer);
  duration Wait = Due - Timers.now();
  if (Wait <= duration::zero())
    return Send();
  Pair->PendingWrites.push_back(Timers.after(Wait, Send));
}

void relay::resetConnections(double Share, std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::bernoulli_distribution Hit(Share);
  for (auto &Pair : Pairs)
    Pair->IsClosed = Pair->IsClosed || Hit(Random);
  std::erase_if(Pairs, [](const auto &Pair) { return Pair->IsClosed; });
}

void relay::silenceConnections() {
  for (auto &Pair : Pairs) {
    Pair->DropsToServer = true;
    Pair->DropsFromServer = true;
  }
}

} // namespace teasellock::soak
