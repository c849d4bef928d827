/// The control group's replicated log: agreement among a few VMs with disks.
///
/// Decisions are in consensus_state.h, files in log_store.h; this is the task
/// that joins them to links and timers.
#pragma once

#include "modules/consensus/control_member.h"
#include "modules/link/link_hub.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace teasellock {

/// What the state machine above the log provides. All calls come on the loop.
struct state_machine_hooks {
  /// Applies a committed command. Called once for each index in order.
  std::function<void(revision, const std::string &Command)> Apply;
  /// The whole state, as of the last applied command.
  std::function<std::string()> Snapshot;
  /// Replaces the whole state.
  std::function<void(revision, const std::string &Snapshot)> Restore;
  /// This VM became leader (its barrier entry is committed and applied) or
  /// ceased to be.
  std::function<void(bool Leading)> LeadershipChanged;
  /// The disk failed: this member takes part in nothing until the process has
  /// been started again. May be empty.
  std::function<void()> Failed;
};

/// How a proposal ended.
enum class proposal_outcome {
  Committed,
  /// Certainly not in the log.
  NotLeader,
  /// May still be committed by another leader.
  Unknown,
};

/// How far a replacement of a member is.
struct replacement_progress {
  bool Done = false;
  /// What is being done now.
  std::string Text;
};

/// How long the log waits, and when it compacts.
struct consensus_settings {
  std::string DataFolder;
  duration HeartbeatPeriod = fromMilliseconds(100);
  /// The least election timeout; the most is twice that.
  duration ElectionTimeout = fromMilliseconds(500);
  /// Entries kept before a snapshot is taken.
  std::uint64_t SnapshotEvery = 2000;
  /// Bytes of commands before one is taken, whatever their number: an eighth of
  /// the smallest disk that a control VM has.
  std::size_t SnapshotBytes = 8 * 1024 * 1024;
};

/// One member of the control group.
class consensus_service {
public:
  /// Opens or makes the data folder and recovers what is in it. Throws error
  /// when the files can't be trusted.
  consensus_service(daemon_context &Context, link_hub &Hub,
                    consensus_settings Settings, state_machine_hooks Hooks);
  ~consensus_service();

  /// Starts listening to messages and timers.
  void start();

  /// First start of a deployment: makes this store the only founder together
  /// with the given others. Throws error if this store has any state.
  void initialise(const std::vector<control_member> &Members);

  /// Appends a command. The callback is called once.
  void propose(std::string Command,
               std::function<void(proposal_outcome, revision)> Callback);

  /// Proposes a membership in which one member differs from the present one.
  /// Throws error when it may not be proposed now.
  void changeMembers(const std::vector<control_member> &Members,
                     std::function<void(proposal_outcome, revision)> Callback);

  /// The next step by which New takes the place of Old, as text for the
  /// operator; proposes it if it is due. To be called again until Done.
  /// Throws error when it is refused.
  replacement_progress replaceMember(store_id Old, const control_member &New);

  /// The majority is gone for good: makes this store the only member; the
  /// others join again after a wipe. Returns the risk in words. Throws error
  /// while a leader is heard.
  std::string forceMembers();

  /// The latest instant at which a quorum is known to have still followed this
  /// leader; the clock's origin if it is not leader. What was decided before
  /// it was decided by the only leader.
  time_point leaderConfirmedAt() const;

  /// Asks a quorum now whether this is still the leader. Calls back once, with
  /// true if a round that started after this call was answered by a quorum.
  void confirmLeadership(std::function<void(bool)> Callback);

  bool isLeader() const;
  /// The leader's address, if one is known.
  std::optional<endpoint> leader() const;
  store_id store() const;
  /// False until initialised or reached by an initialised leader.
  bool isInitialised() const;
  std::vector<control_member> members() const;
  revision committed() const;
  /// Status for operators as JSON text.
  std::string statusJson() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
