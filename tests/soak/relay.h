/// A TCP proxy on loopback that injects network faults between two processes.
#pragma once

#include "core/endpoint.h"
#include "core/timer_service.h"
#include "tests/stand_in/connection.h"

#include <deque>
#include <memory>
#include <vector>

namespace teasellock::soak {

/// The direction in which bytes are dropped.
enum class relay_drop { None, ToServer, FromServer, Both };

/// Forwards connections from one address to another.
class relay {
public:
  relay(event_loop &Loop, timer_service &Timers, const endpoint &Listen,
        endpoint Server);
  ~relay();

  /// Drops bytes in a direction from now on. A connection that lost bytes stays
  /// silent in that direction even after dropping has ended.
  void dropBytes(relay_drop Direction) { Dropped = Direction; }
  /// Delays all bytes by this time.
  void setDelay(duration Span) { Delay = Span; }
  /// Limits the bytes per second in each direction, of all connections
  /// together. Zero removes the limit.
  void limitRate(std::uint64_t BytesPerSecond) { Rate = BytesPerSecond; }
  /// Closes each open connection with this probability, 0 to 1.
  void resetConnections(double Share, std::uint64_t Seed);
  /// Drops all further bytes of the open connections; new ones work.
  void silenceConnections();

private:
  struct connection_pair;

  void accept();
  void forward(const std::shared_ptr<connection_pair> &Pair, bool ToServer);
  duration transferTime(std::size_t Bytes, bool ToServer);

  event_loop &Loop;
  timer_service &Timers;
  endpoint Server;
  int Listener;
  descriptor_watch Watch;
  relay_drop Dropped = relay_drop::None;
  duration Delay{};
  std::uint64_t Rate = 0;
  /// When the limited link has sent what it has accepted so far.
  time_point IdleToServer;
  time_point IdleFromServer;
  std::vector<std::shared_ptr<connection_pair>> Pairs;
};

} // namespace teasellock::soak
