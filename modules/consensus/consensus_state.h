/// The Raft protocol of one member of the control group, without input and
/// output.
///
/// The functions take the state and an event, such as a message or a tick of
/// the clock, and append their effects to consensus_effects. The user first
/// executes the disk operations in order, then calls handleLogSynced(), then
/// sends the messages: votes and acknowledgements must be durable before they
/// are sent. consensus_service is the user in production, simulated_group in
/// tests.
#pragma once

#include "core/time.h"
#include "modules/consensus/consensus_log.h"
#include "modules/consensus/log_store.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace teasellock {

/// Safety and liveness rules of the protocol. Always on in production; tests
/// disable single rules to show that they are needed.
struct consensus_rules {
  /// A member refuses to vote if it leads or has received a message of the
  /// leader within the election timeout.
  bool RefuseVotesWhileLeaderIsActive = true;
  /// An election without the wait after a start needs the replies of all
  /// voters; otherwise of a quorum.
  bool RequireAllFreshStarts = true;
  /// A candidate first asks the voters whether it could win, without a new
  /// term.
  bool PreVote = true;
  /// Only entries of the leader's own term are committed by counting copies.
  bool CommitOwnTermOnly = true;
  /// A membership differs from the previous one in at most one member.
  bool ChangeOneMemberAtATime = true;
  /// A leader changes the membership only after an entry of its own term is
  /// committed.
  bool RequireOwnCommitBeforeChange = true;
};

/// Heartbeat period and election timeout.
struct consensus_timing {
  duration HeartbeatPeriod = fromMilliseconds(100);
  /// The minimum election timeout; the maximum is twice that.
  duration ElectionTimeout = fromMilliseconds(500);
};

/// Size limits of messages.
struct message_limits {
  /// Bytes of entry data after which an append request is full. At least one
  /// entry is always sent.
  std::size_t AppendBytes = 1024 * 1024;
  /// Maximum bytes of a snapshot chunk.
  std::size_t SnapshotChunkBytes = 256 * 1024;
};

/// Time and randomness, passed in so that tests are reproducible.
struct consensus_input {
  time_point Now;
  /// A random number, for the jitter of election timeouts.
  std::uint64_t Random = 0;
};

enum class consensus_role { Follower, PreCandidate, Candidate, Leader };

/// What the leader knows about another member.
struct follower_progress {
  std::uint64_t MatchIndex = 0;
  std::uint64_t NextIndex = 1;
  /// The last entry known to be stored durably by the member is MatchIndex;
  /// NextIndex is the next entry to send. PendingRound is the round of the
  /// request with data that is not answered yet; zero if there is none.
  std::uint64_t PendingRound = 0;
  time_point PendingSentAt;
  /// The latest round that the member answered.
  std::uint64_t AnsweredRound = 0;
  /// Send times of the rounds that are not answered yet, by round.
  std::map<std::uint64_t, time_point> OpenRounds;
  /// Latest send time of a request that the member answered.
  time_point ConfirmedAt;
  /// When the last reply of the member arrived.
  time_point LastReceivedAt;
  /// The snapshot being sent, if any, and how many of its bytes have been
  /// acknowledged.
  std::shared_ptr<const log_snapshot> Snapshot;
  std::uint64_t SnapshotOffset = 0;
};

/// A snapshot whose chunks are being received.
struct incoming_snapshot {
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
  std::string Data;
};

/// A membership and the index of the entry that introduced it. It is in force
/// from then on, committed or not.
struct membership_record {
  std::uint64_t Index = 0;
  member_list Members;
};

/// The protocol state of one member.
struct consensus_state {
  store_id Self;
  consensus_timing Timing;
  consensus_rules Rules;
  message_limits Limits;
  hard_state HardState;
  consensus_log Log;
  /// The last entry that is durable in the local log.
  std::uint64_t SyncedIndex = 0;
  /// The last entry known to be committed.
  std::uint64_t CommitIndex = 0;
  /// The last entry applied to the state machine. Advanced by the user.
  std::uint64_t AppliedIndex = 0;
  /// The last local snapshot, if any.
  std::shared_ptr<const log_snapshot> Snapshot;
  /// The memberships in the log, oldest first. Never empty.
  std::vector<membership_record> Memberships = {membership_record{}};
  consensus_role Role = consensus_role::Follower;
  /// The leader of the current term; zero if it is unknown.
  store_id Leader;
  /// When the last message of a leader arrived.
  time_point LastLeaderMessageAt;
  /// When this store starts an election unless a leader contacts it before.
  time_point ElectionDeadline;
  time_point NextHeartbeatAt;
  /// The voters that granted their vote to this candidate.
  std::set<store_id> Votes;
  /// Random id of this process' start, not zero, until it follows a leader or
  /// leads; then zero.
  std::uint64_t FreshStart = 0;
  /// The starts of the voters that replied to this campaign and have followed
  /// no leader since.
  std::map<store_id, std::uint64_t> FreshStarts;
  /// The voters that would grant, or have granted, their vote on condition that
  /// all voters have just started.
  std::set<store_id> ConditionalVotes;
  /// This election is one without the wait after a start.
  bool SkipsStartWait = false;
  /// The other members, while this store leads.
  std::map<store_id, follower_progress> Followers;
  /// Number of the last request that was sent as leader.
  std::uint64_t Round = 0;
  time_point LeaderSince;
  /// The first entry of the term, which a new leader writes.
  std::uint64_t BarrierIndex = 0;
  incoming_snapshot IncomingSnapshot;
};

/// A message between members.
using consensus_message =
    std::variant<wire::vote_request, wire::vote_reply, wire::append_request,
                 wire::append_reply, wire::snapshot_request,
                 wire::snapshot_reply>;

struct outgoing_message {
  store_id To;
  consensus_message Message;
};

/// Appends entries to the log, replacing those from the first index on.
struct append_entries {
  /// The commit index when the entries were appended.
  std::uint64_t Commit = 0;
  std::vector<wire::log_entry> Entries;
};

/// Stores a snapshot received from the leader and replaces the local state by
/// it.
struct install_snapshot {
  std::shared_ptr<const log_snapshot> Snapshot;
  /// Set when the log conflicts with the snapshot or ends before it.
  bool DiscardLog = false;
};

using disk_operation =
    std::variant<hard_state, append_entries, install_snapshot>;

/// What the user has to do after a call.
struct consensus_effects {
  /// To be made durable in this order, before any message is sent.
  std::vector<disk_operation> Disk;
  std::vector<outgoing_message> Send;
};

/// Returns the state of a member after a start from its files.
consensus_state startConsensus(recovered_log Recovered,
                               const consensus_timing &Timing,
                               const consensus_input &Input);

/// Bootstraps a new group: this store is the only voter at first, the other
/// initial members become voters once they have caught up. Cluster is the
/// random id of the group, not zero. Throws error if this store belongs to a
/// group or has a log, or if the members are not valid or don't include it.
void initialiseGroup(consensus_state &State, member_list InitialMembers,
                     std::uint64_t Cluster, const consensus_input &Input,
                     consensus_effects &Effects);

/// Handles a message of another member. Throws error when the message violates
/// the protocol.
void handleMessage(consensus_state &State, const consensus_message &Message,
                   const consensus_input &Input, consensus_effects &Effects);

/// Sends heartbeats, starts elections and steps down when their time has come.
/// To be called at least four times in each heartbeat period.
void handleTick(consensus_state &State, const consensus_input &Input,
                consensus_effects &Effects);

/// To be called when all disk operations so far are durable. A leader then
/// counts its own copy towards the commit index and sends the new entries.
void handleLogSynced(consensus_state &State, const consensus_input &Input,
                     consensus_effects &Effects);

/// Leader only: appends a command and returns its index.
std::uint64_t appendCommand(consensus_state &State, std::string Command,
                            consensus_effects &Effects);

/// Sends a heartbeat to each follower now. Does nothing unless leader.
void startHeartbeatRound(consensus_state &State, const consensus_input &Input,
                         consensus_effects &Effects);

/// Returns the latest instant at which a quorum is known to have followed this
/// leader, or the clock's epoch if this store is not leader.
time_point leaderConfirmedAt(const consensus_state &State, time_point Now);

/// Removes the entries before a durable local snapshot from memory, but for
/// the last RetainedEntries, which followers may still need.
void compactLog(consensus_state &State,
                std::shared_ptr<const log_snapshot> Snapshot,
                std::uint64_t RetainedEntries);

/// Returns the membership of the last membership entry in the log, committed
/// or not. It is in force at this store.
const member_list &currentMembers(const consensus_state &State);

/// Returns the membership in force as of an entry.
const member_list &membersAt(const consensus_state &State, std::uint64_t Index);

/// Reports whether this store belongs to a group.
bool isInitialised(const consensus_state &State);

} // namespace teasellock
