#include "modules/consensus/consensus_internal.h"

namespace teasellock {

namespace {

bool isLeaderActive(const consensus_state &State, time_point Now) {
  if (!State.Rules.RefuseVotesWhileLeaderIsActive)
    return false;
  return State.Role == consensus_role::Leader ||
         Now - State.LastLeaderMessageAt < State.Timing.ElectionTimeout;
}

bool isUpToDate(const consensus_state &State,
                const wire::vote_request &Message) {
  std::uint64_t LastTerm = fromWire(Message.last_term);
  if (LastTerm != State.Log.lastTerm())
    return LastTerm > State.Log.lastTerm();
  return fromWire(Message.last_index) >= State.Log.lastIndex();
}

bool canVoteFor(const consensus_state &State,
                const wire::vote_request &Message) {
  std::uint64_t Term = fromWire(Message.term);
  if (Term != State.HardState.Term)
    return Term > State.HardState.Term;
  store_id VotedFor = State.HardState.VotedFor;
  return VotedFor == store_id() || VotedFor == storeFromWire(Message.candidate);
}

/// Reports whether this voter may vote although a leader may have been active
/// just before its start: the candidate names this process' start, which it can
/// only know from the pre-vote, and no leader has been followed since.
bool maySkipStartWait(const consensus_state &State,
                      const wire::vote_request &Message) {
  return Message.__isset.known_start && State.FreshStart != 0 &&
         fromWire(Message.known_start) == State.FreshStart;
}

/// Returns the voters of every membership that may be in force, so that a
/// leader is among them.
std::set<store_id> possibleVoters(const consensus_state &State) {
  std::set<store_id> Voters;
  auto Add = [&](const member_list &Members) {
    for (const control_member &Member : Members)
      if (Member.IsVoter)
        Voters.insert(Member.Store);
  };
  Add(membersAt(State, State.CommitIndex));
  for (const membership_record &Record : State.Memberships)
    if (Record.Index > State.CommitIndex)
      Add(Record.Members);
  return Voters;
}

/// Reports whether all voters have replied to this pre-vote or election that
/// they have followed no leader and have not led since their start.
///
/// An election that all voters confirm in this way may be won without the wait
/// after a start. A store that restarts counts its start as a message of a
/// leader, because a leader that it answered just before acts on that answer
/// for half an election timeout without asking again. Let L be another process
/// that leads when this candidate wins, and that has committed an entry of its
/// term. L is a voter of a membership that this candidate has: committed
/// memberships are in the log of every candidate that can win, and a leader
/// that is no voter any more steps down as soon as that is committed. So L
/// replied to this election that it had not led since its start, and became
/// leader after that reply. The election began after the pre-vote, in which
/// every voter had named its start, and a voter's vote counts only if its
/// process is still the same. So every voter's process had started before L
/// led. The quorum that answered L and the quorum of this election have a voter
/// in common. Had it answered L before it voted, it would have followed a
/// leader since its start and kept to the usual wait. If it answered L after it
/// voted, L's term is the later one.
bool haveAllJustStarted(const consensus_state &State) {
  if (State.FreshStart == 0)
    return false;
  std::size_t Count = 0;
  auto Voters = possibleVoters(State);
  for (store_id Voter : Voters)
    Count += Voter == State.Self || State.FreshStarts.contains(Voter);
  return State.Rules.RequireAllFreshStarts
             ? Count == Voters.size()
             : Count >= quorumSize(currentMembers(State));
}

/// Reports whether a quorum has voted without a condition.
bool hasPlainQuorum(const consensus_state &State) {
  return State.Votes.size() >= quorumSize(currentMembers(State));
}

/// Reports whether the candidate has won.
bool hasWon(const consensus_state &State) {
  if (hasPlainQuorum(State))
    return true;
  bool SkipsWait =
      State.Role == consensus_role::PreCandidate || State.SkipsStartWait;
  std::set<store_id> All = State.Votes;
  All.insert(State.ConditionalVotes.begin(), State.ConditionalVotes.end());
  return SkipsWait && All.size() >= quorumSize(currentMembers(State)) &&
         haveAllJustStarted(State);
}

void requestVotes(consensus_state &State, bool IsPreVote,
                  consensus_effects &Effects) {
  wire::vote_request Request;
  Request.term = toWire(State.HardState.Term + (IsPreVote ? 1 : 0));
  Request.candidate = toWire(State.Self);
  Request.last_index = toWire(State.Log.lastIndex());
  Request.last_term = toWire(State.Log.lastTerm());
  Request.trial = IsPreVote;
  Request.cluster = toWire(State.HardState.Cluster);
  for (const control_member &Member : currentMembers(State)) {
    if (!Member.IsVoter || Member.Store == State.Self)
      continue;
    Request.recipient = toWire(Member.Store);
    auto Start = State.FreshStarts.find(Member.Store);
    Request.__isset.known_start = false;
    if (!IsPreVote && State.SkipsStartWait && Start != State.FreshStarts.end())
      Request.__set_known_start(toWire(Start->second));
    Effects.Send.push_back({Member.Store, Request});
  }
}

/// Starts counting votes with the candidate's own, which counts only while it
/// is a voter. Like that of any voter, it is conditional while a leader may
/// have been active just before its start.
void countOwnVote(consensus_state &State, const consensus_input &Input) {
  State.Votes.clear();
  State.ConditionalVotes.clear();
  if (!isVoter(State))
    return;
  if (isLeaderActive(State, Input.Now))
    State.ConditionalVotes.insert(State.Self);
  else
    State.Votes.insert(State.Self);
}

/// Reports whether this store is a candidate in a pre-vote too and goes first:
/// stores that start together would otherwise each vote for themselves. Applies
/// to conditional votes only, so that the usual election stays possible.
bool isPreferred(const consensus_state &State,
                 const wire::vote_request &Message) {
  return Message.trial && State.Role == consensus_role::PreCandidate &&
         fromWire(Message.last_index) == State.Log.lastIndex() &&
         storeFromWire(Message.candidate) < State.Self;
}

void startElection(consensus_state &State, bool SkipsStartWait,
                   const consensus_input &Input, consensus_effects &Effects) {
  State.Role = consensus_role::Candidate;
  State.HardState.Term += 1;
  State.HardState.VotedFor = State.Self;
  Effects.Disk.push_back(State.HardState);
  // Only an election whose pre-vote was won by conditional votes skips the
  // wait; its voters confirm their starts in their replies.
  State.SkipsStartWait = SkipsStartWait;
  countOwnVote(State, Input);
  requestVotes(State, false, Effects);
  State.FreshStarts.clear();
  if (hasWon(State))
    becomeLeader(State, Input, Effects);
}

} // namespace

void startCampaign(consensus_state &State, const consensus_input &Input,
                   consensus_effects &Effects) {
  resetElectionTimer(State, Input);
  State.Leader = store_id();
  countOwnVote(State, Input);
  State.FreshStarts.clear();
  State.Role = consensus_role::PreCandidate;
  if (!State.Rules.PreVote || hasWon(State)) {
    startElection(State, !hasPlainQuorum(State), Input, Effects);
    return;
  }
  schedulePreVoteRetry(State, Input);
  requestVotes(State, true, Effects);
}

void handleVoteRequest(consensus_state &State,
                       const wire::vote_request &Message,
                       const consensus_input &Input,
                       consensus_effects &Effects) {
  // A store learns from the log that it is a member. Before that, its vote
  // could count for a membership that it doesn't know.
  if (findMember(currentMembers(State), State.Self) == nullptr)
    return;
  bool SkipsWait = maySkipStartWait(State, Message);
  bool LeaderActive = isLeaderActive(State, Input.Now) && !SkipsWait;
  std::uint64_t Term = fromWire(Message.term);
  if (!Message.trial && !LeaderActive && Term > State.HardState.Term)
    stepDown(State, Term, Input, Effects);
  wire::vote_reply Reply;
  Reply.voter = toWire(State.Self);
  Reply.trial = Message.trial;
  bool WouldGrant = canVoteFor(State, Message) && isUpToDate(State, Message);
  Reply.granted = !LeaderActive && WouldGrant;
  if (State.FreshStart != 0) {
    Reply.__set_fresh_start(toWire(State.FreshStart));
    Reply.__set_waits_after_start(WouldGrant &&
                                  isLeaderActive(State, Input.Now) &&
                                  !isPreferred(State, Message));
    Reply.__set_asked_term(Message.term);
  }
  if (Reply.granted && !Message.trial) {
    State.HardState.VotedFor = storeFromWire(Message.candidate);
    Effects.Disk.push_back(State.HardState);
    resetElectionTimer(State, Input);
  }
  Reply.term = Reply.granted ? Message.term : toWire(State.HardState.Term);
  Effects.Send.push_back({storeFromWire(Message.candidate), Reply});
}

void handleVoteReply(consensus_state &State, const wire::vote_reply &Message,
                     const consensus_input &Input, consensus_effects &Effects) {
  const control_member *Voter =
      findMember(currentMembers(State), storeFromWire(Message.voter));
  if (Voter == nullptr)
    return;
  std::uint64_t Term = fromWire(Message.term);
  bool IsConditional = Message.trial && Message.waits_after_start;
  if (!Message.granted && !IsConditional && Term > State.HardState.Term) {
    stepDown(State, Term, Input, Effects);
    return;
  }
  auto ExpectedRole =
      Message.trial ? consensus_role::PreCandidate : consensus_role::Candidate;
  std::uint64_t ExpectedTerm = State.HardState.Term + (Message.trial ? 1 : 0);
  if (State.Role != ExpectedRole)
    return;
  bool IsToThisRequest = fromWire(Message.asked_term) == ExpectedTerm;
  if (IsToThisRequest && Message.__isset.fresh_start)
    State.FreshStarts[Voter->Store] = fromWire(Message.fresh_start);
  if (Voter->IsVoter && IsToThisRequest && Message.waits_after_start &&
      (Message.trial || Message.granted))
    State.ConditionalVotes.insert(Voter->Store);
  else if (Voter->IsVoter && Message.granted && Term == ExpectedTerm)
    State.Votes.insert(Voter->Store);
  if (!hasWon(State))
    return;
  bool SkipsStartWait = State.Votes.size() < quorumSize(currentMembers(State));
  if (Message.trial)
    startElection(State, SkipsStartWait, Input, Effects);
  else
    becomeLeader(State, Input, Effects);
}

} // namespace teasellock
