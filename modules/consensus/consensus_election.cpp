#include "modules/consensus/consensus_internal.h"

namespace teasellock {

namespace {

bool leaderIsHeard(const consensus_state &State, time_point Now) {
  if (!State.Rules.RefuseVotesWhileLeaderIsHeard)
    return false;
  return State.Role == consensus_role::Leader ||
         Now - State.LeaderHeardAt < State.Timing.ElectionTimeout;
}

bool isUpToDate(const consensus_state &State,
                const wire::vote_request &Message) {
  std::uint64_t LastTerm = fromWire(Message.last_term);
  if (LastTerm != State.Log.lastTerm())
    return LastTerm > State.Log.lastTerm();
  return fromWire(Message.last_index) >= State.Log.lastIndex();
}

bool mayVoteFor(const consensus_state &State,
                const wire::vote_request &Message) {
  std::uint64_t Term = fromWire(Message.term);
  if (Term != State.Promises.Term)
    return Term > State.Promises.Term;
  store_id VotedFor = State.Promises.VotedFor;
  return VotedFor == store_id() || VotedFor == storeFromWire(Message.candidate);
}

void requestVotes(consensus_state &State, bool Trial,
                  consensus_effects &Effects) {
  wire::vote_request Request;
  Request.term = toWire(State.Promises.Term + (Trial ? 1 : 0));
  Request.candidate = toWire(State.Self);
  Request.last_index = toWire(State.Log.lastIndex());
  Request.last_term = toWire(State.Log.lastTerm());
  Request.trial = Trial;
  Request.cluster = toWire(State.Promises.Cluster);
  for (const control_member &Member : currentMembers(State)) {
    if (!Member.Voter || Member.Store == State.Self)
      continue;
    Request.recipient = toWire(Member.Store);
    Effects.Send.push_back({Member.Store, Request});
  }
}

/// The own vote, which counts only while this store is a voter.
std::set<store_id> ownVote(const consensus_state &State) {
  if (!isVoter(State))
    return {};
  return {State.Self};
}

void startElection(consensus_state &State, const decision_input &Input,
                   consensus_effects &Effects) {
  State.Role = consensus_role::Candidate;
  State.Promises.Term += 1;
  State.Promises.VotedFor = State.Self;
  Effects.Disk.push_back(State.Promises);
  State.Votes = ownVote(State);
  requestVotes(State, false, Effects);
  if (State.Votes.size() >= quorumSize(currentMembers(State)))
    becomeLeader(State, Input, Effects);
}

} // namespace

void campaign(consensus_state &State, const decision_input &Input,
              consensus_effects &Effects) {
  postponeElection(State, Input);
  State.Leader = store_id();
  State.Votes = ownVote(State);
  if (!State.Rules.PreVote ||
      State.Votes.size() >= quorumSize(currentMembers(State))) {
    startElection(State, Input, Effects);
    return;
  }
  State.Role = consensus_role::PreCandidate;
  postponeTrial(State, Input);
  requestVotes(State, true, Effects);
}

void handleVoteRequest(consensus_state &State,
                       const wire::vote_request &Message,
                       const decision_input &Input,
                       consensus_effects &Effects) {
  // A store learns through the log that it is a member; before that its vote
  // could count for a membership it knows nothing of.
  if (findMember(currentMembers(State), State.Self) == nullptr)
    return;
  bool Heard = leaderIsHeard(State, Input.Now);
  std::uint64_t Term = fromWire(Message.term);
  if (!Message.trial && !Heard && Term > State.Promises.Term)
    stepDown(State, Term, Input, Effects);
  wire::vote_reply Reply;
  Reply.voter = toWire(State.Self);
  Reply.trial = Message.trial;
  Reply.granted =
      !Heard && mayVoteFor(State, Message) && isUpToDate(State, Message);
  if (Reply.granted && !Message.trial) {
    State.Promises.VotedFor = storeFromWire(Message.candidate);
    Effects.Disk.push_back(State.Promises);
    postponeElection(State, Input);
  }
  Reply.term = Reply.granted ? Message.term : toWire(State.Promises.Term);
  Effects.Send.push_back({storeFromWire(Message.candidate), Reply});
}

void handleVoteReply(consensus_state &State, const wire::vote_reply &Message,
                     const decision_input &Input, consensus_effects &Effects) {
  const control_member *Voter =
      findMember(currentMembers(State), storeFromWire(Message.voter));
  if (Voter == nullptr)
    return;
  std::uint64_t Term = fromWire(Message.term);
  if (!Message.granted && Term > State.Promises.Term) {
    stepDown(State, Term, Input, Effects);
    return;
  }
  auto Wanted =
      Message.trial ? consensus_role::PreCandidate : consensus_role::Candidate;
  std::uint64_t WantedTerm = State.Promises.Term + (Message.trial ? 1 : 0);
  if (!Message.granted || !Voter->Voter || State.Role != Wanted ||
      Term != WantedTerm)
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
