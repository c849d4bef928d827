/// A group of upstreams with a replicated log, in one process: stands for the
/// databases behind the proxy.
#pragma once

#include "core/timer_service.h"
#include "tests/soak/oracle.h"
#include "tests/stand_in/connection.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace teasellock::soak {

/// How an upstream fails.
enum class upstream_fault {
  /// Its connections end, and nobody listens.
  Crashed,
  /// It takes connections and never answers.
  Silent,
};

struct group_settings {
  group_id Group;
  endpoint Address;
  std::size_t Upstreams = 3;
  std::size_t Connections = 24;
  /// Statements that run at once.
  std::size_t Slots = 3;
  /// How long a statement runs.
  duration Work = std::chrono::milliseconds(2);
  /// How much later than received a replica applies a commit.
  duration Lag = std::chrono::milliseconds(20);
  duration PromotionTime = std::chrono::milliseconds(300);
};

/// An upstream's own account of itself.
struct upstream_account {
  std::string Id;
  endpoint Address;
  bool Running = false;
  bool Primary = false;
  bool Leaving = false;
  std::uint64_t Born = 0;
};

/// The upstreams of one group. All take their orders from the oracle's process.
class upstream_group {
public:
  upstream_group(event_loop &Loop, timer_service &Timers, oracle &Oracle,
                 group_settings Settings);
  ~upstream_group();

  std::size_t size() const;
  std::size_t primary() const;
  upstream_account account(std::size_t Upstream) const;

  /// Orders that an upstream lead the next term. False: it does not run.
  bool promote(const std::string &Id);

  void fail(std::size_t Upstream, upstream_fault Fault);
  void recover(std::size_t Upstream);
  /// The upstream receives nothing from others, or sends nothing to them.
  void cutReplication(std::size_t Upstream, bool Cut);
  void setLag(duration Lag);
  void setLeaving(std::size_t Upstream, bool Leaving);
  /// Makes the open connections of all upstreams silent for good.
  void silenceConnections();
  /// Ends each open connection with this probability, in 0 to 1.
  void resetConnections(double Share, std::uint64_t Seed);

  /// The log of the upstream that leads.
  const commit_log &leadersLog() const;
  std::uint64_t promotions() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock::soak
