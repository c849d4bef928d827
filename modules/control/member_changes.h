/// Automatic membership of the control group: which control stores vote.
#pragma once

#include "core/time.h"
#include "modules/consensus/control_member.h"

#include <map>
#include <optional>

namespace teasellock {

/// A control store that a VM has reported to this leader.
struct known_store {
  control_member Member;
  time_point ReportedAt;
};

/// A change of the membership.
struct member_change {
  enum class kind {
    /// Add New as a non-voter.
    Add,
    /// Add New; it becomes a voter once it has caught up.
    AddVoter,
    /// Replace the voter Old by New.
    Replace,
    /// Remove the non-voter Old.
    Remove,
  };
  kind Kind = kind::Add;
  store_id Old;
  control_member New;

  bool operator==(const member_change &) const = default;
};

/// The input of a decision on the membership.
struct membership_input {
  member_list Members;
  /// Every store that has been reported to this leader.
  std::map<store_id, known_store> ReportedStores;
  std::size_t TargetVoters = 0;
  time_point LeadingSince;
};

/// A voter that has not been reported for this long is replaced by a store that
/// is alive: longer than an election and a restart, short enough that the group
/// is complete again before a second loss that follows the time allowed for a
/// repair.
constexpr duration VoterLossTimeout = fromMilliseconds(2000);
/// A non-voter that has not been reported for this long is removed.
constexpr duration NonVoterLossTimeout = fromMilliseconds(15000);
/// A store whose last report is no older than this is alive.
constexpr duration StoreAliveTimeout = fromMilliseconds(1000);

/// Returns the next change of the membership, if one is due.
std::optional<member_change> decideMemberChange(const membership_input &Input,
                                                time_point Now);

} // namespace teasellock
