#include "modules/control/tests/limiter_simulation.h"

#include "modules/control/leases.h"

#include <algorithm>

namespace teasellock {

namespace {

constexpr std::int64_t StepTime = 20000;
constexpr std::int64_t RenewalPeriod = 400000;
constexpr std::size_t VmCount = 6;
constexpr std::int64_t Second = 1000000;
/// The longest that a former leader answers renewals.
constexpr std::int64_t FormerLeaderTime = 2 * Second;

} // namespace

limiter_simulation::limiter_simulation(std::uint64_t Seed,
                                       const limiter_rules &Rules)
    : Random(Seed), Vms(VmCount) {
  Settings.LimiterRules = Rules;
  Settings.RegistrationPause = fromMilliseconds(200);
  setLimits(true);
  for (std::size_t Index = 0; Index < Vms.size(); ++Index) {
    Vms[Index].Clock = randomClock();
    start(Index, 1);
  }
  changeLeader();
}

std::int64_t limiter_simulation::random(std::int64_t Min, std::int64_t Max) {
  return std::uniform_int_distribution<std::int64_t>(Min, Max)(Random);
}

bool limiter_simulation::happens(double PerSecond) {
  double PerStep = PerSecond * StepTime / Second;
  return std::uniform_real_distribution<double>(0, 1)(Random) < PerStep;
}

std::int64_t limiter_simulation::delay() {
  bool IsSlow = IsDisturbed && random(0, 9) == 0;
  return IsSlow ? random(0, 4 * Second) : random(0, Second / 20);
}

simulated_clock limiter_simulation::randomClock() {
  constexpr double Rates[] = {0.95, 1, 1.05};
  return {Rates[random(0, 2)], random(Second, 1000 * Second)};
}

void limiter_simulation::apply(const wire::control_command &Command) {
  applyCommand(Committed, revision(Committed.AppliedRevision.Value + 1),
               Command);
  Current.State = Committed;
}

void limiter_simulation::setLimits(bool HasLimits) {
  deployment_proposal Proposal;
  auto &Deployment = Proposal.Deployment;
  Deployment.Version =
      deployment_version(Committed.Deployment.Deployment.Version.Value + 1);
  organisation Organisation;
  Organisation.Name = organisation_id("o");
  if (HasLimits)
    Organisation.Limit = operation_limit{10, 10};
  Deployment.Organisations = {Organisation};
  apply(makeDeploymentCommand(Proposal));
}

void limiter_simulation::start(std::size_t Index, std::uint64_t Incarnation) {
  auto &Vm = Vms[Index];
  Vm.IsRunning = true;
  Vm.Draining = false;
  Vm.FrozenUntil = 0;
  Vm.Member = member_state();
  Vm.Member.Self = vm_id("vm" + std::to_string(Index));
  Vm.Member.Incarnation = incarnation(Incarnation);
}

void limiter_simulation::disturbVm(std::size_t Index) {
  auto &Vm = Vms[Index];
  std::uint64_t Next = Vm.Member.Incarnation.Value + 1;
  if (!Vm.IsRunning) {
    if (happens(0.1))
      start(Index, Next);
    return;
  }
  if (happens(0.01))
    Vm.IsRunning = false;
  else if (happens(0.01))
    start(Index, Next);
  else if (happens(0.02))
    Vm.FrozenUntil = Now + random(0, 20 * Second);
  else if (happens(0.03))
    Vm.CutOffUntil = Now + random(0, 20 * Second);
  else if (happens(0.02))
    Vm.Draining = true;
  else if (Vm.Draining && happens(0.2))
    start(Index, Next);
}

void limiter_simulation::disturb() {
  for (std::size_t Index = 0; Index < Vms.size(); ++Index)
    disturbVm(Index);
  if (happens(0.05))
    changeLeader();
  if (happens(0.03))
    Current.FrozenUntil = Now + random(0, 20 * Second);
  bool HasLimits = hasLimits(Committed.Deployment.Deployment);
  if (happens(HasLimits ? 0.01 : 0.3))
    setLimits(!HasLimits);
}

void limiter_simulation::changeLeader() {
  control_state Known = Current.State;
  // Proposals of the former leader are lost, or committed before the new one
  // leads.
  for (const auto &Proposal : Current.Proposals)
    if (random(0, 1) == 0)
      apply(Proposal.Command);
  Former = std::move(Current);
  Former->State = std::move(Known);
  Former->Proposals.clear();
  Current = simulated_leader();
  Current.Clock = randomClock();
  Current.State = Committed;
  Current.ElectedAt = Now;
  Current.Leader.LeadingSince = Current.Clock.at(Now);
}

void limiter_simulation::sendRenewals() {
  for (std::size_t Index = 0; Index < Vms.size(); ++Index) {
    auto &Vm = Vms[Index];
    if (!Vm.IsRunning || Now < Vm.FrozenUntil || Now < Vm.NextRenewalAt)
      continue;
    Vm.NextRenewalAt = Now + RenewalPeriod;
    if (Now < Vm.CutOffUntil || (IsDisturbed && random(0, 9) == 0))
      continue;
    wire::renewal Renewal;
    Renewal.vm = Vm.Member.Self.Value;
    Renewal.incarnation =
        static_cast<std::int64_t>(Vm.Member.Incarnation.Value);
    Renewal.address = "10.0.0." + std::to_string(Index + 1) + ":1";
    Renewal.sent_at_us = Vm.Clock.at(Now).time_since_epoch().count();
    Renewal.draining = Vm.Draining;
    if (Vm.Member.Limiters.Revision != revision())
      Renewal.__set_limiter_revision(
          static_cast<std::int64_t>(Vm.Member.Limiters.Revision.Value));
    Renewals.push_back({Index, Renewal, Now, Now + delay(), random(0, 1) == 0});
  }
}

void limiter_simulation::handleRenewals() {
  std::vector<simulated_renewal> Waiting;
  for (auto &Sent : std::exchange(Renewals, {})) {
    bool IsAnswered = Former && Sent.GoesToFormerLeader &&
                      Sent.SentAt < Current.ElectedAt &&
                      Now < Current.ElectedAt + FormerLeaderTime;
    if (Now < Sent.ArrivesAt)
      Waiting.push_back(std::move(Sent));
    else if (IsAnswered)
      handleRenewal(*Former, Sent);
    else if (Now < Current.FrozenUntil)
      Waiting.push_back(std::move(Sent));
    else
      handleRenewal(Current, Sent);
  }
  for (auto &Sent : Waiting)
    Renewals.push_back(std::move(Sent));
}

void limiter_simulation::handleRenewal(simulated_leader &Leader,
                                       const simulated_renewal &Sent) {
  if (auto Record = changedRecord(Leader.State, Sent.Renewal))
    Leader.Proposals.push_back(
        {makeVmCommand(*Record), Now + random(0, Second / 2), false});
  auto Verdict = processRenewal(Leader.State, Leader.Leader, Sent.Renewal,
                                Settings, Leader.Clock.at(Now));
  if (Verdict != renewal_verdict::Granted || (IsDisturbed && random(0, 9) == 0))
    return;
  simulated_reply Reply;
  Reply.Vm = Sent.Vm;
  Reply.Incarnation =
      incarnation(static_cast<std::uint64_t>(Sent.Renewal.incarnation));
  Reply.Reply.granted = true;
  Reply.Reply.sent_at_us = Sent.Renewal.sent_at_us;
  grantLimiterLease(Leader.State, Leader.Leader, Sent.Renewal, Settings,
                    Leader.Clock.at(Now), Reply.Reply);
  Reply.ArrivesAt = Now + delay();
  Replies.push_back(std::move(Reply));
}

void limiter_simulation::commitProposals() {
  std::vector<simulated_proposal> Due;
  std::erase_if(Current.Proposals, [&](const simulated_proposal &Proposal) {
    if (Now < Proposal.CommittedAt)
      return false;
    Due.push_back(Proposal);
    return true;
  });
  for (const auto &Proposal : Due)
    apply(Proposal.Command);
}

void limiter_simulation::decide() {
  bool IsCommitting = std::any_of(
      Current.Proposals.begin(), Current.Proposals.end(),
      [](const simulated_proposal &Proposal) { return Proposal.IsAssignment; });
  if (Now < Current.FrozenUntil || IsCommitting)
    return;
  time_point Time = Current.Clock.at(Now);
  removeEndedLimiterLeases(Current.Leader, Time);
  auto Decision = decideLimiters(Current.State, Current.Leader, Settings, Time);
  if (Decision.Next)
    Current.Proposals.push_back({makeLimiterCommand(*Decision.Next),
                                 Now + random(0, Second / 2), true});
}

void limiter_simulation::deliverReplies() {
  std::erase_if(Replies, [&](const simulated_reply &Reply) {
    auto &Vm = Vms[Reply.Vm];
    if (Now < Reply.ArrivesAt)
      return false;
    if (!Vm.IsRunning || Vm.Member.Incarnation != Reply.Incarnation ||
        Now < Vm.CutOffUntil)
      return true;
    if (Now < Vm.FrozenUntil)
      return false;
    applyLimiters(Vm.Member, Reply.Reply,
                  time_point(duration(Reply.Reply.sent_at_us)));
    return true;
  });
}

void limiter_simulation::step() {
  Now += StepTime;
  if (IsDisturbed)
    disturb();
  sendRenewals();
  // A leader that was suspended may decide before it reads what has arrived.
  decide();
  handleRenewals();
  commitProposals();
  deliverReplies();
}

void limiter_simulation::calm() {
  IsDisturbed = false;
  Current.FrozenUntil = 0;
  for (auto &Vm : Vms)
    Vm.FrozenUntil = Vm.CutOffUntil = 0;
  start(0, Vms[0].Member.Incarnation.Value + 1);
  if (!hasLimits(Committed.Deployment.Deployment))
    setLimits(true);
}

std::size_t limiter_simulation::activeHolders(std::size_t Slot) const {
  std::size_t Count = 0;
  for (const auto &Vm : Vms) {
    const auto &View = Vm.Member.Limiters;
    if (!Vm.IsRunning || View.Slots.empty() || !View.Slots[Slot])
      continue;
    const auto &Holder = *View.Slots[Slot];
    Count += Holder.Vm == Vm.Member.Self &&
             Holder.Incarnation == Vm.Member.Incarnation &&
             Vm.Clock.at(Now) < View.LeaseEnd;
  }
  return Count;
}

bool limiter_simulation::hasTwoHolders() const {
  for (std::size_t Slot = 0; Slot < LimiterSlotCount; ++Slot)
    if (activeHolders(Slot) > 1)
      return true;
  return false;
}

bool limiter_simulation::isCovered() const {
  for (std::size_t Slot = 0; Slot < LimiterSlotCount; ++Slot)
    if (activeHolders(Slot) != 1)
      return false;
  return true;
}

} // namespace teasellock
