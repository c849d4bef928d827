#pragma once

#include "modules/consensus/consensus_state.h"
#include "modules/consensus/membership_change.h"
#include "modules/consensus/tests/fake_disk.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace teasellock {

/// Thrown when an invariant is violated.
struct violation {
  std::string Description;
};

/// Rules that tests disable one by one to show that they are needed.
struct simulation_rules {
  consensus_rules Consensus;
  /// A vote is durable before it is sent.
  bool SyncVotes = true;
  int InitialMemberCount = 3;
  /// A wiped disk gets a new store id.
  bool WipedStoreGetsNewId = true;
};

/// A control group on a simulated network and simulated disks that lose data,
/// with checks of the protocol's invariants: one leader per term, one committed
/// entry per index, and no leader that lacks a committed entry.
class simulated_group {
public:
  static constexpr int VmCount = 5;

  simulated_group(const simulation_rules &Rules, std::uint64_t Seed);

  // Steps of the fuzz test. Arguments may be any number: VMs and messages are
  // selected by the number modulo their count.

  /// Advances the time and runs the timers of one VM only.
  void tick(int Vm, int Milliseconds);
  /// Advances the time on all VMs and delivers every message in order.
  void runWithoutFaults(int Milliseconds);
  void deliver(int Message);
  /// Advances the time by more than two election timeouts, discards all
  /// messages, and starts a campaign of one VM in which only vote messages are
  /// delivered.
  void elect(int Vm);
  void drop(int Message);
  void duplicate(int Message);
  void crash(int Vm);
  /// Simulates a loss of power in one of the VM's next file operations.
  void crashDuringOperation(int Vm, int Operations);
  void restart(int Vm);
  /// Restarts all VMs but those in the mask within a short time, in any order,
  /// some later than others. Those in the mask can't reach them from then on.
  void restartAll(int KeptMask);
  /// Replaces a disk by an empty one, unless some membership would lose its
  /// majority.
  void wipe(int Vm);
  /// Partitions the network in two: VMs reach only those with the same bit in
  /// the mask.
  void partition(int NewMask);
  void heal() { partition(0); }
  void propose(int Vm);
  /// Starts to replace a member by a VM that is not a member.
  void replace(int Old, int New);
  /// Proposes to add, remove or change a random member.
  void proposeRandomMembership(int Vm, int Choice);

  /// Ends all faults and checks that a command is committed and all members
  /// have the same state. Returns false if this is impossible because a
  /// membership has lost its majority.
  bool checkRecovery();

  /// Advances the time until there is a leader, at most by two seconds. Returns
  /// how many milliseconds that took.
  int runUntilLeader();

  /// Returns the leader as a mask of VMs, for partition() and restartAll().
  int leaderMask() const;
  /// Returns the leader with the highest term, or -1 if there is none.
  int currentLeader() const;
  std::uint64_t termOf(int Vm) const;
  std::size_t committedCount() const { return Committed.size(); }
  /// Describes the state of all VMs, for the report of a violation.
  std::string describe() const;
  /// Bootstraps the group. To be called first.
  void initialise();

private:
  struct vm {
    std::unique_ptr<fake_disk> Disk;
    std::unique_ptr<log_store> Store;
    consensus_state State;
    consensus_effects Effects;
    std::string Applied;
    store_id Id;
    bool IsLeading = false;
  };
  struct network_message {
    int From = 0;
    int To = 0;
    consensus_message Message;
  };
  struct replacement {
    bool Active = false;
    store_id Old;
    control_member New;
  };

  consensus_input input() { return {Now, Random()}; }
  void openStore(int Vm);
  void flush(int Vm);
  void executeOperation(vm &Node, const disk_operation &Operation);
  void losePower(int Vm);
  void send(int From, const outgoing_message &Outgoing);
  void receive(const network_message &NetworkMessage);
  void apply(vm &Node);
  void checkCommitted(int Vm);
  void checkLeader(vm &Node);
  /// Checks that no leader would grant leases without asking a quorum while a
  /// leader of a later term exists.
  void checkLeases() const;
  void advanceReplacement(int Vm);
  void replaceInOneStep(vm &Node);
  void compactIfNeeded(vm &Node);
  bool canLose(store_id Store) const;
  static bool hasQuorumWithout(const member_list &Members,
                               const std::set<store_id> &LostStores);
  bool canCommitCommand();
  control_member memberOf(int Vm) const;
  bool areConnected(int Left, int Right) const;

  simulation_rules Rules;
  std::mt19937_64 Random;
  time_point Now = time_point(std::chrono::hours(1));
  std::vector<vm> Vms;
  std::vector<network_message> Network;
  std::map<store_id, int> VmOfStore;
  std::set<store_id> Lost;
  int PartitionMask = 0;
  int NextCommand = 0;
  replacement Replacement;
  std::map<std::uint64_t, wire::log_entry> Committed;
  std::map<std::uint64_t, store_id> LeaderOfTerm;
};

} // namespace teasellock
