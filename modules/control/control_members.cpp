#include "modules/control/control_service_state.h"

#include "core/event_log.h"
#include "modules/control/member_changes.h"

namespace teasellock {

namespace {

/// Interval of the checks of the membership.
const duration MembersCheckInterval = fromMilliseconds(100);

member_list applyChange(member_list Members, const member_change &Change) {
  store_id Subject = Change.Kind == member_change::kind::Remove
                         ? Change.Old
                         : Change.New.Store;
  std::erase_if(Members, [&](const control_member &Member) {
    return Member.Store == Subject;
  });
  if (Change.Kind == member_change::kind::Remove)
    return Members;
  control_member New = Change.New;
  New.IsVoter = false;
  New.PromoteWhenCaughtUp = Change.Kind == member_change::kind::AddVoter;
  Members.push_back(std::move(New));
  return Members;
}

} // namespace

void control_service::state::foundGroup() {
  if (!InitialisesGroup || Consensus.isInitialised())
    return;
  control_member Self;
  Self.Store = Consensus.storeId();
  Self.Vm = Context.Self.Vm;
  Self.Address = Context.Self.InternalEndpoint;
  event("control.founded").with("store", Self.Store.Value);
  Consensus.initialise({Self});
}

void control_service::state::recordControlStore(const wire::renewal &Renewal) {
  if (Renewal.control_store == 0)
    return;
  control_member Member;
  Member.Store = store_id(static_cast<std::uint64_t>(Renewal.control_store));
  Member.Vm = vm_id(Renewal.vm);
  Member.Address = parseEndpoint(Renewal.address);
  ControlStores[Member.Store] = {Member, now()};
}

void control_service::state::maintainMembers() {
  if (TargetVoters == 0 || now() - MembersCheckedAt < MembersCheckInterval)
    return;
  MembersCheckedAt = now();
  membership_input Input;
  Input.Members = Consensus.members();
  Input.TargetVoters = TargetVoters;
  Input.LeadingSince = Leader.LeadingSince;
  for (const auto &[Store, Reported] : ControlStores)
    Input.ReportedStores[Store] = {Reported.Member, Reported.ReportedAt};
  // The leader does not send renewals to itself.
  Input.ReportedStores[Consensus.storeId()].ReportedAt = now();
  auto Change = decideMemberChange(Input, now());
  if (!Change)
    return;
  try {
    if (Change->Kind == member_change::kind::Replace) {
      auto Progress = Consensus.replaceMember(Change->Old, Change->New);
      event("control.member_replaced")
          .with("old", Change->Old.Value)
          .with("new", Change->New.Store.Value)
          .with("step", Progress.Step);
      return;
    }
    event("control.member_changed")
        .with("store", Change->Kind == member_change::kind::Remove
                           ? Change->Old.Value
                           : Change->New.Store.Value)
        .with("voter", Change->Kind == member_change::kind::AddVoter);
    Consensus.changeMembers(applyChange(Input.Members, *Change),
                            [](proposal_outcome, revision) {});
  } catch (const error &Problem) {
    // The previous change is not committed yet, or no quorum is reachable.
    event("control.member_change_refused", severity::Debug)
        .with("reason", Problem.reason());
  }
}

} // namespace teasellock
