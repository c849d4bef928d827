/// Changes of the control group's membership, one member at a time.
#pragma once

#include "modules/consensus/consensus_state.h"

#include <optional>

namespace teasellock {

/// Throws error unless all members have distinct store ids and at least one is
/// a voter.
void validateMembers(const member_list &Members);

/// Throws error unless this store leads and may propose this membership now:
/// the previous change is committed, exactly one member differs, and a quorum
/// of the new membership is reachable.
void validateChange(const consensus_state &State, const member_list &Members,
                    time_point Now);

/// Leader only: appends a membership, which is in force at once, and returns
/// its index. Throws error as validateChange() does.
std::uint64_t appendMembership(consensus_state &State,
                               const member_list &Members,
                               const consensus_input &Input,
                               consensus_effects &Effects);

/// Reports whether a follower has the current membership and lacks at most the
/// last few entries of the leader's log.
bool hasCaughtUp(const consensus_state &State, store_id Store);

/// The next step of the replacement of one member by another.
struct replacement_step {
  enum class progress {
    /// The caller should propose Members.
    Propose,
    /// The new member is catching up, or a change is not committed yet.
    Wait,
    Done,
  };
  progress Progress = progress::Wait;
  member_list Members;
  /// Describes the step to the operator.
  std::string Text;
};

/// Returns the next step of a replacement. The steps are: add New as non-voter,
/// wait until it has caught up, remove Old, make New a voter. Each change is
/// committed before the next one is proposed.
replacement_step nextReplacementStep(const consensus_state &State, store_id Old,
                                     const control_member &New);

/// Makes this store the only member of a new group, for when the majority is
/// permanently lost. The other members must be wiped before they join it.
/// Returns a description of the possible data loss for the operator. Throws
/// error when this store leads, has received a message of the leader within the
/// election timeout, or is not a member.
std::string forceMembership(consensus_state &State, std::uint64_t NewCluster,
                            const consensus_input &Input,
                            consensus_effects &Effects);

} // namespace teasellock
