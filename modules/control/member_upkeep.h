/// Which control stores vote, where the group keeps itself complete.
#pragma once

#include "core/time.h"
#include "modules/consensus/control_member.h"

#include <map>
#include <optional>

namespace teasellock {

/// A control store that is heard or was.
struct known_store {
  control_member Member;
  time_point HeardAt;
};

/// What to change in the membership now.
struct member_change {
  enum class kind {
    /// Add Store as non-voter.
    Add,
    /// Add Store, to vote once it has caught up.
    AddVoter,
    /// Let New take the place of Old.
    Replace,
    /// Remove a non-voter.
    Remove,
  };
  kind Kind = kind::Add;
  store_id Old;
  control_member New;

  bool operator==(const member_change &) const = default;
};

/// What the upkeep goes by.
struct member_upkeep {
  member_list Members;
  /// By store: every store that told of itself to this leader.
  std::map<store_id, known_store> Heard;
  std::size_t WantedVoters = 0;
  time_point LeadingSince;
};

/// A voter unheard for so long gives its place to a store that is heard: longer
/// than an election and a restart, short enough that a second loss after the
/// time allowed for a repair finds the group complete.
constexpr duration VoterLoss = fromMilliseconds(2000);
/// A non-voter unheard for so long is forgotten.
constexpr duration SpareLoss = fromMilliseconds(15000);
/// A store heard within this span is there.
constexpr duration StoreAlive = fromMilliseconds(1000);

/// The next change, if one is due.
std::optional<member_change> decideMembers(const member_upkeep &Upkeep,
                                           time_point Now);

} // namespace teasellock
