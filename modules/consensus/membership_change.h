#pragma once

#include "modules/consensus/consensus_state.h"

#include <optional>

namespace teasellock {

/// Throws error unless the members have distinct stores and one votes.
void checkMembers(const member_list &Members);

/// Throws error unless this leader may propose this membership now.
void checkChange(const consensus_state &State, const member_list &Members,
                 time_point Now);

/// Leader only: appends a membership, in force at once. Returns its index.
/// Throws error as checkChange() does.
std::uint64_t appendMembers(consensus_state &State, const member_list &Members,
                            const decision_input &Input,
                            consensus_effects &Effects);

/// Whether a member holds all that is committed but for a few entries.
bool hasCaughtUp(const consensus_state &State, store_id Store);

/// What comes next when New takes the place of Old.
struct replacement_step {
  enum class progress {
    /// Propose Members.
    Propose,
    /// The newcomer is catching up, or a change is not committed yet.
    Wait,
    Done,
  };
  progress Progress = progress::Wait;
  member_list Members;
  /// For the operator.
  std::string Text;
};

/// The next step of a replacement: add New as non-voter, wait until it has
/// caught up, remove Old, make New a voter. Each is committed before the next.
replacement_step nextReplacementStep(const consensus_state &State, store_id Old,
                                     const control_member &New);

/// The majority is gone for good: makes this store by hand the only member of
/// a group of its own, which the others can only join after a wipe. Returns the
/// risk in words. Throws error when this store leads or follows a live leader,
/// or is no member.
std::string forceMembership(consensus_state &State, std::uint64_t NewCluster,
                            const decision_input &Input,
                            consensus_effects &Effects);

} // namespace teasellock
