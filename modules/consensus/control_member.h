#pragma once

#include "core/endpoint.h"
#include "core/ids.h"

#include <vector>

namespace teasellock {

/// Random id of a data folder, never zero. A VM whose disk was wiped gets a
/// new one, as it no longer knows its votes and entries.
using store_id = strong_type<struct store_id_tag, std::uint64_t>;

/// A member of the control group, the few VMs that run the replicated log.
struct control_member {
  store_id Store;
  vm_id Vm;
  endpoint Address;
  bool IsVoter = true;
  /// Whether the leader makes this non-voter a voter once it has caught up.
  bool PromoteWhenCaughtUp = false;

  bool operator==(const control_member &) const = default;
};

/// Parses "store:vm:address:port", as operators write it. The result is a
/// voter. Throws error with step "consensus.member" if store or vm is missing
/// or the store id is not a positive number, and another error if the address
/// is not valid.
control_member parseControlMember(const std::string &Text);

/// The members of the control group, voting or not.
using member_list = std::vector<control_member>;

/// Returns the member with this store, or nullptr.
const control_member *findMember(const member_list &Members, store_id Store);

/// Returns the number of voters.
std::size_t voterCount(const member_list &Members);

} // namespace teasellock
