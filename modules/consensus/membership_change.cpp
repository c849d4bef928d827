#include "modules/consensus/membership_change.h"

#include "core/error.h"
#include "modules/consensus/consensus_internal.h"
#include "modules/consensus/wire_members.h"

#include <algorithm>
#include <set>

namespace teasellock {

namespace {

/// A member this close to the committed entries counts as caught up.
constexpr std::uint64_t CaughtUpEntries = 16;

std::set<store_id> storesThatDiffer(const member_list &Left,
                                    const member_list &Right) {
  std::set<store_id> Result;
  for (const control_member &Member : Left) {
    const control_member *Other = findMember(Right, Member.Store);
    if (Other == nullptr || !(*Other == Member))
      Result.insert(Member.Store);
  }
  for (const control_member &Member : Right)
    if (findMember(Left, Member.Store) == nullptr)
      Result.insert(Member.Store);
  return Result;
}

[[noreturn]] void refuse(const consensus_state &State,
                         const std::string &Reason) {
  throw error("consensus.change_members", toString(State.Self), Reason);
}

bool lastChangeIsCommitted(const consensus_state &State) {
  return State.Memberships.back().Index <= State.CommitIndex;
}

bool ownEntryIsCommitted(const consensus_state &State) {
  return State.CommitIndex >= State.BarrierIndex;
}

bool isHeard(const consensus_state &State, store_id Store, time_point Now) {
  if (Store == State.Self)
    return true;
  auto Found = State.Followers.find(Store);
  return Found != State.Followers.end() &&
         Now - Found->second.LastHeard <= State.Timing.ElectionTimeout;
}

std::size_t heardVoters(const consensus_state &State,
                        const member_list &Members, time_point Now) {
  return static_cast<std::size_t>(std::count_if(
      Members.begin(), Members.end(), [&](const control_member &Member) {
        return Member.Voter && isHeard(State, Member.Store, Now);
      }));
}

member_list without(member_list Members, store_id Store) {
  std::erase_if(Members, [&](const control_member &Member) {
    return Member.Store == Store;
  });
  return Members;
}

member_list with(member_list Members, control_member Member, bool Voter) {
  Members = without(std::move(Members), Member.Store);
  Member.Voter = Voter;
  Member.Promote = false;
  Members.push_back(std::move(Member));
  return Members;
}

} // namespace

void checkMembers(const member_list &Members) {
  std::set<store_id> Stores;
  for (const control_member &Member : Members) {
    if (Member.Store == store_id())
      throw error("consensus.members", toString(Member.Vm), "store id missing");
    if (!Stores.insert(Member.Store).second)
      throw error("consensus.members", toString(Member.Vm),
                  "store " + toString(Member.Store) + " is named twice");
  }
  if (voterCount(Members) == 0)
    throw error("consensus.members", "all", "nobody would vote");
}

void checkChange(const consensus_state &State, const member_list &Members,
                 time_point Now) {
  if (State.Role != consensus_role::Leader)
    refuse(State, "not the leader");
  checkMembers(Members);
  if (State.Rules.ChangeAfterOwnCommit && !ownEntryIsCommitted(State))
    refuse(State, "the leader has not committed an entry of its term yet");
  if (!lastChangeIsCommitted(State))
    refuse(State, "the change before is not committed yet");
  std::size_t Differing =
      storesThatDiffer(currentMembers(State), Members).size();
  if (Differing == 0)
    refuse(State, "nothing would change");
  if (State.Rules.ChangeOneMemberAtATime && Differing != 1)
    refuse(State, "more than one member would change");
  if (heardVoters(State, Members, Now) < quorumSize(Members))
    refuse(State, "no quorum of the new membership is heard");
}

std::uint64_t appendMembers(consensus_state &State, const member_list &Members,
                            const decision_input &Input,
                            consensus_effects &Effects) {
  checkChange(State, Members, Input.Now);
  wire::log_entry Entry = nextEntry(State, wire::entry_kind::membership);
  Entry.members = toWire(Members);
  appendEntry(State, std::move(Entry), Effects);
  trackFollowers(State);
  return State.Log.lastIndex();
}

bool hasCaughtUp(const consensus_state &State, store_id Store) {
  auto Found = State.Followers.find(Store);
  if (Found == State.Followers.end())
    return false;
  std::uint64_t Match = Found->second.Match;
  // A voter that has not learnt that it is a member would refuse its vote.
  return Match > 0 && Match >= State.Memberships.back().Index &&
         Match + CaughtUpEntries >= State.Log.lastIndex();
}

void promoteCaughtUp(consensus_state &State, const decision_input &Input,
                     consensus_effects &Effects) {
  if (!ownEntryIsCommitted(State) || !lastChangeIsCommitted(State))
    return;
  for (const control_member &Member : currentMembers(State)) {
    if (Member.Voter || !Member.Promote || !hasCaughtUp(State, Member.Store) ||
        !isHeard(State, Member.Store, Input.Now))
      continue;
    member_list Next = currentMembers(State);
    for (control_member &Changed : Next)
      if (Changed.Store == Member.Store) {
        Changed.Voter = true;
        Changed.Promote = false;
      }
    appendMembers(State, Next, Input, Effects);
    return;
  }
}

replacement_step nextReplacementStep(const consensus_state &State, store_id Old,
                                     const control_member &New) {
  using progress = replacement_step::progress;
  const member_list &Members = currentMembers(State);
  const control_member *Known = findMember(Members, New.Store);
  bool OldIsIn = findMember(Members, Old) != nullptr;
  if (!lastChangeIsCommitted(State) || !ownEntryIsCommitted(State))
    return {progress::Wait, {}, "a change is being committed"};
  if (!OldIsIn && Known != nullptr && Known->Voter)
    return {progress::Done, {}, "replaced"};
  if (Known == nullptr)
    return {progress::Propose, with(Members, New, false),
            "add the new store as non-voter"};
  if (!hasCaughtUp(State, New.Store))
    return {progress::Wait, {}, "the new store is catching up"};
  if (OldIsIn)
    return {progress::Propose, without(Members, Old), "remove the old store"};
  return {progress::Propose, with(Members, New, true),
          "make the new store a voter"};
}

std::string forceMembership(consensus_state &State, std::uint64_t NewCluster,
                            const decision_input &Input,
                            consensus_effects &Effects) {
  const std::string Peer = toString(State.Self);
  if (findMember(currentMembers(State), State.Self) == nullptr)
    throw error("consensus.force", Peer, "this store holds no log of a group");
  if (State.Role == consensus_role::Leader ||
      Input.Now - State.LeaderHeardAt < State.Timing.ElectionTimeout)
    throw error("consensus.force", Peer, "a live leader is heard");
  std::uint64_t Known = State.Log.lastIndex();
  std::uint64_t Committed = State.CommitIndex;
  stepDown(State, State.Promises.Term + 1, Input, Effects);
  State.Promises.Cluster = NewCluster;
  Effects.Disk.push_back(State.Promises);
  wire::log_entry Entry = nextEntry(State, wire::entry_kind::membership);
  control_member Own = *findMember(currentMembers(State), State.Self);
  Own.Voter = true;
  Own.Promote = false;
  Entry.members = toWire(member_list{Own});
  appendEntry(State, std::move(Entry), Effects);
  State.ElectionDue = Input.Now;
  return "Entries after " + std::to_string(Known) +
         " that the lost members acknowledged are lost. Entries " +
         std::to_string(Committed + 1) + " to " + std::to_string(Known) +
         " become committed, also if their proposers never heard so. Every "
         "other member must be wiped before it joins again.";
}

} // namespace teasellock
