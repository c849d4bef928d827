#include "modules/control/leases.h"

#include <algorithm>

namespace teasellock {

namespace {

incarnation incarnationOf(const wire::renewal &Renewal) {
  return incarnation(static_cast<std::uint64_t>(Renewal.incarnation));
}

revision appliedOf(const wire::renewal &Renewal) {
  return revision(static_cast<std::uint64_t>(Renewal.applied_revision));
}

bool hasRefusingPrimary(const group_state &Group,
                        const group_observation &Observation) {
  if (!Group.Primary)
    return false;
  auto Found = Observation.Upstreams.find(*Group.Primary);
  return Found != Observation.Upstreams.end() && !Found->second.Reachable &&
         Found->second.Refused;
}

group_observation parseGroupReport(const wire::renewal &Renewal,
                                   const wire::group_report &Report,
                                   time_point Now) {
  group_observation Result;
  Result.ReceivedAt = Now;
  Result.SentAtUs = Renewal.sent_at_us;
  Result.Term = term(static_cast<std::uint64_t>(Report.term));
  Result.Acknowledged = fromWire(Report.acknowledged);
  Result.BudgetEpoch = static_cast<std::uint64_t>(Report.budget_epoch);
  Result.Upstreams = parseReports(Report.upstreams);
  return Result;
}

void recordReports(const control_state &State, vm_observation &Vm,
                   const wire::renewal &Renewal, time_point Now) {
  std::map<group_id, group_observation> Groups;
  for (const auto &Report : Renewal.groups) {
    group_id Name(Report.group);
    auto Known = State.Groups.find(Name);
    if (Known == State.Groups.end())
      continue;
    auto Observation = parseGroupReport(Renewal, Report, Now);
    if (hasRefusingPrimary(Known->second, Observation))
      Observation.ConsecutiveRefusals = Vm.Groups[Name].ConsecutiveRefusals + 1;
    Groups[Name] = std::move(Observation);
  }
  Vm.Groups = std::move(Groups);
}

/// Reports whether an incarnation still serves a group whose share may have
/// been granted to others. With promotion_method::Pause it may use the share of
/// an earlier incarnation of its VM, because it inherits that.
bool holdsLostGroup(const control_state &State,
                    const gateway_incarnation &Gateway,
                    const wire::renewal &Renewal,
                    const decision_settings &Settings) {
  bool Inherits = Settings.Method == promotion_method::Pause;
  for (const auto &Report : Renewal.groups) {
    auto Group = State.Groups.find(group_id(Report.group));
    if (Group == State.Groups.end())
      continue;
    const auto *Share = findShare(Group->second, Gateway.first);
    bool Assigned =
        Share && (Share->Incarnation == Gateway.second ||
                  (Inherits && Share->Incarnation < Gateway.second));
    if (!Assigned && !findHolder(Group->second, Gateway.first, Gateway.second))
      return true;
  }
  return false;
}

/// For each dirty group, records when the incarnation sent the first renewal
/// that reports the dirty revision as applied. Probes that began later are
/// newer than the dirty mark.
void recordDirtyApplied(const control_state &State, leader_state &Leader,
                        const gateway_incarnation &Gateway,
                        const wire::renewal &Renewal) {
  for (const auto &Name : State.Index.DirtyGroups) {
    const auto &Group = State.Groups.at(Name);
    auto &Orders = Leader.Orders[Name];
    if (Orders.DirtySince != Group.DirtySince) {
      Orders.DirtySince = Group.DirtySince;
      Orders.DirtyAppliedAtUs.clear();
    }
    if (appliedOf(Renewal) >= Group.DirtySince)
      Orders.DirtyAppliedAtUs.try_emplace(Gateway, Renewal.sent_at_us);
  }
}

/// The revision never decreases: the observation belongs to one process.
void recordLimiterRevision(vm_observation &Vm, const wire::renewal &Renewal) {
  if (!Renewal.__isset.limiter_revision)
    return;
  revision Reported(static_cast<std::uint64_t>(Renewal.limiter_revision));
  Vm.LimiterRevision =
      std::max(Vm.LimiterRevision.value_or(revision()), Reported);
}

} // namespace

std::map<upstream_id, upstream_observation>
parseReports(const std::vector<wire::upstream_report> &Reports) {
  std::map<upstream_id, upstream_observation> Result;
  for (const auto &Report : Reports) {
    upstream_observation Observation;
    Observation.Upstream = upstream_id(Report.upstream);
    Observation.Reachable = Report.reachable;
    Observation.IsReplica = Report.replica;
    Observation.Replayed = fromWire(Report.replayed);
    Observation.Age =
        fromMilliseconds(std::max<std::int64_t>(Report.age_ms, 0));
    Observation.UnreachableTime =
        fromMilliseconds(std::max<std::int64_t>(Report.unreachable_ms, 0));
    Observation.Refused = Report.refused;
    Observation.Problem = Report.problem;
    Observation.Paused = Report.paused;
    Observation.Received = fromWire(Report.received);
    Observation.ConnectionAge =
        fromMilliseconds(std::max<std::int64_t>(Report.connection_age_ms, 0));
    Result[Observation.Upstream] = std::move(Observation);
  }
  return Result;
}

std::optional<vm_record> changedRecord(const control_state &State,
                                       const wire::renewal &Renewal) {
  vm_record Record;
  Record.Vm = vm_id(Renewal.vm);
  Record.Incarnation = incarnationOf(Renewal);
  Record.Address = parseEndpoint(Renewal.address);
  Record.AvailabilityZone = availability_zone_id(Renewal.availability_zone);
  Record.Region = region_id(Renewal.region);
  Record.Draining = Renewal.draining;
  Record.Gateway = Renewal.gateway;
  auto Known = State.Vms.find(Record.Vm);
  if (Known == State.Vms.end())
    return Record;
  if (Known->second.Incarnation > Record.Incarnation)
    return std::nullopt;
  // An operator's drain holds until the process restarts.
  if (Known->second.Incarnation == Record.Incarnation)
    Record.Draining = Record.Draining || Known->second.Draining;
  if (Known->second == Record)
    return std::nullopt;
  return Record;
}

renewal_verdict processRenewal(const control_state &State, leader_state &Leader,
                               const wire::renewal &Renewal,
                               const decision_settings &Settings,
                               time_point Now) {
  gateway_incarnation Gateway(vm_id(Renewal.vm), incarnationOf(Renewal));
  auto Known = State.Vms.find(Gateway.first);
  if (Known != State.Vms.end() && Gateway.second < Known->second.Incarnation)
    return renewal_verdict::Refused;
  if (Known == State.Vms.end() || Gateway.second != Known->second.Incarnation)
    return renewal_verdict::Unregistered;
  bool Released = holdsLostGroup(State, Gateway, Renewal, Settings);
  if (!Released)
    Leader.LeaseEnds[Gateway] = Now + Settings.LeaseTime + Settings.LeaseMargin;
  auto Verdict =
      Released ? renewal_verdict::HoldsLostGroup : renewal_verdict::Granted;
  if (!Leader.Vms.contains(Gateway.first))
    Leader.LastNewVmAt = Now;
  auto &Vm = Leader.Vms[Gateway.first];
  if (Vm.Incarnation != Gateway.second)
    Vm = vm_observation();
  // A later renewal has overtaken this one, so its reports are outdated.
  if (Renewal.sent_at_us < Vm.SentAtUs)
    return Verdict;
  Vm.Incarnation = Gateway.second;
  Vm.LastReceivedAt = Now;
  Vm.AppliedRevision = std::max(Vm.AppliedRevision, appliedOf(Renewal));
  Vm.AcceptsPushes = Renewal.accepts_pushes;
  Vm.Deployment = deployment_version(
      static_cast<std::uint64_t>(Renewal.deployment_version));
  Vm.SentAtUs = Renewal.sent_at_us;
  recordLimiterRevision(Vm, Renewal);
  recordReports(State, Vm, Renewal, Now);
  recordDirtyApplied(State, Leader, Gateway, Renewal);
  return Verdict;
}

time_point leaseEnd(const leader_state &Leader,
                    const gateway_incarnation &Gateway,
                    const decision_settings &Settings) {
  auto Found = Leader.LeaseEnds.find(Gateway);
  auto Unknown =
      Leader.LeadingSince + Settings.LeaseTime + Settings.LeaseMargin;
  if (Found == Leader.LeaseEnds.end())
    return Unknown;
  return std::max(Unknown, Found->second);
}

bool hasRenewedWithin(const leader_state &Leader, const vm_id &Vm,
                      duration Span, time_point Now) {
  auto Found = Leader.Vms.find(Vm);
  return Found != Leader.Vms.end() &&
         Now - Found->second.LastReceivedAt <= Span;
}

void removeEndedLeases(const control_state &State, leader_state &Leader,
                       time_point Now) {
  std::set<gateway_incarnation> Needed;
  for (const auto &[Name, Group] : State.Groups)
    for (const auto &Holder : Group.Holders)
      Needed.emplace(Holder.Vm, Holder.Incarnation);
  std::erase_if(Leader.LeaseEnds, [&](const auto &Entry) {
    return Entry.second < Now && !Needed.contains(Entry.first);
  });
}

} // namespace teasellock
