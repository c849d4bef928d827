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
    Effects.Send.push_back({Member.Store, Request});
  }
}

/// Returns the candidate's own vote, which counts only while it is a voter.
/// Like that of any voter, it does not count while a leader may be active: a
/// store that answered one just before it restarted must not help to elect
/// another at once.
std::set<store_id> initialVotes(const consensus_state &State,
                                const consensus_input &Input) {
  if (!isVoter(State) || isLeaderActive(State, Input.Now))
    return {};
  return {State.Self};
}

void startElection(consensus_state &State, const consensus_input &Input,
                   consensus_effects &Effects) {
  State.Role = consensus_role::Candidate;
  State.HardState.Term += 1;
  State.HardState.VotedFor = State.Self;
  Effects.Disk.push_back(State.HardState);
  State.Votes = initialVotes(State, Input);
  requestVotes(State, false, Effects);
  if (State.Votes.size() >= quorumSize(currentMembers(State)))
    becomeLeader(State, Input, Effects);
}

} // namespace

void startCampaign(consensus_state &State, const consensus_input &Input,
                   consensus_effects &Effects) {
  resetElectionTimer(State, Input);
  State.Leader = store_id();
  State.Votes = initialVotes(State, Input);
  if (!State.Rules.PreVote ||
      State.Votes.size() >= quorumSize(currentMembers(State))) {
    startElection(State, Input, Effects);
    return;
  }
  State.Role = consensus_role::PreCandidate;
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
  bool LeaderActive = isLeaderActive(State, Input.Now);
  std::uint64_t Term = fromWire(Message.term);
  if (!Message.trial && !LeaderActive && Term > State.HardState.Term)
    stepDown(State, Term, Input, Effects);
  wire::vote_reply Reply;
  Reply.voter = toWire(State.Self);
  Reply.trial = Message.trial;
  Reply.granted =
      !LeaderActive && canVoteFor(State, Message) && isUpToDate(State, Message);
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
  if (!Message.granted && Term > State.HardState.Term) {
    stepDown(State, Term, Input, Effects);
    return;
  }
  auto ExpectedRole =
      Message.trial ? consensus_role::PreCandidate : consensus_role::Candidate;
  std::uint64_t ExpectedTerm = State.HardState.Term + (Message.trial ? 1 : 0);
  if (!Message.granted || !Voter->IsVoter || State.Role != ExpectedRole ||
      Term != ExpectedTerm)
    return;
  State.Votes.insert(Voter->Store);
  if (State.Votes.size() < quorumSize(currentMembers(State)))
    return;
  if (Message.trial)
    startElection(State, Input, Effects);
  else
    becomeLeader(State, Input, Effects);
}

} // namespace teasellock
