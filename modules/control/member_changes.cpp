#include "modules/control/member_changes.h"

#include <algorithm>

namespace teasellock {

namespace {

bool isAlive(const membership_input &Input, store_id Store, time_point Now) {
  auto Reported = Input.ReportedStores.find(Store);
  return Reported != Input.ReportedStores.end() &&
         Now - Reported->second.ReportedAt <= StoreAliveTimeout;
}

bool isSilent(const membership_input &Input, store_id Store, duration Span,
              time_point Now) {
  auto Reported = Input.ReportedStores.find(Store);
  time_point Since = Input.LeadingSince;
  if (Reported != Input.ReportedStores.end())
    Since = std::max(Since, Reported->second.ReportedAt);
  return Now - Since > Span;
}

/// Returns the number of members that are voters or become voters once they
/// have caught up.
std::size_t countPlannedVoters(const member_list &Members) {
  return static_cast<std::size_t>(std::count_if(
      Members.begin(), Members.end(), [](const control_member &Member) {
        return Member.IsVoter || Member.PromoteWhenCaughtUp;
      }));
}

/// Returns the voter that a new store replaces, or null: one on the same VM,
/// whose disk has been lost, or else one that has not been reported for too
/// long.
const control_member *findVoterToReplace(const membership_input &Input,
                                         const control_member &New,
                                         time_point Now) {
  const control_member *Lost = nullptr;
  for (const auto &Member : Input.Members) {
    if (!Member.IsVoter || Member.Store == New.Store)
      continue;
    if (Member.Vm == New.Vm)
      return &Member;
    if (isSilent(Input, Member.Store, VoterLossTimeout, Now))
      Lost = &Member;
  }
  return Lost;
}

} // namespace

std::optional<member_change> decideMemberChange(const membership_input &Input,
                                                time_point Now) {
  std::size_t Voters = countPlannedVoters(Input.Members);
  for (const auto &[Store, Known] : Input.ReportedStores) {
    if (!isAlive(Input, Store, Now))
      continue;
    const auto *Member = findMember(Input.Members, Store);
    if (Member && (Member->IsVoter || Member->PromoteWhenCaughtUp))
      continue;
    if (const auto *Old = findVoterToReplace(Input, Known.Member, Now))
      return member_change{member_change::kind::Replace, Old->Store,
                           Known.Member};
    if (Voters < Input.TargetVoters)
      return member_change{member_change::kind::AddVoter, {}, Known.Member};
    if (!Member)
      return member_change{member_change::kind::Add, {}, Known.Member};
  }
  for (const auto &Member : Input.Members)
    if (!Member.IsVoter &&
        isSilent(Input, Member.Store, NonVoterLossTimeout, Now))
      return member_change{member_change::kind::Remove, Member.Store, {}};
  return std::nullopt;
}

} // namespace teasellock
