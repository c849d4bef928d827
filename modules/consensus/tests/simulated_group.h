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

/// Thrown when the oracle finds a broken rule.
struct violation {
  std::string What;
};

/// Rules of the surroundings that tests switch off to show they are needed.
struct simulation_rules {
  consensus_rules Decisions;
  /// Promises are written before a vote is sent.
  bool SyncVotes = true;
  int Founders = 3;
  /// A wiped disk gets a new identity.
  bool WipedIsStranger = true;
};

/// Control members on a network and disks without mercy, with an oracle that
/// compares what they commit.
class simulated_group {
public:
  static constexpr int VmCount = 5;

  simulated_group(const simulation_rules &Rules, std::uint64_t Seed);

  // The steps of the fuzz. Arguments may be any number.

  /// Passes time on one VM only.
  void tick(int Vm, int Milliseconds);
  /// Passes time on all VMs, with every message delivered in order.
  void runCalm(int Milliseconds);
  void deliver(int Message);
  /// After a silence a VM campaigns and only messages about votes arrive.
  void elect(int Vm);
  void drop(int Message);
  void duplicate(int Message);
  void crash(int Vm);
  /// The power fails in one of the next file operations.
  void crashSoon(int Vm, int Operations);
  void restart(int Vm);
  /// Loses a disk for good, unless a majority of some membership would be gone.
  void wipe(int Vm);
  /// VMs talk only to those on the same side.
  void partition(int Sides);
  void heal() { partition(0); }
  void propose(int Vm);
  /// Begins to replace a member by a store that is none.
  void replace(int Old, int New);
  /// Proposes a membership without regard for what makes sense.
  void changeAtRandom(int Vm, int Choice);

  /// Repairs everything; then a command must be committed. False if too many
  /// voters of a membership are lost for that.
  bool mustRecover();

  /// The leader that a quorum follows, or -1.
  int workingLeader() const;
  std::uint64_t termOf(int Vm) const;
  std::size_t committedCount() const { return Committed.size(); }
  /// Every VM's view, for the report of a violation.
  std::string describe() const;
  /// Brings the founders together. To be called first.
  void found();

private:
  struct vm {
    std::unique_ptr<fake_disk> Disk;
    std::unique_ptr<log_store> Store;
    consensus_state State;
    consensus_effects Effects;
    std::string Applied;
    store_id Id;
    bool Leading = false;
  };
  struct flight {
    int From = 0;
    int To = 0;
    consensus_message Message;
  };
  struct replacement {
    bool Active = false;
    store_id Old;
    control_member New;
  };

  decision_input input() { return {Now, Random()}; }
  void open(int Vm);
  void flush(int Vm);
  void carryOut(vm &Node, const disk_operation &Operation);
  void powerFails(int Vm);
  void send(int From, const outgoing_message &Outgoing);
  void receive(const flight &Flight);
  void apply(vm &Node);
  void check(int Vm);
  void checkLeader(vm &Node);
  void stepReplacement(int Vm);
  void replaceInOneStep(vm &Node);
  void maybeCompact(vm &Node);
  bool mayLose(store_id Store) const;
  static bool hasQuorumWithout(const member_list &Members,
                               const std::set<store_id> &Gone);
  bool commitsCommand();
  control_member memberOf(int Vm) const;
  bool connected(int Left, int Right) const;

  simulation_rules Rules;
  std::mt19937_64 Random;
  time_point Now = time_point(std::chrono::hours(1));
  std::vector<vm> Vms;
  std::vector<flight> Network;
  std::map<store_id, int> VmOfStore;
  std::set<store_id> Lost;
  int Sides = 0;
  int NextCommand = 0;
  replacement Replacement;
  std::map<std::uint64_t, wire::log_entry> Committed;
  std::map<std::uint64_t, store_id> LeaderOfTerm;
};

} // namespace teasellock
