#include "modules/consensus/tests/simulated_group.h"

#include "core/error.h"
#include "modules/consensus/wire_members.h"

#include <algorithm>
#include <set>
#include <utility>

namespace teasellock {

namespace {

constexpr int TickMilliseconds = 25;
constexpr std::uint64_t MaxEntriesBeforeSnapshot = 8;
constexpr std::uint64_t RetainedEntries = 2;
constexpr std::uint64_t Cluster = 77;
constexpr std::size_t MaxMessages = 400;
const std::string Folder = "data";

std::size_t toIndex(int Number, std::size_t Size) {
  return static_cast<std::size_t>(Number < 0 ? -(Number + 1) : Number) % Size;
}

bool sameEntry(const wire::log_entry &Left, const wire::log_entry &Right) {
  return Left.term == Right.term && Left.kind == Right.kind &&
         Left.data == Right.data;
}

} // namespace

simulated_group::simulated_group(const simulation_rules &Rules,
                                 std::uint64_t Seed)
    : Rules(Rules), Random(Seed), Vms(VmCount) {
  for (int Vm = 0; Vm < VmCount; ++Vm) {
    Vms[Vm].Disk = std::make_unique<fake_disk>(Random());
    openStore(Vm);
  }
}

void simulated_group::initialise() {
  member_list InitialMembers;
  for (int Vm = 0; Vm < Rules.InitialMemberCount; ++Vm)
    InitialMembers.push_back(memberOf(Vm));
  initialiseGroup(Vms[0].State, InitialMembers, Cluster, input(),
                  Vms[0].Effects);
  flush(0);
  runWithoutFaults(2000);
}

control_member simulated_group::memberOf(int Vm) const {
  return {Vms[Vm].Id, vm_id("vm" + std::to_string(Vm)),
          endpoint{"10.0.0." + std::to_string(Vm + 1), 1}};
}

void simulated_group::openStore(int Vm) {
  vm &Node = Vms[Vm];
  store_id NewStore((Random() >> 1) | 1);
  if (!Rules.WipedStoreGetsNewId && Node.Id != store_id())
    NewStore = Node.Id;
  try {
    Node.Store =
        std::make_unique<log_store>(Node.Disk->files(), Folder, NewStore);
  } catch (const error &Problem) {
    throw violation{std::string("refused to start: ") + Problem.what()};
  }
  recovered_log Recovered = Node.Store->extractRecovered();
  Node.Id = Recovered.Store;
  VmOfStore[Node.Id] = Vm;
  consensus_timing Timing;
  Node.State = startConsensus(std::move(Recovered), Timing, input());
  Node.State.Rules = Rules.Consensus;
  Node.State.Limits = {1, 16};
  Node.Applied = Node.State.Snapshot ? Node.State.Snapshot->Data : "";
  Node.Effects = {};
  Node.IsLeading = false;
}

void simulated_group::flush(int Vm) {
  vm &Node = Vms[Vm];
  try {
    while (!Node.Effects.Disk.empty() || !Node.Effects.Send.empty()) {
      for (const auto &Operation : std::exchange(Node.Effects.Disk, {}))
        executeOperation(Node, Operation);
      handleLogSynced(Node.State, input(), Node.Effects);
      for (const auto &Outgoing : std::exchange(Node.Effects.Send, {}))
        send(Vm, Outgoing);
    }
    checkCommitted(Vm);
    checkLeases();
    apply(Node);
    compactIfNeeded(Node);
  } catch (const power_loss &) {
    losePower(Vm);
  }
}

void simulated_group::executeOperation(vm &Node,
                                       const disk_operation &Operation) {
  if (const auto *HardState = std::get_if<hard_state>(&Operation)) {
    hard_state Written = *HardState;
    if (!Rules.SyncVotes)
      Written.VotedFor = store_id();
    Node.Store->saveHardState(Written);
  }
  if (const auto *Append = std::get_if<append_entries>(&Operation))
    Node.Store->append(Append->Entries, Append->Commit);
  if (const auto *Install = std::get_if<install_snapshot>(&Operation)) {
    Node.Store->saveSnapshot(*Install->Snapshot, Install->DiscardLog);
    if (Install->Snapshot->Index < Node.State.AppliedIndex)
      throw violation{"the applied revision decreased"};
    Node.Applied = Install->Snapshot->Data;
    Node.State.AppliedIndex = Install->Snapshot->Index;
  }
}

void simulated_group::send(int From, const outgoing_message &Outgoing) {
  auto Found = VmOfStore.find(Outgoing.To);
  if (Found == VmOfStore.end() || Network.size() > MaxMessages)
    return;
  Network.push_back({From, Found->second, Outgoing.Message});
}

bool simulated_group::areConnected(int Left, int Right) const {
  return ((PartitionMask >> Left) & 1) == ((PartitionMask >> Right) & 1);
}

void simulated_group::receive(const network_message &NetworkMessage) {
  vm &Node = Vms[NetworkMessage.To];
  if (!Node.Store || !areConnected(NetworkMessage.From, NetworkMessage.To))
    return;
  try {
    handleMessage(Node.State, NetworkMessage.Message, input(), Node.Effects);
  } catch (const error &Problem) {
    throw violation{Problem.what()};
  }
  flush(NetworkMessage.To);
}

void simulated_group::deliver(int Message) {
  if (Network.empty())
    return;
  std::size_t At = toIndex(Message, Network.size());
  network_message NetworkMessage = std::move(Network[At]);
  Network.erase(Network.begin() + static_cast<std::ptrdiff_t>(At));
  receive(NetworkMessage);
}

void simulated_group::elect(int Vm) {
  constexpr int SilenceMilliseconds = 1050;
  constexpr int VoteRounds = 4;
  constexpr std::size_t LastVoteKind = 1;
  int Number = static_cast<int>(toIndex(Vm, VmCount));
  if (!Vms[Number].Store)
    return;
  Now += fromMilliseconds(SilenceMilliseconds);
  Network.clear();
  for (vm &Node : Vms)
    if (Node.Store && Node.State.Role == consensus_role::Leader)
      handleTick(Node.State, input(), Node.Effects);
  handleTick(Vms[Number].State, input(), Vms[Number].Effects);
  flush(Number);
  for (int Round = 0; Round < VoteRounds; ++Round)
    for (const network_message &NetworkMessage : std::exchange(Network, {}))
      if (NetworkMessage.Message.index() <= LastVoteKind)
        receive(NetworkMessage);
}

void simulated_group::drop(int Message) {
  if (!Network.empty())
    Network.erase(Network.begin() + static_cast<std::ptrdiff_t>(
                                        toIndex(Message, Network.size())));
}

void simulated_group::duplicate(int Message) {
  if (!Network.empty())
    Network.push_back(
        network_message(Network[toIndex(Message, Network.size())]));
}

void simulated_group::tick(int Vm, int Milliseconds) {
  int Number = static_cast<int>(toIndex(Vm, VmCount));
  Now +=
      fromMilliseconds(static_cast<std::int64_t>(toIndex(Milliseconds, 700)));
  vm &Node = Vms[Number];
  if (!Node.Store)
    return;
  handleTick(Node.State, input(), Node.Effects);
  flush(Number);
  advanceReplacement(Number);
}

void simulated_group::runWithoutFaults(int Milliseconds) {
  for (int Elapsed = 0; Elapsed < Milliseconds; Elapsed += TickMilliseconds) {
    Now += fromMilliseconds(TickMilliseconds);
    for (int Vm = 0; Vm < VmCount; ++Vm) {
      vm &Node = Vms[Vm];
      if (!Node.Store)
        continue;
      handleTick(Node.State, input(), Node.Effects);
      flush(Vm);
      advanceReplacement(Vm);
    }
    std::vector<network_message> Batch = std::exchange(Network, {});
    for (const network_message &NetworkMessage : Batch)
      receive(NetworkMessage);
  }
}

void simulated_group::losePower(int Vm) {
  Vms[Vm].Store.reset();
  Vms[Vm].Effects = {};
  Vms[Vm].Disk->losePower();
}

void simulated_group::crash(int Vm) {
  losePower(static_cast<int>(toIndex(Vm, VmCount)));
}

void simulated_group::crashDuringOperation(int Vm, int Operations) {
  vm &Node = Vms[toIndex(Vm, VmCount)];
  if (Node.Store)
    Node.Disk->failAfter(static_cast<int>(toIndex(Operations, 12)));
}

void simulated_group::restart(int Vm) {
  for (int Offset = 0; Offset < VmCount; ++Offset) {
    int Number = static_cast<int>(toIndex(Vm + Offset, VmCount));
    if (Vms[Number].Store)
      continue;
    openStore(Number);
    return;
  }
}

bool simulated_group::hasQuorumWithout(const member_list &Members,
                                       const std::set<store_id> &LostStores) {
  std::size_t Left = 0;
  for (const control_member &Member : Members)
    Left += Member.IsVoter && !LostStores.contains(Member.Store) ? 1 : 0;
  return Left >= voterCount(Members) / 2 + 1;
}

bool simulated_group::canLose(store_id Store) const {
  std::set<store_id> LostStores = Lost;
  LostStores.insert(Store);
  std::uint64_t LastCommitted = Committed.rbegin()->first;
  auto LastMembership = std::find_if(
      Committed.rbegin(), Committed.rend(), [](const auto &Record) {
        return Record.second.kind == wire::entry_kind::membership;
      });
  if (!hasQuorumWithout(fromWire(LastMembership->second.members), LostStores))
    return false;
  for (const vm &Node : Vms) {
    if (!Node.Store)
      return false;
    for (const membership_record &Record : Node.State.Memberships)
      if (Record.Index > LastCommitted &&
          !hasQuorumWithout(Record.Members, LostStores))
        return false;
  }
  return true;
}

void simulated_group::wipe(int Vm) {
  int Number = static_cast<int>(toIndex(Vm, VmCount));
  vm &Node = Vms[Number];
  if (!Node.Store || !canLose(Node.Id))
    return;
  Lost.insert(Node.Id);
  Node.Store.reset();
  Node.Disk = std::make_unique<fake_disk>(Random());
  openStore(Number);
}

void simulated_group::partition(int NewMask) {
  PartitionMask = static_cast<int>(toIndex(NewMask, 1U << VmCount));
}

void simulated_group::propose(int Vm) {
  int Number = static_cast<int>(toIndex(Vm, VmCount));
  for (int Offset = 0; Offset < VmCount; ++Offset) {
    int Candidate = (Number + Offset) % VmCount;
    vm &Node = Vms[Candidate];
    if (!Node.Store || Node.State.Role != consensus_role::Leader)
      continue;
    appendCommand(Node.State, "c" + std::to_string(++NextCommand) + ";",
                  Node.Effects);
    flush(Candidate);
    return;
  }
}

void simulated_group::replace(int Old, int New) {
  int Leader = currentLeader();
  if (Leader < 0 || Replacement.Active)
    return;
  const member_list &Members = currentMembers(Vms[Leader].State);
  int Number = static_cast<int>(toIndex(New, VmCount));
  if (findMember(Members, Vms[Number].Id) != nullptr)
    return;
  Replacement = {true, Members[toIndex(Old, Members.size())].Store,
                 memberOf(Number)};
}

void simulated_group::replaceInOneStep(vm &Node) {
  member_list Members = currentMembers(Node.State);
  for (control_member &Member : Members)
    if (Member.Store == Replacement.Old)
      Member = Replacement.New;
  try {
    appendMembership(Node.State, Members, input(), Node.Effects);
  } catch (const error &) {
  }
}

void simulated_group::advanceReplacement(int Vm) {
  vm &Node = Vms[Vm];
  if (!Replacement.Active || !Node.Store ||
      Node.State.Role != consensus_role::Leader)
    return;
  replacement_step Step =
      nextReplacementStep(Node.State, Replacement.Old, Replacement.New);
  if (!Rules.Consensus.ChangeOneMemberAtATime) {
    replaceInOneStep(Node);
    Replacement.Active = false;
  } else if (Step.Progress == replacement_step::progress::Propose) {
    try {
      appendMembership(Node.State, Step.Members, input(), Node.Effects);
    } catch (const error &) {
      // Rejected until a quorum is reachable; proposed again later.
    }
  }
  if (Step.Progress == replacement_step::progress::Done)
    Replacement.Active = false;
  flush(Vm);
}

void simulated_group::proposeRandomMembership(int Vm, int Choice) {
  int Number = static_cast<int>(toIndex(Vm, VmCount));
  vm &Node = Vms[Number];
  if (!Node.Store || Node.State.Role != consensus_role::Leader)
    return;
  member_list Members = currentMembers(Node.State);
  control_member NewMember =
      memberOf(static_cast<int>(toIndex(Choice, VmCount)));
  NewMember.IsVoter = Choice % 2 == 0;
  std::size_t Before = Members.size();
  std::erase_if(Members, [&](const control_member &Member) {
    return Member.Store == NewMember.Store;
  });
  // Keeps at least two voters and makes a voter only of a member that has
  // caught up.
  bool Known = Members.size() < Before;
  if (NewMember.IsVoter && !hasCaughtUp(Node.State, NewMember.Store))
    return;
  if (!Known || Choice % 3 != 0)
    Members.push_back(NewMember);
  if (voterCount(Members) < 2)
    return;
  try {
    appendMembership(Node.State, Members, input(), Node.Effects);
  } catch (const error &) {
  }
  flush(Number);
}

void simulated_group::apply(vm &Node) {
  consensus_state &State = Node.State;
  while (State.AppliedIndex < State.CommitIndex) {
    State.AppliedIndex += 1;
    const wire::log_entry &Entry = State.Log.at(State.AppliedIndex);
    if (Entry.kind == wire::entry_kind::command)
      Node.Applied += Entry.data;
  }
}

void simulated_group::checkCommitted(int Vm) {
  vm &Node = Vms[Vm];
  consensus_state &State = Node.State;
  for (std::uint64_t Index = State.AppliedIndex + 1; Index <= State.CommitIndex;
       ++Index) {
    const wire::log_entry &Entry = State.Log.at(Index);
    auto [Found, New] = Committed.emplace(Index, Entry);
    if (!New && !sameEntry(Found->second, Entry))
      throw violation{"two values committed at " + std::to_string(Index)};
  }
  bool IsLeading = State.Role == consensus_role::Leader;
  if (IsLeading && !Node.IsLeading)
    checkLeader(Node);
  Node.IsLeading = IsLeading;
}

void simulated_group::checkLeader(vm &Node) {
  const consensus_state &State = Node.State;
  auto [Found, New] = LeaderOfTerm.emplace(State.HardState.Term, Node.Id);
  if (!New)
    throw violation{"two leaders in term " +
                    std::to_string(State.HardState.Term)};
  for (const auto &[Index, Entry] : Committed) {
    if (Index <= State.Log.baseIndex())
      continue;
    if (Index > State.Log.lastIndex() || !sameEntry(State.Log.at(Index), Entry))
      throw violation{"a leader lacks committed entry " +
                      std::to_string(Index)};
  }
}

void simulated_group::compactIfNeeded(vm &Node) {
  consensus_state &State = Node.State;
  std::uint64_t Last = State.Snapshot ? State.Snapshot->Index : 0;
  if (State.AppliedIndex < Last + MaxEntriesBeforeSnapshot)
    return;
  auto Snapshot = std::make_shared<log_snapshot>();
  Snapshot->Index = State.AppliedIndex;
  Snapshot->Term = State.Log.termAt(Snapshot->Index);
  Snapshot->Members = membersAt(State, Snapshot->Index);
  Snapshot->Data = Node.Applied;
  Node.Store->saveSnapshot(*Snapshot, false);
  compactLog(State, std::move(Snapshot), RetainedEntries);
}

std::string simulated_group::describe() const {
  std::string Text;
  for (const vm &Node : Vms) {
    const consensus_state &State = Node.State;
    Text += "\n" + toString(Node.Id) + (Node.Store ? " up" : " down") +
            " role " + std::to_string(static_cast<int>(State.Role)) + " term " +
            std::to_string(State.HardState.Term) + " base " +
            std::to_string(State.Log.baseIndex()) + " last " +
            std::to_string(State.Log.lastIndex()) + " commit " +
            std::to_string(State.CommitIndex) + " members";
    for (const control_member &Member : currentMembers(State))
      Text += " " + toString(Member.Store) + (Member.IsVoter ? "v" : "n") +
              (Lost.contains(Member.Store) ? " lost" : "");
  }
  return Text;
}

int simulated_group::currentLeader() const {
  int Result = -1;
  for (int Vm = 0; Vm < VmCount; ++Vm) {
    const vm &Node = Vms[Vm];
    if (!Node.Store || Node.State.Role != consensus_role::Leader)
      continue;
    if (Result < 0 || termOf(Vm) > termOf(Result))
      Result = Vm;
  }
  return Result;
}

std::uint64_t simulated_group::termOf(int Vm) const {
  return Vms[Vm].State.HardState.Term;
}

bool simulated_group::canCommitCommand() {
  int Leader = currentLeader();
  if (Leader < 0)
    return false;
  std::uint64_t Index = Vms[Leader].State.Log.lastIndex() + 1;
  propose(Leader);
  runWithoutFaults(1000);
  return Committed.contains(Index) &&
         Committed.at(Index).kind == wire::entry_kind::command;
}

bool simulated_group::checkRecovery() {
  constexpr int MaxAttempts = 20;
  heal();
  Replacement.Active = false;
  for (int Vm = 0; Vm < VmCount; ++Vm) {
    Vms[Vm].Disk->failAfter(-1);
    restart(Vm);
  }
  bool Recovered = false;
  for (int Attempt = 0; Attempt < MaxAttempts && !Recovered; ++Attempt) {
    runWithoutFaults(1000);
    Recovered = canCommitCommand();
  }
  // If a voter that a pending change needs has been lost, only
  // forceMembership() can recover the group.
  if (!Recovered && !canLose(store_id()))
    return false;
  if (!Recovered)
    throw violation{"no command is committed after all faults have ended" +
                    describe()};
  runWithoutFaults(1000);
  int Leader = currentLeader();
  for (const control_member &Member : currentMembers(Vms[Leader].State)) {
    const vm &Node = Vms[VmOfStore.at(Member.Store)];
    if (Node.Id == Member.Store && Node.Applied != Vms[Leader].Applied)
      throw violation{"members differ after all faults have ended" +
                      describe()};
  }
  return true;
}

} // namespace teasellock
