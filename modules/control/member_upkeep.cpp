#include "modules/control/member_upkeep.h"

#include <algorithm>

namespace teasellock {

namespace {

bool isAlive(const member_upkeep &Upkeep, store_id Store, time_point Now) {
  auto Heard = Upkeep.Heard.find(Store);
  return Heard != Upkeep.Heard.end() &&
         Now - Heard->second.HeardAt <= StoreAlive;
}

bool isUnheard(const member_upkeep &Upkeep, store_id Store, duration Span,
               time_point Now) {
  auto Heard = Upkeep.Heard.find(Store);
  time_point Since = Upkeep.LeadingSince;
  if (Heard != Upkeep.Heard.end())
    Since = std::max(Since, Heard->second.HeardAt);
  return Now - Since > Span;
}

/// Returns the number of members that are voters or become voters once they
/// have caught up.
std::size_t votersToBe(const member_list &Members) {
  return static_cast<std::size_t>(std::count_if(
      Members.begin(), Members.end(), [](const control_member &Member) {
        return Member.Voter || Member.Promote;
      }));
}

/// Returns the voter that a new store replaces, or null: one on the same VM,
/// whose disk has been lost, or else one that has not been reported for too
/// long.
const control_member *findReplaced(const member_upkeep &Upkeep,
                                   const control_member &New, time_point Now) {
  const control_member *Lost = nullptr;
  for (const auto &Member : Upkeep.Members) {
    if (!Member.Voter || Member.Store == New.Store)
      continue;
    if (Member.Vm == New.Vm)
      return &Member;
    if (isUnheard(Upkeep, Member.Store, VoterLoss, Now))
      Lost = &Member;
  }
  return Lost;
}

} // namespace

std::optional<member_change> decideMembers(const member_upkeep &Upkeep,
                                           time_point Now) {
  std::size_t Voters = votersToBe(Upkeep.Members);
  for (const auto &[Store, Known] : Upkeep.Heard) {
    if (!isAlive(Upkeep, Store, Now))
      continue;
    const auto *Member = findMember(Upkeep.Members, Store);
    if (Member && (Member->Voter || Member->Promote))
      continue;
    if (const auto *Old = findReplaced(Upkeep, Known.Member, Now))
      return member_change{member_change::kind::Replace, Old->Store,
                           Known.Member};
    if (Voters < Upkeep.WantedVoters)
      return member_change{member_change::kind::AddVoter, {}, Known.Member};
    if (!Member)
      return member_change{member_change::kind::Add, {}, Known.Member};
  }
  for (const auto &Member : Upkeep.Members)
    if (!Member.Voter && isUnheard(Upkeep, Member.Store, SpareLoss, Now))
      return member_change{member_change::kind::Remove, Member.Store, {}};
  return std::nullopt;
}

} // namespace teasellock
