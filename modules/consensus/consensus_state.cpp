#include "modules/consensus/consensus_internal.h"

#include "core/error.h"
#include "modules/consensus/membership_change.h"
#include "modules/consensus/wire_members.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Number of election timeouts without replies of a quorum after which a leader
/// steps down. After one, followers that are only slow, as during a start of
/// the whole deployment, still follow it.
constexpr int QuorumTimeoutMultiplier = 2;

/// Reports whether a request is addressed to this store and comes from its
/// group, or this store belongs to none yet.
template <typename Request>
bool isForThisStore(const consensus_state &State, const Request &Message) {
  bool ClusterMatches = State.HardState.Cluster == 0 ||
                        fromWire(Message.cluster) == State.HardState.Cluster;
  return storeFromWire(Message.recipient) == State.Self && ClusterMatches &&
         Message.cluster != 0;
}

struct message_handler {
  consensus_state &State;
  const consensus_input &Input;
  consensus_effects &Effects;

  void operator()(const wire::vote_request &Message) {
    if (isForThisStore(State, Message))
      handleVoteRequest(State, Message, Input, Effects);
  }
  void operator()(const wire::vote_reply &Message) {
    handleVoteReply(State, Message, Input, Effects);
  }
  void operator()(const wire::append_request &Message) {
    if (isForThisStore(State, Message))
      handleAppendRequest(State, Message, Input, Effects);
  }
  void operator()(const wire::append_reply &Message) {
    handleAppendReply(State, Message, Input, Effects);
  }
  void operator()(const wire::snapshot_request &Message) {
    if (isForThisStore(State, Message))
      handleSnapshotRequest(State, Message, Input, Effects);
  }
  void operator()(const wire::snapshot_reply &Message) {
    handleSnapshotReply(State, Message, Input, Effects);
  }
};

/// Steps down when no quorum has replied for too long.
void checkQuorum(consensus_state &State, const consensus_input &Input,
                 consensus_effects &Effects) {
  time_point Confirmed =
      std::max(leaderConfirmedAt(State, Input.Now), State.LeaderSince);
  if (Input.Now - Confirmed >
      State.Timing.ElectionTimeout * QuorumTimeoutMultiplier)
    stepDown(State, State.HardState.Term, Input, Effects);
}

} // namespace

consensus_state startConsensus(recovered_log Recovered,
                               const consensus_timing &Timing,
                               const consensus_input &Input) {
  consensus_state State;
  State.Self = Recovered.Store;
  State.Timing = Timing;
  State.HardState = Recovered.HardState;
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
  // A message of the leader may have arrived right before the restart.
  State.LastLeaderMessageAt = Input.Now;
  State.FreshStart = Input.Random | 1;
  if (State.Rules.PreVote)
    scheduleFirstPreVote(State, Input);
  else
    resetElectionTimer(State, Input);
  return State;
}

void initialiseGroup(consensus_state &State, member_list InitialMembers,
                     std::uint64_t Cluster, const consensus_input &Input,
                     consensus_effects &Effects) {
  std::string Peer = toString(State.Self);
  if (isInitialised(State) || State.Log.lastIndex() != 0)
    throw error("consensus.initialise", Peer,
                "this store already belongs to a group or has a log");
  if (findMember(InitialMembers, State.Self) == nullptr)
    throw error("consensus.initialise", Peer,
                "the initial members don't name this store");
  validateMembers(InitialMembers);
  for (control_member &Member : InitialMembers) {
    Member.IsVoter = Member.Store == State.Self;
    Member.PromoteWhenCaughtUp = !Member.IsVoter;
  }
  State.HardState = {1, State.Self, Cluster};
  Effects.Disk.push_back(State.HardState);
  wire::log_entry Entry = nextEntry(State, wire::entry_kind::membership);
  Entry.members = toWire(InitialMembers);
  appendEntry(State, std::move(Entry), Effects);
  State.ElectionDeadline = Input.Now;
  State.LastLeaderMessageAt = Input.Now - State.Timing.ElectionTimeout;
  State.FreshStart = 0;
}

void handleMessage(consensus_state &State, const consensus_message &Message,
                   const consensus_input &Input, consensus_effects &Effects) {
  std::visit(message_handler{State, Input, Effects}, Message);
}

void handleTick(consensus_state &State, const consensus_input &Input,
                consensus_effects &Effects) {
  if (State.Role == consensus_role::Leader) {
    checkQuorum(State, Input, Effects);
    if (State.Role != consensus_role::Leader)
      return;
    if (Input.Now >= State.NextHeartbeatAt)
      sendHeartbeats(State, Input, Effects);
    promoteCaughtUpMember(State, Input, Effects);
    return;
  }
  if (Input.Now >= State.ElectionDeadline && canCampaign(State))
    startCampaign(State, Input, Effects);
}

void handleLogSynced(consensus_state &State, const consensus_input &Input,
                     consensus_effects &Effects) {
  State.SyncedIndex = State.Log.lastIndex();
  if (State.Role == consensus_role::Leader)
    advanceCommitIndex(State, Input, Effects);
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
                std::uint64_t RetainedEntries) {
  std::uint64_t Index = Snapshot->Index;
  State.Snapshot = std::move(Snapshot);
  if (Index > RetainedEntries)
    State.Log.advanceBase(Index - RetainedEntries);
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
  return State.HardState.Cluster != 0;
}

bool isVoter(const consensus_state &State) {
  const control_member *Own = findMember(currentMembers(State), State.Self);
  return Own != nullptr && Own->IsVoter;
}

bool canCampaign(const consensus_state &State) {
  if (isVoter(State))
    return true;
  const control_member *Own =
      findMember(membersAt(State, State.CommitIndex), State.Self);
  return Own != nullptr && Own->IsVoter;
}

std::size_t quorumSize(const member_list &Members) {
  return voterCount(Members) / 2 + 1;
}

namespace {

/// Sets the election deadline to a random instant between MinTimeout and twice
/// that from now.
void setElectionDeadline(consensus_state &State, const consensus_input &Input,
                         duration MinTimeout) {
  auto Jitter = static_cast<std::int64_t>(
      Input.Random % static_cast<std::uint64_t>(MinTimeout.count()));
  State.ElectionDeadline = Input.Now + MinTimeout + duration(Jitter);
}

/// The fractions of the election timeout after which a pre-vote is repeated and
/// the first one after a start is held. A pre-vote changes no state and is
/// refused while a leader is active, so it need not wait as long as an
/// election.
constexpr int PreVoteRetryDivisor = 3;
constexpr int FirstPreVoteDivisor = 6;

} // namespace

void resetElectionTimer(consensus_state &State, const consensus_input &Input) {
  setElectionDeadline(State, Input, State.Timing.ElectionTimeout);
}

void schedulePreVoteRetry(consensus_state &State,
                          const consensus_input &Input) {
  setElectionDeadline(State, Input,
                      State.Timing.ElectionTimeout / PreVoteRetryDivisor);
}

void scheduleFirstPreVote(consensus_state &State,
                          const consensus_input &Input) {
  setElectionDeadline(State, Input,
                      State.Timing.ElectionTimeout / FirstPreVoteDivisor);
}

void stepDown(consensus_state &State, std::uint64_t Term,
              const consensus_input &Input, consensus_effects &Effects) {
  if (Term > State.HardState.Term) {
    State.HardState.Term = Term;
    State.HardState.VotedFor = store_id();
    Effects.Disk.push_back(State.HardState);
  }
  if (State.Role != consensus_role::Follower)
    resetElectionTimer(State, Input);
  State.Role = consensus_role::Follower;
  State.Leader = store_id();
  State.Votes.clear();
  State.ConditionalVotes.clear();
  State.FreshStarts.clear();
  State.Followers.clear();
}

wire::log_entry nextEntry(const consensus_state &State,
                          wire::entry_kind::type Kind) {
  wire::log_entry Entry;
  Entry.index = toWire(State.Log.lastIndex() + 1);
  Entry.term = toWire(State.HardState.Term);
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
