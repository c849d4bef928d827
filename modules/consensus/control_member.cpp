#include "modules/consensus/control_member.h"

#include "core/error.h"
#include "modules/consensus/wire_members.h"

#include <algorithm>
#include <charconv>

namespace teasellock {

control_member parseControlMember(const std::string &Text) {
  std::size_t StoreEnd = Text.find(':');
  std::size_t VmEnd = Text.find(':', StoreEnd + 1);
  if (StoreEnd == std::string::npos || VmEnd == std::string::npos)
    throw error("consensus.member", Text, "store:vm:address:port expected");
  std::uint64_t Store = 0;
  const char *End = Text.data() + StoreEnd;
  auto Result = std::from_chars(Text.data(), End, Store);
  if (Result.ec != std::errc() || Result.ptr != End || Store == 0)
    throw error("consensus.member", Text, "the store id is not a number");
  control_member Member;
  Member.Store = store_id(Store);
  Member.Vm = vm_id(Text.substr(StoreEnd + 1, VmEnd - StoreEnd - 1));
  Member.Address = parseEndpoint(Text.substr(VmEnd + 1));
  return Member;
}

const control_member *findMember(const member_list &Members, store_id Store) {
  for (const control_member &Member : Members)
    if (Member.Store == Store)
      return &Member;
  return nullptr;
}

std::size_t voterCount(const member_list &Members) {
  return static_cast<std::size_t>(std::count_if(
      Members.begin(), Members.end(),
      [](const control_member &Member) { return Member.IsVoter; }));
}

std::vector<wire::consensus_member> toWire(const member_list &Members) {
  std::vector<wire::consensus_member> Result;
  for (const control_member &Member : Members) {
    wire::consensus_member Converted;
    Converted.store = static_cast<std::int64_t>(Member.Store.Value);
    Converted.vm = Member.Vm.Value;
    Converted.address = toString(Member.Address);
    Converted.voter = Member.IsVoter;
    Converted.promote = Member.PromoteWhenCaughtUp;
    Result.push_back(std::move(Converted));
  }
  return Result;
}

member_list fromWire(const std::vector<wire::consensus_member> &Members) {
  member_list Result;
  for (const wire::consensus_member &Member : Members) {
    control_member Converted;
    Converted.Store = store_id(static_cast<std::uint64_t>(Member.store));
    Converted.Vm = vm_id(Member.vm);
    Converted.Address = parseEndpoint(Member.address);
    Converted.IsVoter = Member.voter;
    Converted.PromoteWhenCaughtUp = Member.promote;
    Result.push_back(std::move(Converted));
  }
  return Result;
}

} // namespace teasellock
