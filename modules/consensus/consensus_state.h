/// Decisions of one member of the control group.
///
/// The functions take the state, a message or the passing of time, and append
/// effects. Whoever drives them first carries out the disk operations in
/// order, then calls logSynced(), then sends the messages: nothing is promised
/// before it is durable.
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

/// Rules that tests switch off to show that they are needed.
struct consensus_rules {
  /// A vote is refused while a live leader is heard.
  bool RefuseVotesWhileLeaderIsHeard = true;
  /// A candidate first asks whether it could win.
  bool PreVote = true;
  /// Only entries of the leader's own term are committed by counting.
  bool CommitOwnTermOnly = true;
  /// A membership differs from the one before in at most one member.
  bool ChangeOneMemberAtATime = true;
  /// No membership change before an entry of the own term is committed.
  bool ChangeAfterOwnCommit = true;
};

/// How long members wait for each other.
struct consensus_timing {
  duration HeartbeatPeriod = fromMilliseconds(100);
  /// The least election timeout; the most is twice that.
  duration ElectionTimeout = fromMilliseconds(500);
};

/// How much goes into one message.
struct message_limits {
  /// Bytes of commands in one append; one entry is always sent.
  std::size_t AppendBytes = 1024 * 1024;
  /// Bytes of a part of a snapshot.
  std::size_t SnapshotPartBytes = 256 * 1024;
};

/// What a decision gets from outside.
struct decision_input {
  time_point Now;
  /// Spreads election timeouts.
  std::uint64_t Random = 0;
};

enum class consensus_role { Follower, PreCandidate, Candidate, Leader };

/// What the leader knows of another member.
struct follower_progress {
  std::uint64_t Match = 0;
  std::uint64_t Next = 1;
  /// The round of the append that is not answered yet; zero for none.
  std::uint64_t PendingRound = 0;
  time_point PendingSince;
  /// Send times of rounds that are not answered yet.
  std::map<std::uint64_t, time_point> Rounds;
  /// Latest send time of a request that the member answered.
  time_point ConfirmedAt;
  time_point LastHeard;
  /// The snapshot being sent, if any, and how much of it has arrived.
  std::shared_ptr<const log_snapshot> Snapshot;
  std::uint64_t SnapshotOffset = 0;
};

/// The parts of a snapshot that arrived so far.
struct snapshot_assembly {
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
  std::string Data;
};

/// A membership and the entry from which it holds.
struct membership_record {
  std::uint64_t Index = 0;
  member_list Members;
};

/// One member's view of the group.
struct consensus_state {
  store_id Self;
  consensus_timing Timing;
  consensus_rules Rules;
  message_limits Limits;
  store_promises Promises;
  consensus_log Log;
  /// The last entry that is durable here.
  std::uint64_t SyncedIndex = 0;
  std::uint64_t CommitIndex = 0;
  std::uint64_t AppliedIndex = 0;
  std::shared_ptr<const log_snapshot> Snapshot;
  /// The memberships of the log, oldest first. Never empty.
  std::vector<membership_record> Memberships = {membership_record{}};
  consensus_role Role = consensus_role::Follower;
  /// Zero when unknown.
  store_id Leader;
  time_point LeaderHeardAt;
  time_point ElectionDue;
  time_point HeartbeatDue;
  std::set<store_id> Votes;
  std::map<store_id, follower_progress> Followers;
  std::uint64_t Round = 0;
  time_point LeaderSince;
  /// The entry a new leader writes first.
  std::uint64_t BarrierIndex = 0;
  snapshot_assembly Assembly;
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

struct append_entries {
  /// What was committed before these entries.
  std::uint64_t Commit = 0;
  std::vector<wire::log_entry> Entries;
};

/// A snapshot of the leader that replaces the own state.
struct install_snapshot {
  std::shared_ptr<const log_snapshot> Snapshot;
  bool DiscardLog = false;
};

using disk_operation =
    std::variant<store_promises, append_entries, install_snapshot>;

struct consensus_effects {
  /// To be made durable in this order, before anything is sent.
  std::vector<disk_operation> Disk;
  std::vector<outgoing_message> Send;
};

/// The state of a member after a start from its files.
consensus_state startConsensus(recovered_log Recovered,
                               const consensus_timing &Timing,
                               const decision_input &Input);

/// First start of a deployment: this store alone votes, the other founders
/// become voters once they have caught up. Throws error if there is any state.
void foundGroup(consensus_state &State, member_list Founders,
                std::uint64_t Cluster, const decision_input &Input,
                consensus_effects &Effects);

/// Handles a message of another member. Throws error when it breaks the
/// protocol.
void handleMessage(consensus_state &State, const consensus_message &Message,
                   const decision_input &Input, consensus_effects &Effects);

/// Does what is due. To be called at least every quarter of a heartbeat.
void passTime(consensus_state &State, const decision_input &Input,
              consensus_effects &Effects);

/// All disk operations so far are done: counts the own copy and sends what
/// waits.
void logSynced(consensus_state &State, const decision_input &Input,
               consensus_effects &Effects);

/// Leader only: appends a command and returns its index.
std::uint64_t appendCommand(consensus_state &State, std::string Command,
                            consensus_effects &Effects);

/// Leader only: starts a round of heartbeats now.
void startRound(consensus_state &State, const decision_input &Input,
                consensus_effects &Effects);

/// The latest instant at which a quorum is known to have still followed this
/// leader. The clock's origin when it is not leader.
time_point leaderConfirmedAt(const consensus_state &State, time_point Now);

/// A snapshot of the own state is durable: forgets older entries but for some
/// that followers may still need.
void compactLog(consensus_state &State,
                std::shared_ptr<const log_snapshot> Snapshot,
                std::uint64_t KeptEntries);

/// The membership in force here.
const member_list &currentMembers(const consensus_state &State);

/// The membership as of an entry.
const member_list &membersAt(const consensus_state &State, std::uint64_t Index);

/// Whether this store belongs to a group.
bool isInitialised(const consensus_state &State);

} // namespace teasellock
