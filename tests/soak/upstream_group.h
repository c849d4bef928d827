/// A simulated group of upstreams with a replicated log, all in one process:
/// the databases behind the proxy.
#pragma once

#include "core/timer_service.h"
#include "tests/soak/oracle.h"
#include "tests/stand_in/connection.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace teasellock::soak {

/// How an upstream fails.
enum class upstream_fault {
  /// Its connections are closed, and it accepts no new ones.
  Crashed,
  /// It accepts connections and never replies.
  Silent,
};

/// How an upstream answers one statement of a session instead of executing it.
enum class statement_fault {
  None,
  /// The error READONLY.
  ReadOnly,
  /// An error of the statement itself.
  Failed,
  /// The connection is closed.
  Reset,
  /// No answer, to this statement or a later one of the connection.
  Silent,
  /// No answer to this statement; later ones are answered.
  Lost,
};

/// Size and timing of a group.
struct group_settings {
  group_id Group;
  /// Address of the first upstream; the others use the ports after it. With
  /// port zero each listens on a free one.
  endpoint Address;
  std::size_t Upstreams = 3;
  std::size_t MaxConnections = 24;
  /// Statements that an upstream executes at the same time.
  std::size_t ConcurrentStatements = 3;
  /// How long the execution of a statement takes.
  duration ExecutionTime = std::chrono::milliseconds(2);
  /// Delay between receiving and applying a commit on a replica.
  duration Lag = std::chrono::milliseconds(20);
  duration PromotionTime = std::chrono::milliseconds(300);
  /// Called with each line that an upstream receives; may be empty.
  std::function<void(const std::string &Line)> OnLine;
  /// Called with each read or write that an upstream executes, and with the
  /// user of its connection; may be empty.
  std::function<void(const std::string &Id, const std::string &User)>
      OnExecution;
};

/// The state of an upstream, as it announces it.
struct upstream_status {
  std::string Id;
  endpoint Address;
  bool IsRunning = false;
  bool IsPrimary = false;
  bool IsLeaving = false;
  std::uint64_t Incarnation = 0;
};

/// The upstreams of one group, controlled from the test's process.
class upstream_group {
public:
  upstream_group(event_loop &Loop, timer_service &Timers, oracle &Oracle,
                 group_settings Settings);
  ~upstream_group();

  std::size_t size() const;
  /// Returns the index of the primary; zero if there is none.
  std::size_t primaryIndex() const;
  upstream_status statusOf(std::size_t Upstream) const;

  /// Starts the promotion of an upstream to primary of the next term. Returns
  /// false if the upstream isn't running.
  bool promote(const std::string &Id);

  void injectFault(std::size_t Upstream, upstream_fault Fault);
  /// Ends a fault: the upstream runs and replies again on new connections.
  void recover(std::size_t Upstream);
  /// Disconnects the upstream from replication in both directions, or
  /// reconnects it.
  void cutReplication(std::size_t Upstream, bool Cut);
  void setLag(duration Lag);
  /// Sets the function that selects the fault of each further statement by its
  /// verb. It is not called for orders and status requests.
  void selectFaults(
      std::function<statement_fault(const std::string &Verb)> SelectFault);
  /// Sets whether the upstream announces that it is leaving.
  void setLeaving(std::size_t Upstream, bool Leaving);
  /// Drops all further bytes of the upstreams' open connections.
  void silenceConnections();
  /// Closes each open connection with this probability, 0 to 1.
  void resetConnections(double Share, std::uint64_t Seed);

  /// Returns the log of the primary.
  const commit_log &primaryLog() const;
  std::uint64_t promotions() const;
  /// Returns how often a prepared statement was executed under a name that its
  /// session did not have.
  std::uint64_t unknownNames() const;
  /// Returns the users of the sessions that a statement has reached.
  std::set<std::string> usersOf(const std::string &StatementId) const;
  /// Returns how many sessions a user has opened so far.
  std::uint64_t sessionsOf(const std::string &User) const;
  /// Returns the number of transactions that are open at the upstreams.
  std::size_t openTransactions() const;
  /// Returns the number of connections whose statement has no answer yet.
  std::size_t busyConnections() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock::soak
