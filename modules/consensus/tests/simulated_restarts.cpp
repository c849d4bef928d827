#include "modules/consensus/tests/simulated_group.h"

#include <algorithm>

namespace teasellock {

void simulated_group::restartAll(int KeptMask) {
  constexpr int Spreads[] = {10, 120};
  int Spread = Spreads[Random() % 2];
  std::vector<int> Order;
  for (int Vm = 0; Vm < VmCount; ++Vm)
    if (((KeptMask >> Vm) & 1) == 0)
      Order.push_back(Vm);
  std::shuffle(Order.begin(), Order.end(), Random);
  partition(KeptMask);
  for (int Vm : Order)
    losePower(Vm);
  for (int Vm : Order) {
    runWithoutFaults(
        static_cast<int>(Random() % static_cast<std::uint64_t>(Spread)));
    openStore(Vm);
  }
}

void simulated_group::checkLeases() const {
  // As in control_service; a leader is ready once the first entry of its term
  // is committed.
  duration Validity = consensus_timing().ElectionTimeout / 2;
  std::uint64_t LatestTerm = 0;
  for (const vm &Node : Vms)
    if (Node.Store && Node.State.Role == consensus_role::Leader)
      LatestTerm = std::max(LatestTerm, Node.State.HardState.Term);
  for (const vm &Node : Vms) {
    const consensus_state &State = Node.State;
    if (Node.Store && State.Role == consensus_role::Leader &&
        State.HardState.Term < LatestTerm &&
        State.CommitIndex >= State.BarrierIndex &&
        Now - leaderConfirmedAt(State, Now) < Validity)
      throw violation{"a former leader would grant leases" + describe()};
  }
}

int simulated_group::leaderMask() const {
  int Leader = currentLeader();
  return Leader < 0 ? 0 : 1 << Leader;
}

int simulated_group::runUntilLeader() {
  constexpr int MaxMilliseconds = 2000;
  constexpr int TickMilliseconds = 25;
  int Elapsed = 0;
  for (; Elapsed < MaxMilliseconds && currentLeader() < 0;
       Elapsed += TickMilliseconds)
    runWithoutFaults(TickMilliseconds);
  return Elapsed;
}

} // namespace teasellock
