#include "modules/consensus/consensus_internal.h"

#include "core/error.h"
#include "modules/consensus/wire_members.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Heartbeat periods after which a lost request with data is sent again.
constexpr int ResendAfterHeartbeats = 4;
/// Maximum number of rounds for which the send time is kept per follower.
constexpr std::size_t MaxOpenRounds = 256;

wire::append_request makeAppend(const consensus_state &State, store_id To,
                                std::uint64_t Previous) {
  wire::append_request Request;
  Request.term = toWire(State.HardState.Term);
  Request.leader = toWire(State.Self);
  Request.previous_index = toWire(Previous);
  Request.previous_term =
      toWire(Previous == 0 ? 0 : State.Log.termAt(Previous));
  Request.commit = toWire(State.CommitIndex);
  Request.round = toWire(State.Round);
  Request.cluster = toWire(State.HardState.Cluster);
  Request.recipient = toWire(To);
  return Request;
}

void recordSentRound(consensus_state &State, follower_progress &Follower,
                     time_point Now) {
  Follower.OpenRounds[State.Round] = Now;
  if (Follower.OpenRounds.size() > MaxOpenRounds)
    Follower.OpenRounds.erase(Follower.OpenRounds.begin());
}

/// Sends the next entries that the follower lacks, or the next snapshot chunk
/// if those entries have been compacted away.
void sendEntries(consensus_state &State, store_id To,
                 follower_progress &Follower, const consensus_input &Input,
                 consensus_effects &Effects) {
  if (Follower.Snapshot || !State.Log.hasTermAt(Follower.NextIndex - 1)) {
    sendSnapshotChunk(State, To, Follower, Input, Effects);
    return;
  }
  State.Round += 1;
  wire::append_request Request = makeAppend(State, To, Follower.NextIndex - 1);
  Request.entries =
      State.Log.slice(Follower.NextIndex, State.Limits.AppendBytes);
  recordSentRound(State, Follower, Input.Now);
  Follower.PendingRound = State.Round;
  Follower.PendingSentAt = Input.Now;
  Effects.Send.push_back({To, std::move(Request)});
}

/// Sends an append request without entries. It follows an entry that the
/// follower is known to have, so that it can't be rejected for a conflict.
void sendEmptyAppend(consensus_state &State, store_id To,
                     follower_progress &Follower, const consensus_input &Input,
                     consensus_effects &Effects) {
  State.Round += 1;
  std::uint64_t Previous =
      State.Log.hasTermAt(Follower.MatchIndex) ? Follower.MatchIndex : 0;
  recordSentRound(State, Follower, Input.Now);
  Effects.Send.push_back({To, makeAppend(State, To, Previous)});
}

/// Reports whether data may be sent: none is pending, or the pending request is
/// lost. Links deliver in order, so it is lost once a later request has been
/// answered; until then it may be on its way, and copies would only fill the
/// link.
bool canSendData(const consensus_state &State,
                 const follower_progress &Follower, time_point Now) {
  if (Follower.PendingRound == 0)
    return true;
  return Follower.AnsweredRound > Follower.PendingRound &&
         Now - Follower.PendingSentAt >=
             State.Timing.HeartbeatPeriod * ResendAfterHeartbeats;
}

/// Sends durable entries to all followers that lack some and have no request
/// pending.
void sendToIdleFollowers(consensus_state &State, const consensus_input &Input,
                         consensus_effects &Effects) {
  for (auto &[Store, Follower] : State.Followers)
    if (Follower.PendingRound == 0 && Follower.NextIndex <= State.SyncedIndex)
      sendEntries(State, Store, Follower, Input, Effects);
}

void recordRoundReply(follower_progress &Follower, std::uint64_t Round,
                      time_point Now) {
  Follower.LastReceivedAt = Now;
  Follower.AnsweredRound = std::max(Follower.AnsweredRound, Round);
  auto Found = Follower.OpenRounds.find(Round);
  if (Found == Follower.OpenRounds.end())
    return;
  Follower.ConfirmedAt = std::max(Follower.ConfirmedAt, Found->second);
  Follower.OpenRounds.erase(Found);
}

/// Reports whether the log contains the entry before those of the request.
bool matchesPrevious(const consensus_state &State,
                     const wire::append_request &Message) {
  std::uint64_t Previous = fromWire(Message.previous_index);
  if (Previous <= std::max(State.Log.baseIndex(), State.CommitIndex))
    return true;
  return Previous <= State.Log.lastIndex() &&
         State.Log.termAt(Previous) == fromWire(Message.previous_term);
}

/// Returns the index after which the leader should continue after a conflict:
/// that of the entry before the first one of the conflicting term, or the last
/// entry if the log is too short.
std::uint64_t nextIndexHint(const consensus_state &State,
                            std::uint64_t Previous) {
  if (Previous > State.Log.lastIndex())
    return State.Log.lastIndex();
  std::uint64_t Term = State.Log.termAt(Previous);
  std::uint64_t Hint = Previous;
  while (Hint > State.CommitIndex && Hint > State.Log.baseIndex() &&
         State.Log.termAt(Hint) == Term)
    --Hint;
  return Hint;
}

void storeEntries(consensus_state &State, std::uint64_t Previous,
                  const std::vector<wire::log_entry> &Entries,
                  consensus_effects &Effects) {
  for (const wire::log_entry &Entry : Entries) {
    std::uint64_t Index = fromWire(Entry.index);
    if (Index != ++Previous)
      throw error("consensus.append", std::to_string(Index),
                  "entries are not consecutive");
    if (Index <= State.Log.baseIndex())
      continue;
    if (Index <= State.Log.lastIndex()) {
      if (State.Log.termAt(Index) == fromWire(Entry.term))
        continue;
      if (Index <= State.CommitIndex)
        throw error("consensus.append", std::to_string(Index),
                    "a committed entry would be replaced");
      truncateLog(State, Index);
    }
    appendEntry(State, Entry, Effects);
  }
}

} // namespace

bool acceptLeader(consensus_state &State, std::uint64_t Term, store_id Leader,
                  std::uint64_t Cluster, const consensus_input &Input,
                  consensus_effects &Effects) {
  State.FreshStart = 0;
  if (Term < State.HardState.Term)
    return false;
  if (Term == State.HardState.Term && State.Role == consensus_role::Leader)
    throw error("consensus.append", toString(Leader),
                "a second leader in term " + std::to_string(Term));
  if (Term > State.HardState.Term || State.Role != consensus_role::Follower)
    stepDown(State, Term, Input, Effects);
  if (State.HardState.Cluster == 0) {
    State.HardState.Cluster = Cluster;
    Effects.Disk.push_back(State.HardState);
  }
  State.Leader = Leader;
  State.LastLeaderMessageAt = Input.Now;
  resetElectionTimer(State, Input);
  return true;
}

void updateFollowers(consensus_state &State) {
  std::map<store_id, follower_progress> Tracked;
  for (const control_member &Member : currentMembers(State)) {
    if (Member.Store == State.Self)
      continue;
    auto Known = State.Followers.find(Member.Store);
    if (Known != State.Followers.end())
      Tracked[Member.Store] = std::move(Known->second);
    else
      Tracked[Member.Store].NextIndex = State.Log.lastIndex() + 1;
  }
  State.Followers = std::move(Tracked);
}

void becomeLeader(consensus_state &State, const consensus_input &Input,
                  consensus_effects &Effects) {
  State.Role = consensus_role::Leader;
  State.Leader = State.Self;
  State.LeaderSince = Input.Now;
  State.FreshStart = 0;
  State.Votes.clear();
  State.ConditionalVotes.clear();
  State.FreshStarts.clear();
  State.Followers.clear();
  updateFollowers(State);
  appendEntry(State, nextEntry(State, wire::entry_kind::barrier), Effects);
  State.BarrierIndex = State.Log.lastIndex();
  sendHeartbeats(State, Input, Effects);
}

void sendHeartbeats(consensus_state &State, const consensus_input &Input,
                    consensus_effects &Effects) {
  State.NextHeartbeatAt = Input.Now + State.Timing.HeartbeatPeriod;
  updateFollowers(State);
  for (auto &[Store, Follower] : State.Followers) {
    // A new member may need entries even if the leader has no new ones.
    bool IsBehind =
        Follower.MatchIndex < State.Log.lastIndex() || Follower.Snapshot;
    if (IsBehind && canSendData(State, Follower, Input.Now))
      sendEntries(State, Store, Follower, Input, Effects);
    else
      sendEmptyAppend(State, Store, Follower, Input, Effects);
  }
}

void startHeartbeatRound(consensus_state &State, const consensus_input &Input,
                         consensus_effects &Effects) {
  if (State.Role != consensus_role::Leader)
    return;
  for (auto &[Store, Follower] : State.Followers)
    sendEmptyAppend(State, Store, Follower, Input, Effects);
}

time_point leaderConfirmedAt(const consensus_state &State, time_point Now) {
  if (State.Role != consensus_role::Leader)
    return {};
  std::vector<time_point> Times;
  for (const control_member &Member : currentMembers(State)) {
    if (!Member.IsVoter)
      continue;
    auto Found = State.Followers.find(Member.Store);
    if (Member.Store == State.Self)
      Times.push_back(Now);
    else
      Times.push_back(Found == State.Followers.end()
                          ? time_point()
                          : Found->second.ConfirmedAt);
  }
  std::sort(Times.rbegin(), Times.rend());
  std::size_t Quorum = quorumSize(currentMembers(State));
  return Times.size() < Quorum ? time_point() : Times[Quorum - 1];
}

void advanceCommitIndex(consensus_state &State, const consensus_input &Input,
                        consensus_effects &Effects) {
  updateFollowers(State);
  std::vector<std::uint64_t> MatchIndexes;
  for (const control_member &Member : currentMembers(State))
    if (Member.IsVoter)
      MatchIndexes.push_back(Member.Store == State.Self
                                 ? State.SyncedIndex
                                 : State.Followers[Member.Store].MatchIndex);
  std::sort(MatchIndexes.rbegin(), MatchIndexes.rend());
  std::size_t Quorum = quorumSize(currentMembers(State));
  std::uint64_t QuorumIndex =
      MatchIndexes.size() < Quorum ? 0 : MatchIndexes[Quorum - 1];
  bool IsOwnTerm = QuorumIndex > State.CommitIndex &&
                   State.Log.termAt(QuorumIndex) == State.HardState.Term;
  if (QuorumIndex > State.CommitIndex &&
      (IsOwnTerm || !State.Rules.CommitOwnTermOnly))
    State.CommitIndex = QuorumIndex;
  sendToIdleFollowers(State, Input, Effects);
  // Elections without the wait after a start rely on it that only voters lead.
  if (!isVoter(State) && State.CommitIndex >= State.Memberships.back().Index)
    stepDown(State, State.HardState.Term, Input, Effects);
}

void handleAppendRequest(consensus_state &State,
                         const wire::append_request &Message,
                         const consensus_input &Input,
                         consensus_effects &Effects) {
  store_id Leader = storeFromWire(Message.leader);
  wire::append_reply Reply;
  Reply.follower = toWire(State.Self);
  Reply.round = Message.round;
  if (acceptLeader(State, fromWire(Message.term), Leader,
                   fromWire(Message.cluster), Input, Effects)) {
    std::uint64_t Previous = fromWire(Message.previous_index);
    Reply.success = matchesPrevious(State, Message);
    if (Reply.success) {
      storeEntries(State, Previous, Message.entries, Effects);
      std::uint64_t MatchIndex = Previous + Message.entries.size();
      Reply.match_index = toWire(MatchIndex);
      State.CommitIndex = std::max(
          State.CommitIndex, std::min(fromWire(Message.commit), MatchIndex));
    } else {
      Reply.match_index = toWire(nextIndexHint(State, Previous));
    }
  }
  Reply.term = toWire(State.HardState.Term);
  Effects.Send.push_back({Leader, Reply});
}

follower_progress *findReplyingFollower(consensus_state &State, store_id Store,
                                        std::uint64_t Term,
                                        const consensus_input &Input,
                                        consensus_effects &Effects) {
  if (findMember(currentMembers(State), Store) == nullptr)
    return nullptr;
  if (Term > State.HardState.Term) {
    stepDown(State, Term, Input, Effects);
    return nullptr;
  }
  auto Found = State.Followers.find(Store);
  if (State.Role != consensus_role::Leader || Found == State.Followers.end() ||
      Term != State.HardState.Term)
    return nullptr;
  return &Found->second;
}

void handleAppendReply(consensus_state &State,
                       const wire::append_reply &Message,
                       const consensus_input &Input,
                       consensus_effects &Effects) {
  follower_progress *Replying =
      findReplyingFollower(State, storeFromWire(Message.follower),
                           fromWire(Message.term), Input, Effects);
  if (Replying == nullptr)
    return;
  follower_progress &Follower = *Replying;
  bool RepliesToPending = fromWire(Message.round) == Follower.PendingRound;
  recordRoundReply(Follower, fromWire(Message.round), Input.Now);
  std::uint64_t Index = fromWire(Message.match_index);
  if (Message.success)
    Follower.MatchIndex = std::max(Follower.MatchIndex, Index);
  if (RepliesToPending) {
    Follower.PendingRound = 0;
    Follower.NextIndex = Index + 1;
  }
  Follower.NextIndex = std::max(Follower.NextIndex, Follower.MatchIndex + 1);
  advanceCommitIndex(State, Input, Effects);
}

} // namespace teasellock
