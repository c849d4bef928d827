#pragma once

#include "core/endpoint.h"
#include "core/ids.h"

#include <vector>

namespace teasellock {

/// Random identity of a data folder. A wiped VM comes back with another.
using store_id = strong_type<struct store_id_tag, std::uint64_t>;

/// A member of the control group.
struct control_member {
  store_id Store;
  vm_id Vm;
  endpoint Address;
  bool Voter = true;
  /// A non-voter that the leader makes a voter once it has caught up.
  bool Promote = false;

  bool operator==(const control_member &) const = default;
};

/// Reads "store:vm:address:port", as operators write it. Throws error with
/// step "consensus.member" on bad input.
control_member parseMember(const std::string &Text);

/// The members of the control group, voting or not.
using member_list = std::vector<control_member>;

/// The member with this store, or nullptr.
const control_member *findMember(const member_list &Members, store_id Store);

/// How many members vote.
std::size_t voterCount(const member_list &Members);

} // namespace teasellock
