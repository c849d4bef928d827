/// A database group of the users' platform: backends with a replicated log that
/// speak the line protocol, and the platform's call that promotes one of them.
/// The backends of a group share the memory of this process; each has its own
/// address, and its connections are served by threads.
#pragma once

#include "net.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <thread>
#include <vector>

namespace review {

/// A place in a log: a term and a number.
struct log_position {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;
  auto operator<=>(const log_position &) const = default;
  std::string text() const;
};

/// A committed transaction.
struct log_entry {
  log_position Position;
  /// Distinguishes entries of different logs at the same place.
  std::uint64_t Unique = 0;
  /// The ids of its writes.
  std::vector<std::string> Ids;
  std::map<std::string, std::string> Items;
  /// When this copy was received.
  steady::time_point ReceivedAt;
};

/// One backend. A process that has ended keeps its log unless it starts again
/// with nothing.
struct backend {
  std::string Id;
  endpoint Address;
  std::string Zone;
  bool IsRunning = false;
  bool IsPrimary = false;
  bool IsLeaving = false;
  /// Whether replication to and from it is cut off.
  bool IsCutFromOthers = false;
  std::uint64_t Born = 0;
  std::uint64_t Term = 1;
  std::uint64_t HeldTerm = 0;
  bool IsPaused = false;
  std::uint64_t Sequence = 0;
  std::vector<log_entry> Log;
  std::size_t Applied = 0;
  int Listener = -1;
  std::set<int> Sockets;
  std::thread Acceptor;
};

struct group_options {
  std::string Service;
  std::uint32_t MaxConnections = 24;
  milliseconds Lag{20};
  milliseconds Work{3};
  milliseconds PromoteTime{600};
};

/// What a statement's id has led to.
struct statement_runs {
  std::uint32_t Runs = 0;
  std::uint32_t Commits = 0;
};

class backend_group {
public:
  backend_group(recorder &Record, group_options Options);
  ~backend_group();

  /// Adds a backend and starts it. The first one is the primary.
  void add(const std::string &Id, const endpoint &Address,
           const std::string &Zone);
  /// Ends the process of a backend.
  void crash(const std::string &Id);
  /// Starts a backend again, with its log or with nothing.
  void start(const std::string &Id, bool KeepsLog);
  void setLeaving(const std::string &Id);
  /// Cuts replication between this backend and the others, or joins it.
  void cutReplication(const std::string &Id, bool Cut);
  /// Decides for each new connection whether it is served; others stay silent.
  void setFilter(std::function<bool(const std::string &Id, int Socket)> Filter);
  /// Visits the open connections of a backend.
  void forEachSocket(const std::string &Id,
                     const std::function<void(int)> &Visit);

  /// The platform's call. Returns the status of the answer.
  int promote(const std::string &Id, std::uint64_t Token);
  std::string primary();
  std::string heartbeatOf(const std::string &Id);
  std::vector<std::string> running();
  bool isRunning(const std::string &Id);
  std::string describe();
  /// Reports whether the primary's log has a committed write.
  bool primaryHas(const std::string &StatementId);
  statement_runs runsOf(const std::string &StatementId);
  std::uint64_t promotions();
  /// Called with the upstream's id when an order was accepted.
  std::function<void(const std::string &Id)> OnOrder;
  /// Called after a backend has become primary.
  std::function<void(const std::string &Id)> OnLead;

private:
  struct session;
  struct order {
    std::string Id;
    std::uint64_t Born;
    steady::time_point At;
  };

  void accept(std::string Id, int Listener);
  void serve(const std::string &Id, int Socket);
  bool handleQuery(session &Session, const std::string &Line);
  void replicate();
  void takeLead(const order &Order);
  void copyLog(backend &Replica, const backend &Primary);
  backend *findPrimary();
  std::string ready(const session &Session, const backend &Backend) const;
  std::string statusRow(const backend &Backend) const;
  void closeSockets(backend &Backend);

  recorder &Record;
  group_options Options;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::unique_ptr<backend>> Backends;
  std::function<bool(const std::string &, int)> Filter;
  std::map<std::string, statement_runs> Statements;
  std::vector<order> Orders;
  std::uint64_t HighestToken = 0;
  std::uint64_t NewestTerm = 1;
  std::uint64_t LastUnique = 0;
  std::uint64_t LastSignature = 0;
  std::uint64_t LastBorn;
  std::uint64_t Promotions = 0;
  bool Stopping = false;
  std::thread Replicator;
};

} // namespace review
