#include "modules/consensus/consensus_internal.h"

#include "core/error.h"
#include "modules/consensus/membership_change.h"
#include "modules/consensus/wire_members.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Election timeouts that a leader waits for a quorum. Followers that are only
/// slow, as while everything starts, still follow it after one.
constexpr int QuorumPatience = 2;

/// Whether a request is for this store and of its group.
template <typename Request>
bool isForUs(const consensus_state &State, const Request &Message) {
  bool KnownCluster = State.Promises.Cluster == 0 ||
                      fromWire(Message.cluster) == State.Promises.Cluster;
  return storeFromWire(Message.recipient) == State.Self && KnownCluster &&
         Message.cluster != 0;
}

struct message_handler {
  consensus_state &State;
  const decision_input &Input;
  consensus_effects &Effects;

  void operator()(const wire::vote_request &Message) {
    if (isForUs(State, Message))
      handleVoteRequest(State, Message, Input, Effects);
  }
  void operator()(const wire::vote_reply &Message) {
    handleVoteReply(State, Message, Input, Effects);
  }
  void operator()(const wire::append_request &Message) {
    if (isForUs(State, Message))
      handleAppendRequest(State, Message, Input, Effects);
  }
  void operator()(const wire::append_reply &Message) {
    handleAppendReply(State, Message, Input, Effects);
  }
  void operator()(const wire::snapshot_request &Message) {
    if (isForUs(State, Message))
      handleSnapshotRequest(State, Message, Input, Effects);
  }
  void operator()(const wire::snapshot_reply &Message) {
    handleSnapshotReply(State, Message, Input, Effects);
  }
};

/// Steps down when no quorum has answered for some time.
void checkQuorum(consensus_state &State, const decision_input &Input,
                 consensus_effects &Effects) {
  time_point Confirmed =
      std::max(leaderConfirmedAt(State, Input.Now), State.LeaderSince);
  if (Input.Now - Confirmed > State.Timing.ElectionTimeout * QuorumPatience)
    stepDown(State, State.Promises.Term, Input, Effects);
}

} // namespace

consensus_state startConsensus(recovered_log Recovered,
                               const consensus_timing &Timing,
                               const decision_input &Input) {
  consensus_state State;
  State.Self = Recovered.Store;
  State.Timing = Timing;
  State.Promises = Recovered.Promises;
  if (const auto &Snapshot = Recovered.Snapshot) {
    State.Memberships.front() = {Snapshot->Index, Snapshot->Members};
    State.AppliedIndex = Snapshot->Index;
    State.Log.reset(Snapshot->Index, Snapshot->Term);
    State.Snapshot = Snapshot;
  }
  for (wire::log_entry &Entry : Recovered.Entries) {
    if (Entry.kind == wire::entry_kind::membership)
      State.Memberships.push_back(
          {fromWire(Entry.index), fromWire(Entry.members)});
    State.Log.append(std::move(Entry));
  }
  State.SyncedIndex = State.Log.lastIndex();
  State.CommitIndex = std::max(State.AppliedIndex, Recovered.Commit);
  // A leader may have been heard right before the restart.
  State.LeaderHeardAt = Input.Now;
  if (State.Rules.PreVote)
    scheduleFirstTrial(State, Input);
  else
    postponeElection(State, Input);
  return State;
}

void foundGroup(consensus_state &State, member_list Founders,
                std::uint64_t Cluster, const decision_input &Input,
                consensus_effects &Effects) {
  std::string Peer = toString(State.Self);
  if (isInitialised(State) || State.Log.lastIndex() != 0)
    throw error("consensus.initialise", Peer, "this store has state already");
  if (findMember(Founders, State.Self) == nullptr)
    throw error("consensus.initialise", Peer,
                "the founders don't name this store");
  checkMembers(Founders);
  for (control_member &Founder : Founders) {
    Founder.Voter = Founder.Store == State.Self;
    Founder.Promote = !Founder.Voter;
  }
  State.Promises = {1, State.Self, Cluster};
  Effects.Disk.push_back(State.Promises);
  wire::log_entry Entry = nextEntry(State, wire::entry_kind::membership);
  Entry.members = toWire(Founders);
  appendEntry(State, std::move(Entry), Effects);
  State.ElectionDue = Input.Now;
  State.LeaderHeardAt = Input.Now - State.Timing.ElectionTimeout;
}

void handleMessage(consensus_state &State, const consensus_message &Message,
                   const decision_input &Input, consensus_effects &Effects) {
  std::visit(message_handler{State, Input, Effects}, Message);
}

void passTime(consensus_state &State, const decision_input &Input,
              consensus_effects &Effects) {
  if (State.Role == consensus_role::Leader) {
    checkQuorum(State, Input, Effects);
    if (State.Role != consensus_role::Leader)
      return;
    if (Input.Now >= State.HeartbeatDue)
      sendHeartbeats(State, Input, Effects);
    promoteCaughtUp(State, Input, Effects);
    return;
  }
  if (Input.Now >= State.ElectionDue && mayCampaign(State))
    campaign(State, Input, Effects);
}

void logSynced(consensus_state &State, const decision_input &Input,
               consensus_effects &Effects) {
  State.SyncedIndex = State.Log.lastIndex();
  if (State.Role == consensus_role::Leader)
    advanceCommit(State, Input, Effects);
}

std::uint64_t appendCommand(consensus_state &State, std::string Command,
                            consensus_effects &Effects) {
  wire::log_entry Entry = nextEntry(State, wire::entry_kind::command);
  Entry.data = std::move(Command);
  appendEntry(State, std::move(Entry), Effects);
  return State.Log.lastIndex();
}

void compactLog(consensus_state &State,
                std::shared_ptr<const log_snapshot> Snapshot,
                std::uint64_t KeptEntries) {
  std::uint64_t Index = Snapshot->Index;
  State.Snapshot = std::move(Snapshot);
  if (Index > KeptEntries)
    State.Log.advanceBase(Index - KeptEntries);
  auto &Records = State.Memberships;
  while (Records.size() > 1 && Records[1].Index <= Index)
    Records.erase(Records.begin());
}

const member_list &currentMembers(const consensus_state &State) {
  return State.Memberships.back().Members;
}

const member_list &membersAt(const consensus_state &State,
                             std::uint64_t Index) {
  auto Found = std::find_if(
      State.Memberships.rbegin(), State.Memberships.rend(),
      [&](const membership_record &Record) { return Record.Index <= Index; });
  return Found == State.Memberships.rend() ? State.Memberships.front().Members
                                           : Found->Members;
}

bool isInitialised(const consensus_state &State) {
  return State.Promises.Cluster != 0;
}

bool isVoter(const consensus_state &State) {
  const control_member *Own = findMember(currentMembers(State), State.Self);
  return Own != nullptr && Own->Voter;
}

bool mayCampaign(const consensus_state &State) {
  if (isVoter(State))
    return true;
  const control_member *Own =
      findMember(membersAt(State, State.CommitIndex), State.Self);
  return Own != nullptr && Own->Voter;
}

std::size_t quorumSize(const member_list &Members) {
  return voterCount(Members) / 2 + 1;
}

namespace {

/// Sets the election to a random instant from Least on within as long again.
void setElection(consensus_state &State, const decision_input &Input,
                 duration Least) {
  auto Extra = static_cast<std::int64_t>(
      Input.Random % static_cast<std::uint64_t>(Least.count()));
  State.ElectionDue = Input.Now + Least + duration(Extra);
}

/// Parts of the election timeout after which a trial is held again, and the
/// first one after a start. A trial changes nothing and is refused while a
/// leader is heard, so it need not wait for as long as an election.
constexpr int TrialParts = 3;
constexpr int FirstTrialParts = 6;

} // namespace

void postponeElection(consensus_state &State, const decision_input &Input) {
  setElection(State, Input, State.Timing.ElectionTimeout);
}

void postponeTrial(consensus_state &State, const decision_input &Input) {
  setElection(State, Input, State.Timing.ElectionTimeout / TrialParts);
}

void scheduleFirstTrial(consensus_state &State, const decision_input &Input) {
  setElection(State, Input, State.Timing.ElectionTimeout / FirstTrialParts);
}

void stepDown(consensus_state &State, std::uint64_t Term,
              const decision_input &Input, consensus_effects &Effects) {
  if (Term > State.Promises.Term) {
    State.Promises.Term = Term;
    State.Promises.VotedFor = store_id();
    Effects.Disk.push_back(State.Promises);
  }
  if (State.Role != consensus_role::Follower)
    postponeElection(State, Input);
  State.Role = consensus_role::Follower;
  State.Leader = store_id();
  State.Votes.clear();
  State.Followers.clear();
}

wire::log_entry nextEntry(const consensus_state &State,
                          wire::entry_kind::type Kind) {
  wire::log_entry Entry;
  Entry.index = toWire(State.Log.lastIndex() + 1);
  Entry.term = toWire(State.Promises.Term);
  Entry.kind = Kind;
  return Entry;
}

void appendEntry(consensus_state &State, wire::log_entry Entry,
                 consensus_effects &Effects) {
  if (Entry.kind == wire::entry_kind::membership)
    State.Memberships.push_back(
        {fromWire(Entry.index), fromWire(Entry.members)});
  if (Effects.Disk.empty() ||
      !std::holds_alternative<append_entries>(Effects.Disk.back()))
    Effects.Disk.push_back(append_entries{State.CommitIndex, {}});
  std::get<append_entries>(Effects.Disk.back()).Entries.push_back(Entry);
  State.Log.append(std::move(Entry));
}

void truncateLog(consensus_state &State, std::uint64_t Index) {
  State.Log.truncateFrom(Index);
  State.SyncedIndex = std::min(State.SyncedIndex, Index - 1);
  while (State.Memberships.size() > 1 &&
         State.Memberships.back().Index >= Index)
    State.Memberships.pop_back();
}

} // namespace teasellock
