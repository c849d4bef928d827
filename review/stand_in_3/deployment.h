/// A small deployment on loopback addresses: the project's programs as
/// processes of their own, started as the deploy file says, with the platform,
/// the operator and the backends' heartbeats as stand-ins.
#pragma once

#include "backends.h"

#include <atomic>
#include <list>

namespace review {

/// A machine and its two processes.
struct machine {
  std::string Node;
  std::string Zone;
  endpoint Front;
  endpoint Ready;
  endpoint Control;
  bool HasDisk = true;
  int ProxyPid = 0;
  int ControlPid = 0;
};

struct deployment_options {
  std::string Service = "despacho1a";
  std::size_t Machines = 3;
  /// Machines without a disk: a proxy only.
  std::size_t FrontOnly = 0;
  milliseconds Heartbeat{1200};
  int StatementTimeoutMs = 800;
  /// Whether all connections between processes go through relays.
  bool UsesRelays = false;
  /// Delay of the relays between machines of different regions, one way.
  milliseconds RegionDelay{0};
  /// The machine in whose zone the first primary runs.
  std::size_t FirstBackend = 0;
  group_options Group;
};

/// The outcome of one statement, as its client saw it.
struct answer {
  /// Empty: success. Otherwise the code, "CLOSED" or "NONE".
  std::string Code;
  std::string Signature;
  std::vector<std::string> Rows;
  char State = ' ';
  bool isSuccess() const { return Code.empty(); }
};

/// A client's session.
class client {
public:
  client(recorder &Record, const endpoint &Entry, const std::string &Database);
  ~client();
  client(const client &) = delete;
  client &operator=(const client &) = delete;
  bool isOpen() const { return Socket >= 0; }
  answer query(const std::string &Id, const std::string &Text,
               milliseconds Timeout = milliseconds(4000));
  void close();

private:
  recorder &Record;
  int Socket = -1;
  std::optional<line_reader> Reader;
};

class deployment {
public:
  deployment(recorder &Record, std::string Folder, deployment_options Options);
  ~deployment();

  /// Starts everything and waits until the configuration is acknowledged and a
  /// write is served. Returns false if that takes too long.
  bool start();
  void stop();

  std::vector<machine> Machines;
  backend_group Group;
  /// Whether the platform answers. An order that gets no answer is carried out.
  std::atomic<bool> PlatformAnswers = true;
  /// Cuts a machine off from all other machines of the system, or joins it.
  void cutOff(std::size_t Machine, bool Cut);
  /// Returns the first of these machines whose control process does not lead.
  std::size_t findFollower(const std::vector<std::size_t> &Candidates);
  /// The route's database of a kind: primary, read_your_writes,
  /// bounded_staleness.
  std::string database(const std::string &Kind) const {
    return Options.Service + "-" + Kind;
  }
  void startProxy(std::size_t Machine);
  void startControl(std::size_t Machine, bool Bootstrap);
  /// Starts a backend. It sends its heartbeats to this control process first.
  void addBackend(std::size_t Machine, const std::string &Id,
                  std::optional<std::size_t> FirstControl = std::nullopt);
  /// Stops the processes of a machine as a freeze does, or lets them go on.
  void freeze(std::size_t Machine, bool Frozen);
  /// Returns the processes that hold a connection to a backend.
  std::set<int> processesAt(const std::string &Id);
  std::string newId();
  endpoint at(std::size_t Machine, std::uint16_t Port) const;
  /// Reports whether the processes that were started still run.
  bool areRunning();
  std::string processIds();

private:
  struct relayed {
    int Client;
    int Server;
    /// The machines at both ends.
    std::size_t From;
    std::size_t To;
    std::atomic<bool> IsDead = false;
  };
  void startRelay(std::size_t Machine, std::uint16_t Port);
  bool isCut(const relayed &Pair);
  void forward(const std::shared_ptr<relayed> &Pair, int From, int To);
  std::size_t machineOf(int Pid) const;
  void servePlatform();
  void sendHeartbeats(const std::string &Id, std::size_t Next);
  int spawn(const std::string &Name, const std::string &SettingsFile);
  std::string render(const std::string &Template, std::size_t Machine,
                     bool Bootstrap, bool IsControl);
  bool putConfiguration();
  std::string configuration() const;

  recorder &Record;
  std::string Folder;
  deployment_options Options;
  std::string Network;
  int PlatformListener = -1;
  std::atomic<bool> Stopping = false;
  std::list<std::thread> Threads;
  std::mutex Mutex;
  std::set<std::size_t> CutMachines;
  std::uint64_t LastId = 0;
};

/// Returns the value of an environment variable, or the default.
std::string environment(const char *Name, const std::string &Default);

} // namespace review
