#pragma once

#include "core/ids.h"
#include "core/timer_service.h"
#include "tests/stand_in/replica_stream.h"
#include "tests/stand_in/session.h"

#include <deque>
#include <memory>
#include <set>

namespace teasellock::stand_in {

/// What a stand-in upstream is started with.
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
  /// Starts as a replica of this one; otherwise as the primary of term 1.
  std::optional<endpoint> Follow;
};

/// One upstream: its tables, callers, replication and switches.
class server {
public:
  server(event_loop &Loop, timer_service &Timers, server_options Options);
  ~server();

  event_loop &loop() { return Loop; }
  timer_service &timers() { return Timers; }
  store &tables() { return Store; }
  const server_options &options() const { return Options; }
  endpoint listening() const;
  endpoint controlListening() const;
  bool isReplica() const { return Stream != nullptr; }
  bool frozen() const { return Frozen; }
  bool leaving() const { return Leaving; }
  bool cut(const std::string &ApplicationName) const;

  /// Whether one more connection is within the limit.
  bool hasRoom() const;

  /// Takes a slot, or queues the session for one.
  bool takeSlot(session &Session);
  void freeSlot();
  void forgetWaiting(std::uint32_t Pid);

  /// Called after a commit or rollback of a transaction.
  void transactionEnded(std::uint32_t Owner, bool Logged);

  /// Whether waiting for Owner would close a circle of waits.
  bool deadlocked(std::uint32_t Waiter, std::uint32_t Owner) const;

  session *find(std::uint32_t Pid);
  void removeSession(std::uint32_t Pid);
  std::optional<virtual_table> virtualTable(const std::string &Name) const;
  value callFunction(const std::string &Name,
                     const std::vector<value> &Arguments);
  void alterSystem(const std::string &Name, const std::string &Value);
  void insertRan(const std::string &Table, const std::string &Key);

  /// Drops older streams of the same replica.
  void replicaConnected(const session &Session);

  /// Runs a switch and returns its answer. Throws sql_error 22023.
  std::string runSwitch(const std::string &Text);

private:
  void acceptCallers();
  void acceptControl();
  value promote();
  value reloadConfiguration();
  value terminateBackend(std::uint32_t Pid);
  void follow(const endpoint &Primary, const std::string &Name);
  void sendReplicationSoon();
  void setFrozen(bool Freeze);
  void silence();
  void cutPeer(const std::string &Name);
  void loseTail(std::size_t Records);
  std::string executionCounts(const std::string &Key) const;
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
  bool Frozen = false;
  bool Leaving = false;
  bool Refusing = false;
  std::set<std::string> CutNames;
  std::optional<std::pair<endpoint, std::string>> PendingPrimary;
  std::unordered_map<std::string, std::uint64_t> Executions;
  int Listener = -1;
  int ControlListener = -1;
  descriptor_watch ListenWatch;
  descriptor_watch ControlWatch;
  std::map<std::uint64_t, std::unique_ptr<connection>> ControlConnections;
  std::uint64_t LastControl = 0;
  timer_subscription KeepAliveTimer;
};

} // namespace teasellock::stand_in
