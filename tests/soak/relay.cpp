#include "tests/soak/relay.h"

#include "core/error.h"

#include <algorithm>
#include <random>
#include <unistd.h>

namespace teasellock::soak {

struct relay::pair {
  std::unique_ptr<stand_in::connection> Client;
  std::unique_ptr<stand_in::connection> Server;
  bool LostToServer = false;
  bool LostFromServer = false;
  bool Ended = false;
  /// What is held back, and when the last of it goes on.
  std::vector<timer_subscription> Held;
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
  auto Pair = std::make_shared<pair>();
  Pair->Client = std::make_unique<stand_in::connection>(Loop, Descriptor);
  try {
    Pair->Server = std::make_unique<stand_in::connection>(
        Loop, stand_in::connectTo(Server));
  } catch (const error &) {
    // Nobody listens: the client sees its connection end.
    return;
  }
  std::weak_ptr<pair> Weak = Pair;
  auto End = [this, Weak] {
    auto Alive = Weak.lock();
    if (!Alive || Alive->Ended)
      return;
    Alive->Ended = true;
    Loop.post([this, Alive] { std::erase(Pairs, Alive); });
  };
  auto Pass = [this, Weak](bool ToServer) {
    if (auto Alive = Weak.lock(); Alive && !Alive->Ended)
      pass(Alive, ToServer);
  };
  Pair->Client->start([Pass] { Pass(true); }, End);
  Pair->Server->start([Pass] { Pass(false); }, End);
  Pairs.push_back(std::move(Pair));
}

void relay::pass(const std::shared_ptr<pair> &Pair, bool ToServer) {
  auto &From = ToServer ? Pair->Client : Pair->Server;
  std::string Bytes(From->input());
  From->consume(Bytes.size());
  bool &Lost = ToServer ? Pair->LostToServer : Pair->LostFromServer;
  auto Direction = ToServer ? relay_cut::ToServer : relay_cut::FromServer;
  Lost = Lost || Cut_ == relay_cut::Both || Cut_ == Direction;
  if (Lost || Bytes.empty())
    return;
  auto Send = [Weak = std::weak_ptr<pair>(Pair), ToServer,
               Bytes = std::move(Bytes)] {
    auto Alive = Weak.lock();
    if (!Alive || Alive->Ended)
      return;
    auto &To = ToServer ? Alive->Server : Alive->Client;
    To->output() += Bytes;
    To->flush();
  };
  std::erase_if(Pair->Held, [](const auto &Timer) { return !Timer.active(); });
  // What is held back must not be overtaken.
  auto &Due = ToServer ? Pair->DueToServer : Pair->DueFromServer;
  Due = std::max(Due, Timers.now() + Delay);
  duration Wait = Due - Timers.now();
  if (Wait <= duration::zero())
    return Send();
  Pair->Held.push_back(Timers.after(Wait, Send));
}

void relay::reset(double Share, std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::bernoulli_distribution Hit(Share);
  for (auto &Pair : Pairs)
    Pair->Ended = Pair->Ended || Hit(Random);
  std::erase_if(Pairs, [](const auto &Pair) { return Pair->Ended; });
}

void relay::silenceOpen() {
  for (auto &Pair : Pairs) {
    Pair->LostToServer = true;
    Pair->LostFromServer = true;
  }
}

} // namespace teasellock::soak
