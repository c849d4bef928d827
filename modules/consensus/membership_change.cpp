#include "modules/consensus/membership_change.h"

#include "core/error.h"
#include "modules/consensus/consensus_internal.h"
#include "modules/consensus/wire_members.h"

#include <algorithm>
#include <set>

namespace teasellock {

namespace {

/// A member that lacks at most this many entries counts as caught up.
constexpr std::uint64_t MaxCaughtUpLag = 16;

std::set<store_id> differingStores(const member_list &Left,
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

[[noreturn]] void rejectChange(const consensus_state &State,
                               const std::string &Reason) {
  throw error("consensus.change_members", toString(State.Self), Reason);
}

bool isLastChangeCommitted(const consensus_state &State) {
  return State.Memberships.back().Index <= State.CommitIndex;
}

bool hasCommittedInOwnTerm(const consensus_state &State) {
  return State.CommitIndex >= State.BarrierIndex;
}

bool isReachable(const consensus_state &State, store_id Store, time_point Now) {
  if (Store == State.Self)
    return true;
  auto Found = State.Followers.find(Store);
  return Found != State.Followers.end() &&
         Now - Found->second.LastReceivedAt <= State.Timing.ElectionTimeout;
}

std::size_t reachableVoterCount(const consensus_state &State,
                                const member_list &Members, time_point Now) {
  return static_cast<std::size_t>(std::count_if(
      Members.begin(), Members.end(), [&](const control_member &Member) {
        return Member.IsVoter && isReachable(State, Member.Store, Now);
      }));
}

member_list withoutMember(member_list Members, store_id Store) {
  std::erase_if(Members, [&](const control_member &Member) {
    return Member.Store == Store;
  });
  return Members;
}

member_list withMember(member_list Members, control_member Member, bool Voter) {
  Members = withoutMember(std::move(Members), Member.Store);
  Member.IsVoter = Voter;
  Member.PromoteWhenCaughtUp = false;
  Members.push_back(std::move(Member));
  return Members;
}

} // namespace

void validateMembers(const member_list &Members) {
  std::set<store_id> Stores;
  for (const control_member &Member : Members) {
    if (Member.Store == store_id())
      throw error("consensus.members", toString(Member.Vm), "store id missing");
    if (!Stores.insert(Member.Store).second)
      throw error("consensus.members", toString(Member.Vm),
                  "store " + toString(Member.Store) + " is named twice");
  }
  if (voterCount(Members) == 0)
    throw error("consensus.members", "all", "the membership has no voter");
}

void validateChange(const consensus_state &State, const member_list &Members,
                    time_point Now) {
  if (State.Role != consensus_role::Leader)
    rejectChange(State, "not the leader");
  validateMembers(Members);
  if (State.Rules.RequireOwnCommitBeforeChange && !hasCommittedInOwnTerm(State))
    rejectChange(State,
                 "the leader has not committed an entry of its term yet");
  if (!isLastChangeCommitted(State))
    rejectChange(State, "the previous change is not committed yet");
  std::size_t DifferingCount =
      differingStores(currentMembers(State), Members).size();
  if (DifferingCount == 0)
    rejectChange(State, "nothing would change");
  if (State.Rules.ChangeOneMemberAtATime && DifferingCount != 1)
    rejectChange(State, "more than one member would change");
  if (reachableVoterCount(State, Members, Now) < quorumSize(Members))
    rejectChange(State, "no quorum of the new membership is reachable");
}

std::uint64_t appendMembership(consensus_state &State,
                               const member_list &Members,
                               const consensus_input &Input,
                               consensus_effects &Effects) {
  validateChange(State, Members, Input.Now);
  wire::log_entry Entry = nextEntry(State, wire::entry_kind::membership);
  Entry.members = toWire(Members);
  appendEntry(State, std::move(Entry), Effects);
  updateFollowers(State);
  return State.Log.lastIndex();
}

bool hasCaughtUp(const consensus_state &State, store_id Store) {
  auto Found = State.Followers.find(Store);
  if (Found == State.Followers.end())
    return false;
  std::uint64_t MatchIndex = Found->second.MatchIndex;
  // A voter that does not know yet that it is a member ignores vote requests.
  return MatchIndex > 0 && MatchIndex >= State.Memberships.back().Index &&
         MatchIndex + MaxCaughtUpLag >= State.Log.lastIndex();
}

void promoteCaughtUpMember(consensus_state &State, const consensus_input &Input,
                           consensus_effects &Effects) {
  if (!hasCommittedInOwnTerm(State) || !isLastChangeCommitted(State))
    return;
  for (const control_member &Member : currentMembers(State)) {
    if (Member.IsVoter || !Member.PromoteWhenCaughtUp ||
        !hasCaughtUp(State, Member.Store) ||
        !isReachable(State, Member.Store, Input.Now))
      continue;
    member_list Next = currentMembers(State);
    for (control_member &Changed : Next)
      if (Changed.Store == Member.Store) {
        Changed.IsVoter = true;
        Changed.PromoteWhenCaughtUp = false;
      }
    appendMembership(State, Next, Input, Effects);
    return;
  }
}

replacement_step nextReplacementStep(const consensus_state &State, store_id Old,
                                     const control_member &New) {
  using progress = replacement_step::progress;
  const member_list &Members = currentMembers(State);
  const control_member *Existing = findMember(Members, New.Store);
  bool HasOldMember = findMember(Members, Old) != nullptr;
  if (!isLastChangeCommitted(State) || !hasCommittedInOwnTerm(State))
    return {progress::Wait, {}, "a change is being committed"};
  if (!HasOldMember && Existing != nullptr && Existing->IsVoter)
    return {progress::Done, {}, "replaced"};
  if (Existing == nullptr)
    return {progress::Propose, withMember(Members, New, false),
            "add the new store as non-voter"};
  if (!hasCaughtUp(State, New.Store))
    return {progress::Wait, {}, "the new store is catching up"};
  if (HasOldMember)
    return {progress::Propose, withoutMember(Members, Old),
            "remove the old store"};
  return {progress::Propose, withMember(Members, New, true),
          "make the new store a voter"};
}

std::string forceMembership(consensus_state &State, std::uint64_t NewCluster,
                            const consensus_input &Input,
                            consensus_effects &Effects) {
  const std::string Peer = toString(State.Self);
  if (findMember(currentMembers(State), State.Self) == nullptr)
    throw error("consensus.force", Peer, "this store has no log of a group");
  if (State.Role == consensus_role::Leader ||
      Input.Now - State.LastLeaderMessageAt < State.Timing.ElectionTimeout)
    throw error("consensus.force", Peer, "the group has an active leader");
  std::uint64_t LastIndex = State.Log.lastIndex();
  std::uint64_t Committed = State.CommitIndex;
  stepDown(State, State.HardState.Term + 1, Input, Effects);
  State.HardState.Cluster = NewCluster;
  Effects.Disk.push_back(State.HardState);
  wire::log_entry Entry = nextEntry(State, wire::entry_kind::membership);
  control_member Own = *findMember(currentMembers(State), State.Self);
  Own.IsVoter = true;
  Own.PromoteWhenCaughtUp = false;
  Entry.members = toWire(member_list{Own});
  appendEntry(State, std::move(Entry), Effects);
  State.ElectionDeadline = Input.Now;
  return "Entries after " + std::to_string(LastIndex) +
         " that the lost members acknowledged are lost. Entries " +
         std::to_string(Committed + 1) + " to " + std::to_string(LastIndex) +
         " become committed, even if their proposers were never notified. "
         "Every other member must be wiped before it joins again.";
}

} // namespace teasellock
