/// Steps shared by the sources of consensus_state.h.
#pragma once

#include "modules/consensus/consensus_state.h"

namespace teasellock {

inline std::int64_t toWire(std::uint64_t Number) {
  return static_cast<std::int64_t>(Number);
}

inline std::int64_t toWire(store_id Store) {
  return static_cast<std::int64_t>(Store.Value);
}

inline std::uint64_t fromWire(std::int64_t Number) {
  return static_cast<std::uint64_t>(Number);
}

inline store_id storeFromWire(std::int64_t Number) {
  return store_id(fromWire(Number));
}

/// Whether this store votes in the membership in force.
bool isVoter(const consensus_state &State);

/// More than half of the voters.
std::size_t quorumSize(const member_list &Members);

/// Sets the next election to a random point after one election timeout.
void postponeElection(consensus_state &State, const decision_input &Input);

/// Whether this store may become leader. One whose removal is not committed yet
/// may be the only one that holds it: without it nobody could be elected.
bool mayCampaign(const consensus_state &State);

/// Sets when the next trial election is held if this one is not won.
void postponeTrial(consensus_state &State, const decision_input &Input);

/// Sets the first trial election after a start.
void scheduleFirstTrial(consensus_state &State, const decision_input &Input);

/// Becomes a follower, in a newer term if Term is one.
void stepDown(consensus_state &State, std::uint64_t Term,
              const decision_input &Input, consensus_effects &Effects);

/// Appends to the log in memory and to the disk operations.
void appendEntry(consensus_state &State, wire::log_entry Entry,
                 consensus_effects &Effects);

/// The entry after the last, in the own term.
wire::log_entry nextEntry(const consensus_state &State,
                          wire::entry_kind::type Kind);

/// Drops entries and the memberships they brought.
void truncateLog(consensus_state &State, std::uint64_t Index);

/// Starts an election, or asks whether it could be won.
void campaign(consensus_state &State, const decision_input &Input,
              consensus_effects &Effects);

void becomeLeader(consensus_state &State, const decision_input &Input,
                  consensus_effects &Effects);

/// Leader: sends to every member what it lacks, or an empty heartbeat.
void sendHeartbeats(consensus_state &State, const decision_input &Input,
                    consensus_effects &Effects);

/// Leader: commits what a quorum holds.
void advanceCommit(consensus_state &State, const decision_input &Input,
                   consensus_effects &Effects);

/// Leader: makes the next founder or replacement a voter if it has caught up.
void promoteCaughtUp(consensus_state &State, const decision_input &Input,
                     consensus_effects &Effects);

/// Leader: starts and ends the records of followers as the membership says.
void trackFollowers(consensus_state &State);

/// Follows the sender of an append or snapshot. False if its term is over.
bool acceptLeader(consensus_state &State, std::uint64_t Term, store_id Leader,
                  std::uint64_t Cluster, const decision_input &Input,
                  consensus_effects &Effects);

/// Leader: sends the next part of a snapshot to a follower that needs entries
/// which are not held any more.
void sendSnapshotPart(consensus_state &State, store_id To,
                      follower_progress &Follower, const decision_input &Input,
                      consensus_effects &Effects);

/// Replaces the own state by the snapshot that has arrived in parts.
void installAssembly(consensus_state &State, member_list Members,
                     consensus_effects &Effects);

void handleVoteRequest(consensus_state &State,
                       const wire::vote_request &Message,
                       const decision_input &Input, consensus_effects &Effects);
void handleVoteReply(consensus_state &State, const wire::vote_reply &Message,
                     const decision_input &Input, consensus_effects &Effects);
void handleAppendRequest(consensus_state &State,
                         const wire::append_request &Message,
                         const decision_input &Input,
                         consensus_effects &Effects);
void handleAppendReply(consensus_state &State,
                       const wire::append_reply &Message,
                       const decision_input &Input, consensus_effects &Effects);
void handleSnapshotRequest(consensus_state &State,
                           const wire::snapshot_request &Message,
                           const decision_input &Input,
                           consensus_effects &Effects);
void handleSnapshotReply(consensus_state &State,
                         const wire::snapshot_reply &Message,
                         const decision_input &Input,
                         consensus_effects &Effects);

/// The follower whose reply of a term counts for this leader. Null when the
/// store is no member, this is no leader of that term, or the term is higher;
/// then this member steps down.
follower_progress *answeringFollower(consensus_state &State, store_id Store,
                                     std::uint64_t Term,
                                     const decision_input &Input,
                                     consensus_effects &Effects);

} // namespace teasellock
