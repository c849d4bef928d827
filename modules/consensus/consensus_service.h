/// The replicated log of the control group, with Raft as consensus protocol
/// among a few VMs that have a disk.
///
/// The protocol is in consensus_state.h as pure functions, the files are in
/// log_store.h. The service here connects both to links and timers. It runs on
/// the event loop of the process and is not thread-safe.
#pragma once

#include "modules/consensus/control_member.h"
#include "modules/link/link_hub.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace teasellock {

/// Callbacks into the replicated state machine. All are called on the event
/// loop.
struct state_machine_hooks {
  /// Applies a committed command. Called once for each command, in the order
  /// of the log. The revision is the command's log index.
  std::function<void(revision, const std::string &Command)> Apply;
  /// Returns the serialised state as of the last applied command.
  std::function<std::string()> Snapshot;
  /// Replaces the whole state by a snapshot as of the revision.
  std::function<void(revision, const std::string &Snapshot)> Restore;
  /// Called when this VM has become leader and its barrier entry, the first
  /// entry of the term, is applied, and when it is no longer leader.
  std::function<void(bool IsLeading)> LeadershipChanged;
  /// Called when the disk or a callback has failed: this member ignores the
  /// group until the process has been restarted. May be empty.
  std::function<void()> LogFailed;
};

/// The outcome of a proposal.
enum class proposal_outcome {
  Committed,
  /// The proposal is not in the log and never will be.
  Rejected,
  /// Leadership was lost; another leader may still commit the proposal.
  Unknown,
};

/// The progress of the replacement of a member.
struct replacement_progress {
  bool IsDone = false;
  /// The current step, for the operator.
  std::string Step;
};

/// Timeouts of the protocol and thresholds of log compaction.
struct consensus_settings {
  /// Path of the folder with the member's files. Created if missing.
  std::string DataFolder;
  duration HeartbeatPeriod = fromMilliseconds(100);
  /// The minimum election timeout; the maximum is twice that.
  duration ElectionTimeout = fromMilliseconds(500);
  /// Number of applied entries after which a snapshot is taken.
  std::uint64_t MaxEntriesBeforeSnapshot = 2000;
  /// Bytes of entry data after which a snapshot is taken, whatever the number
  /// of entries: an eighth of the smallest disk of a control VM.
  std::size_t MaxBytesBeforeSnapshot = 8 * 1024 * 1024;
};

/// One member of the control group.
class consensus_service {
public:
  /// Opens or creates the data folder and recovers its content. Throws error
  /// when the files are damaged or incomplete, or when another process uses
  /// the folder.
  consensus_service(daemon_context &Context, link_hub &Hub,
                    consensus_settings Settings, state_machine_hooks Hooks);
  ~consensus_service();

  /// Restores the state machine from the last snapshot and starts to handle
  /// messages and timers.
  void start();

  /// Bootstraps a new group on the first start of a deployment. This store is
  /// the only voter at first; the other members become voters once they have
  /// caught up. Members must include this store. Throws error if this store
  /// belongs to a group already or the members are not valid.
  void initialise(const std::vector<control_member> &Members);

  /// Proposes a command. The callback is called once, with the log index of
  /// the command unless this store is not the leader. Commands proposed in one
  /// turn of the event loop are written with one sync.
  void propose(std::string Command,
               std::function<void(proposal_outcome, revision)> Callback);

  /// Proposes a membership that differs from the current one in one member.
  /// Throws error when the change is not allowed now; see
  /// membership_change.h.
  void changeMembers(const std::vector<control_member> &Members,
                     std::function<void(proposal_outcome, revision)> Callback);

  /// Advances the replacement of member Old by New: proposes the next step if
  /// it is due, and returns the progress. To be called repeatedly until Done.
  /// Throws error when this store is not the leader or the step is rejected.
  replacement_progress replaceMember(store_id Old, const control_member &New);

  /// Makes this store the only member of a new group, for when the majority is
  /// permanently lost. The other members must be wiped before they join again.
  /// Returns a description of the possible data loss for the operator. Throws
  /// error while the group has an active leader.
  std::string forceSingleMember();

  /// Returns the latest instant at which a quorum is known to have followed
  /// this leader, or the clock's epoch if this store is not leader. No other
  /// leader existed before that instant since this one was elected.
  time_point leaderConfirmedAt() const;

  /// Starts a heartbeat round to verify that this store is still the leader.
  /// The callback is called once: with true when a quorum has replied to a
  /// round that started after this call, with false when this store is not or
  /// no longer leader.
  void confirmLeadership(std::function<void(bool)> Callback);

  bool isLeader() const;
  /// Returns the address of the leader, if one is known.
  std::optional<endpoint> leaderAddress() const;
  /// Returns the id of this member's data folder.
  store_id storeId() const;
  /// Reports whether this store belongs to a group. False until initialise()
  /// is called or a leader of a group has contacted this store.
  bool isInitialised() const;
  /// Returns the current membership, which may not be committed yet.
  std::vector<control_member> members() const;
  /// Returns the index of the last entry known to be committed.
  revision commitIndex() const;
  /// Returns the status for operators as JSON text.
  std::string statusJson() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
