/// Functions shared by the source files that implement consensus_state.h. Not
/// for use outside of this module.
///
/// Wire fields are signed, as Thrift has no unsigned integers; toWire() and
/// fromWire() convert them without loss.
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

/// Reports whether this store is a voter of the current membership.
bool isVoter(const consensus_state &State);

/// Returns the smallest number of voters that is more than half of them.
std::size_t quorumSize(const member_list &Members);

/// Sets the election deadline to a random instant between one and two election
/// timeouts from now.
void resetElectionTimer(consensus_state &State, const consensus_input &Input);

/// Reports whether this store may start an election. A store whose removal is
/// not committed yet may: it can be the only one that holds the entry of its
/// removal, and without it no candidate could win.
bool canCampaign(const consensus_state &State);

/// Sets the deadline after which the pre-vote is repeated if it is not won.
void schedulePreVoteRetry(consensus_state &State, const consensus_input &Input);

/// Sets the deadline of the first pre-vote after a start.
void scheduleFirstPreVote(consensus_state &State, const consensus_input &Input);

/// Becomes a follower. Adopts Term if it is higher than the current one.
void stepDown(consensus_state &State, std::uint64_t Term,
              const consensus_input &Input, consensus_effects &Effects);

/// Appends an entry to the log in memory and to the pending disk operations.
void appendEntry(consensus_state &State, wire::log_entry Entry,
                 consensus_effects &Effects);

/// Returns an empty entry with the next index and the current term.
wire::log_entry nextEntry(const consensus_state &State,
                          wire::entry_kind::type Kind);

/// Removes all entries from Index on and the memberships they introduced.
void truncateLog(consensus_state &State, std::uint64_t Index);

/// Starts a pre-vote, or an election at once when pre-votes are disabled or
/// this store alone is a quorum.
void startCampaign(consensus_state &State, const consensus_input &Input,
                   consensus_effects &Effects);

/// Becomes leader of the current term and appends a barrier entry.
void becomeLeader(consensus_state &State, const consensus_input &Input,
                  consensus_effects &Effects);

/// Leader: sends each member the entries that it is missing, or an empty
/// heartbeat.
void sendHeartbeats(consensus_state &State, const consensus_input &Input,
                    consensus_effects &Effects);

/// Leader: commits the entries that a quorum has stored durably. Steps down
/// once its own removal is committed.
void advanceCommitIndex(consensus_state &State, const consensus_input &Input,
                        consensus_effects &Effects);

/// Leader: makes one non-voter that is marked for promotion a voter if it has
/// caught up.
void promoteCaughtUpMember(consensus_state &State, const consensus_input &Input,
                           consensus_effects &Effects);

/// Leader: adds and removes follower records to match the current membership.
void updateFollowers(consensus_state &State);

/// Follows the sender of an append or snapshot request. Returns false if its
/// term is older than the current one. Throws error if this store leads the
/// same term.
bool acceptLeader(consensus_state &State, std::uint64_t Term, store_id Leader,
                  std::uint64_t Cluster, const consensus_input &Input,
                  consensus_effects &Effects);

/// Leader: sends the next chunk of a snapshot to a follower that needs entries
/// which have been compacted away.
void sendSnapshotChunk(consensus_state &State, store_id To,
                       follower_progress &Follower,
                       const consensus_input &Input,
                       consensus_effects &Effects);

/// Replaces the local state by the snapshot that has been received completely.
void installReceivedSnapshot(consensus_state &State, member_list Members,
                             consensus_effects &Effects);

void handleVoteRequest(consensus_state &State,
                       const wire::vote_request &Message,
                       const consensus_input &Input,
                       consensus_effects &Effects);
void handleVoteReply(consensus_state &State, const wire::vote_reply &Message,
                     const consensus_input &Input, consensus_effects &Effects);
void handleAppendRequest(consensus_state &State,
                         const wire::append_request &Message,
                         const consensus_input &Input,
                         consensus_effects &Effects);
void handleAppendReply(consensus_state &State,
                       const wire::append_reply &Message,
                       const consensus_input &Input,
                       consensus_effects &Effects);
void handleSnapshotRequest(consensus_state &State,
                           const wire::snapshot_request &Message,
                           const consensus_input &Input,
                           consensus_effects &Effects);
void handleSnapshotReply(consensus_state &State,
                         const wire::snapshot_reply &Message,
                         const consensus_input &Input,
                         consensus_effects &Effects);

/// Returns the record of the follower that sent a reply of the given term, or
/// nullptr if the store is not a member or this store does not lead that term.
/// Steps down if the term is higher than the current one.
follower_progress *findReplyingFollower(consensus_state &State, store_id Store,
                                        std::uint64_t Term,
                                        const consensus_input &Input,
                                        consensus_effects &Effects);

} // namespace teasellock
