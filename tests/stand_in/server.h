#pragma once

#include "core/ids.h"
#include "core/timer_service.h"
#include "tests/stand_in/replica_stream.h"
#include "tests/stand_in/session.h"

#include <deque>
#include <memory>
#include <set>

namespace teasellock::stand_in {

/// Configuration of a stand-in server.
struct server_options {
  group_id Group;
  upstream_id Name;
  endpoint Listen;
  /// Address of the port for control commands; none if unset.
  std::optional<endpoint> ControlListen;
  availability_zone_id AvailabilityZone;
  region_id Region;
  /// Statements executed at the same time. Limited only if StatementTime isn't
  /// zero.
  int Slots = 3;
  /// Maximum number of client connections.
  int Connections = 25;
  /// Time between receiving and applying a record on a replica.
  duration Lag{};
  /// Time that opening a connection takes.
  duration ConnectTime{};
  /// Time that a statement occupies a slot before it is executed.
  duration StatementTime{};
  /// Control VMs that receive announcements of the upstream.
  std::vector<endpoint> AnnounceTo;
  /// Starts as a replica of this upstream; otherwise as the primary of term 1.
  std::optional<endpoint> FollowPrimary;
};

/// A stand-in for a PostgreSQL server: its tables, client sessions and
/// replication, and commands that inject faults.
class server {
public:
  server(event_loop &Loop, timer_service &Timers, server_options Options);
  ~server();

  event_loop &loop() { return Loop; }
  timer_service &timers() { return Timers; }
  store &tables() { return Store; }
  const server_options &options() const { return Options; }
  /// Returns the address for clients and replicas, with the actual port.
  endpoint listenEndpoint() const;
  /// Returns the address for control commands, with the actual port.
  endpoint controlEndpoint() const;
  bool isReplica() const { return Stream != nullptr; }
  /// Whether the server currently processes no input, set by "freeze".
  bool isFrozen() const { return IsFrozen; }
  /// Whether the server announces the state "leaving".
  bool isLeaving() const { return IsLeaving; }
  /// Whether connections with this application name are refused, set by "cut".
  bool isPartitionedFrom(const std::string &ApplicationName) const;

  /// Whether the number of client connections is within the limit.
  bool isWithinConnectionLimit() const;

  /// Acquires an execution slot. Returns false and queues the session if none
  /// is free.
  bool acquireSlotOrQueue(session &Session);
  /// Releases a slot, or passes it to the first session in the queue.
  void releaseSlot();
  void removeFromSlotQueue(std::uint32_t Pid);

  /// Called after commit or rollback: resumes sessions that wait for the
  /// transaction's locks, and replicates a logged record.
  void handleTransactionEnd(std::uint32_t Owner, bool Logged);

  /// Whether Waiter waits for itself through Owner, directly or indirectly.
  bool isDeadlocked(std::uint32_t Waiter, std::uint32_t Owner) const;

  /// Returns the session with this process id, or null.
  session *findSession(std::uint32_t Pid);
  void removeSession(std::uint32_t Pid);
  /// Returns the contents of pg_stat_activity or pg_stat_replication.
  std::optional<virtual_table> findVirtualTable(const std::string &Name) const;
  /// Calls a function of the server. Throws sql_error 42883 if it is unknown.
  value callFunction(const std::string &Name,
                     const std::vector<value> &Arguments);
  /// Sets primary_conninfo. It takes effect with pg_reload_conf().
  void alterSystem(const std::string &Name, const std::string &Value);
  /// Counts an executed INSERT into bookings or orders, for the commands
  /// "executions" and "count".
  void recordInsert(const std::string &Table, const std::string &Key);

  /// Terminates older replication streams of the same replica.
  void terminateOlderStreams(const session &Session);

  /// Executes a command of stand_in('…') or the control port, such as "freeze"
  /// or "lag 200", and returns its output. Throws sql_error 22023.
  std::string executeCommand(const std::string &Text);

private:
  void acceptConnections();
  void acceptControlConnections();
  value promote();
  value reloadConfiguration();
  value terminateBackend(std::uint32_t Pid);
  void follow(const endpoint &Primary, const std::string &Name);
  void scheduleReplication();
  void setFrozen(bool Freeze);
  void muteConnections();
  void partitionFrom(const std::string &Name);
  void discardLogTail(std::size_t Records);
  std::string insertCounts(const std::string &Key) const;
  virtual_table activityTable() const;
  virtual_table replicationTable() const;

  event_loop &Loop;
  timer_service &Timers;
  server_options Options;
  store Store;
  std::unique_ptr<replica_stream> Stream;
  std::map<std::uint32_t, std::unique_ptr<session>> Sessions;
  std::uint32_t LastPid = 1000;
  int UsedSlots = 0;
  std::deque<std::uint32_t> SlotQueue;
  bool SendPosted = false;
  bool IsFrozen = false;
  bool IsLeaving = false;
  bool RefusesConnections = false;
  std::set<std::string> PartitionedNames;
  std::optional<std::pair<endpoint, std::string>> PendingPrimary;
  std::unordered_map<std::string, std::uint64_t> InsertCounts;
  int Listener = -1;
  int ControlListener = -1;
  descriptor_watch ListenWatch;
  descriptor_watch ControlWatch;
  std::map<std::uint64_t, std::unique_ptr<connection>> ControlConnections;
  std::uint64_t LastControl = 0;
  timer_subscription KeepAliveTimer;
};

} // namespace teasellock::stand_in
