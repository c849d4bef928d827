#include "modules/consensus/tests/simulated_group.h"

#include "core/error.h"
#include "modules/consensus/wire_members.h"

#include <algorithm>
#include <set>
#include <utility>

namespace teasellock {

namespace {

constexpr int TickMilliseconds = 25;
constexpr std::uint64_t SnapshotEvery = 8;
constexpr std::uint64_t KeptEntries = 2;
constexpr std::uint64_t Cluster = 77;
constexpr std::size_t MostMessages = 400;
const std::string Folder = "data";

std::size_t within(int Number, std::size_t Size) {
  return static_cast<std::size_t>(Number < 0 ? -(Number + 1) : Number) % Size;
}

bool sameEntry(const wire::log_entry &Left, const wire::log_entry &Right) {
  return Left.term == Right.term && Left.kind == Right.kind &&
         Left.data == Right.data;
}

bool isReply(const consensus_message &Message) {
  return Message.index() % 2 == 1;
}

} // namespace

simulated_group::simulated_group(const simulation_rules &Rules,
                                 std::uint64_t Seed)
    : Rules(Rules), Random(Seed), Vms(VmCount) {
  for (int Vm = 0; Vm < VmCount; ++Vm) {
    Vms[Vm].Disk = std::make_unique<fake_disk>(Random());
    open(Vm);
  }
}

void simulated_group::found() {
  member_list Founders;
  for (int Vm = 0; Vm < Rules.Founders; ++Vm)
    Founders.push_back(memberOf(Vm));
  foundGroup(Vms[0].State, Founders, Cluster, input(), Vms[0].Effects);
  flush(0);
  runCalm(2000);
}

control_member simulated_group::memberOf(int Vm) const {
  return {Vms[Vm].Id, vm_id("vm" + std::to_string(Vm)),
          endpoint{"10.0.0." + std::to_string(Vm + 1), 1}};
}

void simulated_group::open(int Vm) {
  vm &Node = Vms[Vm];
  store_id Fresh((Random() >> 1) | 1);
  if (!Rules.WipedIsStranger && Node.Id != store_id())
    Fresh = Node.Id;
  try {
    Node.Store = std::make_unique<log_store>(Node.Disk->files(), Folder, Fresh);
  } catch (const error &Problem) {
    throw violation{std::string("refused to start: ") + Problem.what()};
  }
  recovered_log Recovered = Node.Store->takeRecovered();
  Node.Id = Recovered.Store;
  VmOfStore[Node.Id] = Vm;
  consensus_timing Timing;
  Node.State = startConsensus(std::move(Recovered), Timing, input());
  Node.State.Rules = Rules.Decisions;
  Node.State.Limits = {1, 16};
  Node.Applied = Node.State.Snapshot ? Node.State.Snapshot->Data : "";
  Node.Effects = {};
  Node.Leading = false;
}

void simulated_group::flush(int Vm) {
  vm &Node = Vms[Vm];
  try {
    while (!Node.Effects.Disk.empty() || !Node.Effects.Send.empty()) {
      for (const auto &Operation : std::exchange(Node.Effects.Disk, {}))
        carryOut(Node, Operation);
      logSynced(Node.State, input(), Node.Effects);
      for (const auto &Outgoing : std::exchange(Node.Effects.Send, {}))
        send(Vm, Outgoing);
    }
    check(Vm);
    apply(Node);
    maybeCompact(Node);
  } catch (const power_loss &) {
    powerFails(Vm);
  }
}

void simulated_group::carryOut(vm &Node, const disk_operation &Operation) {
  if (const auto *Promises = std::get_if<store_promises>(&Operation)) {
    store_promises Written = *Promises;
    if (!Rules.SyncVotes)
      Written.VotedFor = store_id();
    Node.Store->savePromises(Written);
  }
  if (const auto *Append = std::get_if<append_entries>(&Operation))
    Node.Store->append(Append->Entries, Append->Commit);
  if (const auto *Install = std::get_if<install_snapshot>(&Operation)) {
    Node.Store->saveSnapshot(*Install->Snapshot, Install->DiscardLog);
    if (Install->Snapshot->Index < Node.State.AppliedIndex)
      throw violation{"the applied revision fell"};
    Node.Applied = Install->Snapshot->Data;
    Node.State.AppliedIndex = Install->Snapshot->Index;
  }
}

void simulated_group::send(int From, const outgoing_message &Outgoing) {
  auto Found = VmOfStore.find(Outgoing.To);
  if (Found == VmOfStore.end() || Network.size() > MostMessages)
    return;
  Network.push_back({From, Found->second, Outgoing.Message});
}

bool simulated_group::connected(int Left, int Right) const {
  return ((Sides >> Left) & 1) == ((Sides >> Right) & 1);
}

void simulated_group::receive(const flight &Flight) {
  vm &Node = Vms[Flight.To];
  if (!Node.Store || !connected(Flight.From, Flight.To))
    return;
  try {
    handleMessage(Node.State, Flight.Message, input(), Node.Effects);
  } catch (const error &Problem) {
    throw violation{Problem.what()};
  }
  flush(Flight.To);
}

void simulated_group::deliver(int Message) {
  if (Network.empty())
    return;
  std::size_t At = within(Message, Network.size());
  flight Flight = std::move(Network[At]);
  Network.erase(Network.begin() + static_cast<std::ptrdiff_t>(At));
  receive(Flight);
}

void simulated_group::elect(int Vm) {
  constexpr int SilenceMilliseconds = 1050;
  constexpr int VoteRounds = 4;
  constexpr std::size_t LastVoteKind = 1;
  int Number = static_cast<int>(within(Vm, VmCount));
  if (!Vms[Number].Store)
    return;
  Now += fromMilliseconds(SilenceMilliseconds);
  Network.clear();
  for (vm &Node : Vms)
    if (Node.Store && Node.State.Role == consensus_role::Leader)
      passTime(Node.State, input(), Node.Effects);
  passTime(Vms[Number].State, input(), Vms[Number].Effects);
  flush(Number);
  for (int Round = 0; Round < VoteRounds; ++Round)
    for (const flight &Flight : std::exchange(Network, {}))
      if (Flight.Message.index() <= LastVoteKind)
        receive(Flight);
}

void simulated_group::drop(int Message) {
  if (!Network.empty())
    Network.erase(Network.begin() +
                  static_cast<std::ptrdiff_t>(within(Message, Network.size())));
}

void simulated_group::duplicate(int Message) {
  if (!Network.empty())
    Network.push_back(flight(Network[within(Message, Network.size())]));
}

void simulated_group::tick(int Vm, int Milliseconds) {
  int Number = static_cast<int>(within(Vm, VmCount));
  Now += fromMilliseconds(static_cast<std::int64_t>(within(Milliseconds, 700)));
  vm &Node = Vms[Number];
  if (!Node.Store)
    return;
  passTime(Node.State, input(), Node.Effects);
  flush(Number);
  stepReplacement(Number);
}

void simulated_group::runCalm(int Milliseconds) {
  for (int Spent = 0; Spent < Milliseconds; Spent += TickMilliseconds) {
    Now += fromMilliseconds(TickMilliseconds);
    for (int Vm = 0; Vm < VmCount; ++Vm) {
      vm &Node = Vms[Vm];
      if (!Node.Store)
        continue;
      passTime(Node.State, input(), Node.Effects);
      flush(Vm);
      stepReplacement(Vm);
    }
    std::vector<flight> Batch = std::exchange(Network, {});
    for (const flight &Flight : Batch)
      receive(Flight);
  }
}

void simulated_group::powerFails(int Vm) {
  Vms[Vm].Store.reset();
  Vms[Vm].Effects = {};
  Vms[Vm].Disk->losePower();
}

void simulated_group::crash(int Vm) {
  powerFails(static_cast<int>(within(Vm, VmCount)));
}

void simulated_group::crashSoon(int Vm, int Operations) {
  vm &Node = Vms[within(Vm, VmCount)];
  if (Node.Store)
    Node.Disk->failAfter(static_cast<int>(within(Operations, 12)));
}

void simulated_group::restart(int Vm) {
  for (int Offset = 0; Offset < VmCount; ++Offset) {
    int Number = static_cast<int>(within(Vm + Offset, VmCount));
    if (Vms[Number].Store)
      continue;
    open(Number);
    return;
  }
}

bool simulated_group::hasQuorumWithout(const member_list &Members,
                                       const std::set<store_id> &Gone) {
  std::size_t Left = 0;
  for (const control_member &Member : Members)
    Left += Member.Voter && !Gone.contains(Member.Store) ? 1 : 0;
  return Left >= voterCount(Members) / 2 + 1;
}

bool simulated_group::mayLose(store_id Store) const {
  std::set<store_id> Gone = Lost;
  Gone.insert(Store);
  std::uint64_t LastCommitted = Committed.rbegin()->first;
  auto InForce = std::find_if(
      Committed.rbegin(), Committed.rend(), [](const auto &Record) {
        return Record.second.kind == wire::entry_kind::membership;
      });
  if (!hasQuorumWithout(fromWire(InForce->second.members), Gone))
    return false;
  for (const vm &Node : Vms) {
    if (!Node.Store)
      return false;
    for (const membership_record &Record : Node.State.Memberships)
      if (Record.Index > LastCommitted &&
          !hasQuorumWithout(Record.Members, Gone))
        return false;
  }
  return true;
}

void simulated_group::wipe(int Vm) {
  int Number = static_cast<int>(within(Vm, VmCount));
  vm &Node = Vms[Number];
  if (!Node.Store || !mayLose(Node.Id))
    return;
  Lost.insert(Node.Id);
  Node.Store.reset();
  Node.Disk = std::make_unique<fake_disk>(Random());
  open(Number);
}

void simulated_group::partition(int NewSides) {
  Sides = static_cast<int>(within(NewSides, 1U << VmCount));
}

void simulated_group::propose(int Vm) {
  int Number = static_cast<int>(within(Vm, VmCount));
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
  int Leader = workingLeader();
  if (Leader < 0 || Replacement.Active)
    return;
  const member_list &Members = currentMembers(Vms[Leader].State);
  int Number = static_cast<int>(within(New, VmCount));
  if (findMember(Members, Vms[Number].Id) != nullptr)
    return;
  Replacement = {true, Members[within(Old, Members.size())].Store,
                 memberOf(Number)};
}

void simulated_group::replaceInOneStep(vm &Node) {
  member_list Members = currentMembers(Node.State);
  for (control_member &Member : Members)
    if (Member.Store == Replacement.Old)
      Member = Replacement.New;
  try {
    appendMembers(Node.State, Members, input(), Node.Effects);
  } catch (const error &) {
  }
}

void simulated_group::stepReplacement(int Vm) {
  vm &Node = Vms[Vm];
  if (!Replacement.Active || !Node.Store ||
      Node.State.Role != consensus_role::Leader)
    return;
  replacement_step Step =
      nextReplacementStep(Node.State, Replacement.Old, Replacement.New);
  if (!Rules.Decisions.ChangeOneMemberAtATime) {
    replaceInOneStep(Node);
    Replacement.Active = false;
  } else if (Step.Progress == replacement_step::progress::Propose) {
    try {
      appendMembers(Node.State, Step.Members, input(), Node.Effects);
    } catch (const error &) {
      // Refused until a quorum is heard; proposed again.
    }
  }
  if (Step.Progress == replacement_step::progress::Done)
    Replacement.Active = false;
  flush(Vm);
}

void simulated_group::changeAtRandom(int Vm, int Choice) {
  int Number = static_cast<int>(within(Vm, VmCount));
  vm &Node = Vms[Number];
  if (!Node.Store || Node.State.Role != consensus_role::Leader)
    return;
  member_list Members = currentMembers(Node.State);
  control_member Changed = memberOf(static_cast<int>(within(Choice, VmCount)));
  Changed.Voter = Choice % 2 == 0;
  std::size_t Before = Members.size();
  std::erase_if(Members, [&](const control_member &Member) {
    return Member.Store == Changed.Store;
  });
  // Leaves two voters or more and never makes a voter of a late-comer.
  bool Known = Members.size() < Before;
  if (Changed.Voter && !hasCaughtUp(Node.State, Changed.Store))
    return;
  if (!Known || Choice % 3 != 0)
    Members.push_back(Changed);
  if (voterCount(Members) < 2)
    return;
  try {
    appendMembers(Node.State, Members, input(), Node.Effects);
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

void simulated_group::check(int Vm) {
  vm &Node = Vms[Vm];
  consensus_state &State = Node.State;
  for (std::uint64_t Index = State.AppliedIndex + 1; Index <= State.CommitIndex;
       ++Index) {
    const wire::log_entry &Entry = State.Log.at(Index);
    auto [Found, New] = Committed.emplace(Index, Entry);
    if (!New && !sameEntry(Found->second, Entry))
      throw violation{"two values committed at " + std::to_string(Index)};
  }
  bool Leads = State.Role == consensus_role::Leader;
  if (Leads && !Node.Leading)
    checkLeader(Node);
  Node.Leading = Leads;
}

void simulated_group::checkLeader(vm &Node) {
  const consensus_state &State = Node.State;
  auto [Found, New] = LeaderOfTerm.emplace(State.Promises.Term, Node.Id);
  if (!New)
    throw violation{"two leaders in term " +
                    std::to_string(State.Promises.Term)};
  for (const auto &[Index, Entry] : Committed) {
    if (Index <= State.Log.baseIndex())
      continue;
    if (Index > State.Log.lastIndex() || !sameEntry(State.Log.at(Index), Entry))
      throw violation{"a leader lacks committed entry " +
                      std::to_string(Index)};
  }
}

void simulated_group::maybeCompact(vm &Node) {
  consensus_state &State = Node.State;
  std::uint64_t Last = State.Snapshot ? State.Snapshot->Index : 0;
  if (State.AppliedIndex < Last + SnapshotEvery)
    return;
  auto Image = std::make_shared<log_snapshot>();
  Image->Index = State.AppliedIndex;
  Image->Term = State.Log.termAt(Image->Index);
  Image->Members = membersAt(State, Image->Index);
  Image->Data = Node.Applied;
  Node.Store->saveSnapshot(*Image, false);
  compactLog(State, std::move(Image), KeptEntries);
}

std::string simulated_group::describe() const {
  std::string Text;
  for (const vm &Node : Vms) {
    const consensus_state &State = Node.State;
    Text += "\n" + toString(Node.Id) + (Node.Store ? " up" : " down") +
            " role " + std::to_string(static_cast<int>(State.Role)) + " term " +
            std::to_string(State.Promises.Term) + " base " +
            std::to_string(State.Log.baseIndex()) + " last " +
            std::to_string(State.Log.lastIndex()) + " commit " +
            std::to_string(State.CommitIndex) + " members";
    for (const control_member &Member : currentMembers(State))
      Text += " " + toString(Member.Store) + (Member.Voter ? "v" : "n") +
              (Lost.contains(Member.Store) ? " lost" : "");
  }
  return Text;
}

int simulated_group::workingLeader() const {
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
  return Vms[Vm].State.Promises.Term;
}

bool simulated_group::commitsCommand() {
  int Leader = workingLeader();
  if (Leader < 0)
    return false;
  std::uint64_t Index = Vms[Leader].State.Log.lastIndex() + 1;
  propose(Leader);
  runCalm(1000);
  return Committed.contains(Index) &&
         Committed.at(Index).kind == wire::entry_kind::command;
}

bool simulated_group::mustRecover() {
  constexpr int MostTries = 20;
  heal();
  Replacement.Active = false;
  for (int Vm = 0; Vm < VmCount; ++Vm) {
    Vms[Vm].Disk->failAfter(-1);
    restart(Vm);
  }
  bool Recovered = false;
  for (int Try = 0; Try < MostTries && !Recovered; ++Try) {
    runCalm(1000);
    Recovered = commitsCommand();
  }
  // A voter lost while a change that relies on it was under way: only
  // forceMembership() helps.
  if (!Recovered && !mayLose(store_id()))
    return false;
  if (!Recovered)
    throw violation{"no command is committed after everything was repaired" +
                    describe()};
  runCalm(1000);
  int Leader = workingLeader();
  for (const control_member &Member : currentMembers(Vms[Leader].State)) {
    const vm &Node = Vms[VmOfStore.at(Member.Store)];
    if (Node.Id == Member.Store && Node.Applied != Vms[Leader].Applied)
      throw violation{"members differ after everything was repaired" +
                      describe()};
  }
  return true;
}

} // namespace teasellock
