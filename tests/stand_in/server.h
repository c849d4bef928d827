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
  std::optional<endpoint> ControlListen;
  availability_zone_id AvailabilityZone;
  region_id Region;
  int Slots = 3;
  int Connections = 25;
  duration Lag{};
  duration ConnectTime{};
  duration StatementTime{};
  std::vector<endpoint> AnnounceTo;
  /// Starts as a replica of this upstream; otherwise as the primary of term 1.
  std::optional<endpoint> Follow;
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
  endpoint listening() const;
  endpoint controlEndpoint() const;
  bool isReplica() const { return Stream != nullptr; }
  bool isFrozen() const { return IsFrozen; }
  bool isLeaving() const { return IsLeaving; }
  bool isPartitionedFrom(const std::string &ApplicationName) const;

  /// Whether the number of client connections is within the limit.
  bool isWithinConnectionLimit() const;

  /// Acquires an execution slot. Returns false and queues the session if none
  /// is free.
  bool acquireSlotOrQueue(session &Session);
  void releaseSlot();
  void removeFromSlotQueue(std::uint32_t Pid);

  /// Called after commit or rollback: resumes sessions that wait for the
  /// transaction's locks, and replicates a logged record.
  void handleTransactionEnd(std::uint32_t Owner, bool Logged);

  /// Whether Waiter waits for itself through Owner, directly or indirectly.
  bool isDeadlocked(std::uint32_t Waiter, std::uint32_t Owner) const;

  session *findSession(std::uint32_t Pid);
  void removeSession(std::uint32_t Pid);
  std::optional<virtual_table> findVirtualTable(const std::string &Name) const;
  value callFunction(const std::string &Name,
                     const std::vector<value> &Arguments);
  void alterSystem(const std::string &Name, const std::string &Value);
  void recordInsert(const std::string &Table, const std::string &Key);

  /// Terminates older replication streams of the same replica.
  void terminateOlderStreams(const session &Session);

  /// Executes a command of stand_in('…') or the control port, such as "freeze"
  /// or "lag 200", and returns its output. Throws sql_error 22023.
  std::string runSwitch(const std::string &Text);

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
