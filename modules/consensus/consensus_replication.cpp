#include "modules/consensus/consensus_internal.h"

#include "core/error.h"
#include "modules/consensus/wire_members.h"

#include <algorithm>

namespace teasellock {

namespace {

/// An append that is not answered for so many heartbeats is sent again.
constexpr int ResendAfterHeartbeats = 4;
/// Rounds whose send time is remembered for each follower.
constexpr std::size_t MostOpenRounds = 256;

wire::append_request makeAppend(const consensus_state &State, store_id To,
                                std::uint64_t Previous) {
  wire::append_request Request;
  Request.term = toWire(State.Promises.Term);
  Request.leader = toWire(State.Self);
  Request.previous_index = toWire(Previous);
  Request.previous_term =
      toWire(Previous == 0 ? 0 : State.Log.termAt(Previous));
  Request.commit = toWire(State.CommitIndex);
  Request.round = toWire(State.Round);
  Request.cluster = toWire(State.Promises.Cluster);
  Request.recipient = toWire(To);
  return Request;
}

void noteRound(consensus_state &State, follower_progress &Follower,
               time_point Now) {
  Follower.Rounds[State.Round] = Now;
  if (Follower.Rounds.size() > MostOpenRounds)
    Follower.Rounds.erase(Follower.Rounds.begin());
}

/// Sends what the follower lacks.
void sendEntries(consensus_state &State, store_id To,
                 follower_progress &Follower, const decision_input &Input,
                 consensus_effects &Effects) {
  if (Follower.Snapshot || !State.Log.knows(Follower.Next - 1)) {
    sendSnapshotPart(State, To, Follower, Input, Effects);
    return;
  }
  State.Round += 1;
  wire::append_request Request = makeAppend(State, To, Follower.Next - 1);
  Request.entries = State.Log.slice(Follower.Next, State.Limits.AppendBytes);
  noteRound(State, Follower, Input.Now);
  Follower.PendingRound = State.Round;
  Follower.PendingSince = Input.Now;
  Effects.Send.push_back({To, std::move(Request)});
}

/// Sends an append without entries that can't conflict.
void sendEmpty(consensus_state &State, store_id To, follower_progress &Follower,
               const decision_input &Input, consensus_effects &Effects) {
  State.Round += 1;
  std::uint64_t Previous = State.Log.knows(Follower.Match) ? Follower.Match : 0;
  noteRound(State, Follower, Input.Now);
  Effects.Send.push_back({To, makeAppend(State, To, Previous)});
}

bool mayResend(const consensus_state &State, const follower_progress &Follower,
               time_point Now) {
  return Follower.PendingRound == 0 ||
         Now - Follower.PendingSince >=
             State.Timing.HeartbeatPeriod * ResendAfterHeartbeats;
}

/// Sends entries to every follower that lacks some and has answered.
void sendToIdleFollowers(consensus_state &State, const decision_input &Input,
                         consensus_effects &Effects) {
  for (auto &[Store, Follower] : State.Followers)
    if (Follower.PendingRound == 0 && Follower.Next <= State.SyncedIndex)
      sendEntries(State, Store, Follower, Input, Effects);
}

void confirmRound(follower_progress &Follower, std::uint64_t Round,
                  time_point Now) {
  Follower.LastHeard = Now;
  auto Found = Follower.Rounds.find(Round);
  if (Found == Follower.Rounds.end())
    return;
  Follower.ConfirmedAt = std::max(Follower.ConfirmedAt, Found->second);
  Follower.Rounds.erase(Found);
}

/// Whether the log holds the entry that the request builds on.
bool matchesPrevious(const consensus_state &State,
                     const wire::append_request &Message) {
  std::uint64_t Previous = fromWire(Message.previous_index);
  if (Previous <= std::max(State.Log.baseIndex(), State.CommitIndex))
    return true;
  return Previous <= State.Log.lastIndex() &&
         State.Log.termAt(Previous) == fromWire(Message.previous_term);
}

/// Where the leader should go on from after a conflict: before the first entry
/// of the conflicting term.
std::uint64_t conflictHint(const consensus_state &State,
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
                  std::uint64_t Cluster, const decision_input &Input,
                  consensus_effects &Effects) {
  if (Term < State.Promises.Term)
    return false;
  if (Term == State.Promises.Term && State.Role == consensus_role::Leader)
    throw error("consensus.append", toString(Leader),
                "a second leader in term " + std::to_string(Term));
  if (Term > State.Promises.Term || State.Role != consensus_role::Follower)
    stepDown(State, Term, Input, Effects);
  if (State.Promises.Cluster == 0) {
    State.Promises.Cluster = Cluster;
    Effects.Disk.push_back(State.Promises);
  }
  State.Leader = Leader;
  State.LeaderHeardAt = Input.Now;
  postponeElection(State, Input);
  return true;
}

void trackFollowers(consensus_state &State) {
  std::map<store_id, follower_progress> Tracked;
  for (const control_member &Member : currentMembers(State)) {
    if (Member.Store == State.Self)
      continue;
    auto Known = State.Followers.find(Member.Store);
    if (Known != State.Followers.end())
      Tracked[Member.Store] = std::move(Known->second);
    else
      Tracked[Member.Store].Next = State.Log.lastIndex() + 1;
  }
  State.Followers = std::move(Tracked);
}

void becomeLeader(consensus_state &State, const decision_input &Input,
                  consensus_effects &Effects) {
  State.Role = consensus_role::Leader;
  State.Leader = State.Self;
  State.LeaderSince = Input.Now;
  State.Votes.clear();
  State.Followers.clear();
  trackFollowers(State);
  appendEntry(State, nextEntry(State, wire::entry_kind::barrier), Effects);
  State.BarrierIndex = State.Log.lastIndex();
  sendHeartbeats(State, Input, Effects);
}

void sendHeartbeats(consensus_state &State, const decision_input &Input,
                    consensus_effects &Effects) {
  State.HeartbeatDue = Input.Now + State.Timing.HeartbeatPeriod;
  trackFollowers(State);
  for (auto &[Store, Follower] : State.Followers) {
    // A newcomer may need entries although the leader has no new ones.
    bool Lacks = Follower.Match < State.Log.lastIndex() || Follower.Snapshot;
    if (Lacks && mayResend(State, Follower, Input.Now))
      sendEntries(State, Store, Follower, Input, Effects);
    else
      sendEmpty(State, Store, Follower, Input, Effects);
  }
}

void startRound(consensus_state &State, const decision_input &Input,
                consensus_effects &Effects) {
  if (State.Role != consensus_role::Leader)
    return;
  for (auto &[Store, Follower] : State.Followers)
    sendEmpty(State, Store, Follower, Input, Effects);
}

time_point leaderConfirmedAt(const consensus_state &State, time_point Now) {
  if (State.Role != consensus_role::Leader)
    return {};
  std::vector<time_point> Times;
  for (const control_member &Member : currentMembers(State)) {
    if (!Member.Voter)
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

void advanceCommit(consensus_state &State, const decision_input &Input,
                   consensus_effects &Effects) {
  trackFollowers(State);
  std::vector<std::uint64_t> Copies;
  for (const control_member &Member : currentMembers(State))
    if (Member.Voter)
      Copies.push_back(Member.Store == State.Self
                           ? State.SyncedIndex
                           : State.Followers[Member.Store].Match);
  std::sort(Copies.rbegin(), Copies.rend());
  std::size_t Quorum = quorumSize(currentMembers(State));
  std::uint64_t Held = Copies.size() < Quorum ? 0 : Copies[Quorum - 1];
  bool OwnTerm =
      Held > State.CommitIndex && State.Log.termAt(Held) == State.Promises.Term;
  if (Held > State.CommitIndex && (OwnTerm || !State.Rules.CommitOwnTermOnly))
    State.CommitIndex = Held;
  sendToIdleFollowers(State, Input, Effects);
  bool Removed = findMember(currentMembers(State), State.Self) == nullptr;
  if (Removed && State.CommitIndex >= State.Memberships.back().Index)
    stepDown(State, State.Promises.Term, Input, Effects);
}

void handleAppendRequest(consensus_state &State,
                         const wire::append_request &Message,
                         const decision_input &Input,
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
      std::uint64_t Match = Previous + Message.entries.size();
      Reply.match_index = toWire(Match);
      State.CommitIndex = std::max(State.CommitIndex,
                                   std::min(fromWire(Message.commit), Match));
    } else {
      Reply.match_index = toWire(conflictHint(State, Previous));
    }
  }
  Reply.term = toWire(State.Promises.Term);
  Effects.Send.push_back({Leader, Reply});
}

follower_progress *answeringFollower(consensus_state &State, store_id Store,
                                     std::uint64_t Term,
                                     const decision_input &Input,
                                     consensus_effects &Effects) {
  if (findMember(currentMembers(State), Store) == nullptr)
    return nullptr;
  if (Term > State.Promises.Term) {
    stepDown(State, Term, Input, Effects);
    return nullptr;
  }
  auto Found = State.Followers.find(Store);
  if (State.Role != consensus_role::Leader || Found == State.Followers.end() ||
      Term != State.Promises.Term)
    return nullptr;
  return &Found->second;
}

void handleAppendReply(consensus_state &State,
                       const wire::append_reply &Message,
                       const decision_input &Input,
                       consensus_effects &Effects) {
  follower_progress *Answering =
      answeringFollower(State, storeFromWire(Message.follower),
                        fromWire(Message.term), Input, Effects);
  if (Answering == nullptr)
    return;
  follower_progress &Follower = *Answering;
  bool AnswersPending = fromWire(Message.round) == Follower.PendingRound;
  confirmRound(Follower, fromWire(Message.round), Input.Now);
  std::uint64_t Index = fromWire(Message.match_index);
  if (Message.success)
    Follower.Match = std::max(Follower.Match, Index);
  if (AnswersPending) {
    Follower.PendingRound = 0;
    Follower.Next = Index + 1;
  }
  Follower.Next = std::max(Follower.Next, Follower.Match + 1);
  advanceCommit(State, Input, Effects);
}

} // namespace teasellock
