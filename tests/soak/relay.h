/// A proxy on loopback that passes bytes between two processes and does harm.
#pragma once

#include "core/endpoint.h"
#include "core/timer_service.h"
#include "tests/stand_in/connection.h"

#include <deque>
#include <memory>
#include <vector>

namespace teasellock::soak {

/// Which bytes are lost.
enum class relay_cut { None, ToServer, FromServer, Both };

/// Passes the connections to one address on to another.
class relay {
public:
  relay(event_loop &Loop, timer_service &Timers, const endpoint &Listen,
        endpoint Server);
  ~relay();

  /// Loses bytes from now on. A connection that lost any stays silent, also
  /// after the cut has ended.
  void cut(relay_cut Cut) { Cut_ = Cut; }
  /// Holds every byte back for so long.
  void delay(duration Span) { Delay = Span; }
  /// Ends open connections, each with this probability, in 0 to 1.
  void reset(double Share, std::uint64_t Seed);
  /// Makes all open connections silent for good; new ones work.
  void silenceOpen();

private:
  struct pair;

  void accept();
  void pass(const std::shared_ptr<pair> &Pair, bool ToServer);

  event_loop &Loop;
  timer_service &Timers;
  endpoint Server;
  int Listener;
  descriptor_watch Watch;
  relay_cut Cut_ = relay_cut::None;
  duration Delay{};
  std::vector<std::shared_ptr<pair>> Pairs;
};

} // namespace teasellock::soak
