#include "modules/control/operator_json.h"

#include "modules/control/leases.h"
#include "modules/control/limiter_assignment.h"
#include "modules/control/promotion.h"
#include "modules/deployment/consistency_name.h"
#include "modules/deployment/key_digest.h"
#include "modules/table/table_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace teasellock {

namespace {

using nlohmann::json;

json upstreamJson(const upstream_announcement &Upstream) {
  return {{"upstream", Upstream.Upstream.Value},
          {"address", toString(Upstream.Address)},
          {"availability_zone", Upstream.AvailabilityZone.Value},
          {"region", Upstream.Region.Value},
          {"slots", Upstream.Slots},
          {"connections", Upstream.Connections},
          {"state", Upstream.Leaving ? "leaving" : "serving"}};
}

json gatewayJson(const gateway_share &Share) {
  return {{"vm", Share.Vm.Value},
          {"availability_zone", Share.AvailabilityZone.Value},
          {"connections", Share.Connections},
          {"slots", Share.Slots},
          {"budget_epoch", Share.BudgetEpoch}};
}

json probeJson(const upstream_observation &Probe) {
  json Result = {{"reachable", Probe.Reachable}};
  if (Probe.Reachable) {
    Result["replica"] = Probe.IsReplica;
    Result["position"] = toString(Probe.Replayed);
  } else {
    Result["unreachable_ms"] = toMilliseconds(Probe.UnreachableTime);
    Result["problem"] = Probe.Problem;
  }
  return Result;
}

/// Returns each VM's latest report on the group.
json observationsJson(const group_state &Group, const leader_state &Leader) {
  json Result = json::object();
  for (const auto &[Name, Vm] : Leader.Vms) {
    auto Report = Vm.Groups.find(Group.Group);
    if (Report == Vm.Groups.end())
      continue;
    json Probes = json::object();
    for (const auto &[Upstream, Probe] : Report->second.Upstreams)
      Probes[Upstream.Value] = probeJson(Probe);
    Result[Name.Value] = {
        {"acknowledged", toString(Report->second.Acknowledged)},
        {"upstreams", Probes}};
  }
  return Result;
}

json promotionJson(const promotion_state &Promotion) {
  bool Fencing = Promotion.Phase == promotion_phase::Fencing;
  json Result = {{"phase", Fencing ? "fencing" : "ordering"},
                 {"reason", Promotion.Reason}};
  if (Promotion.Deposed)
    Result["deposed"] = Promotion.Deposed->Value;
  if (Promotion.Requested)
    Result["wanted"] = Promotion.Requested->Value;
  if (Promotion.Chosen) {
    Result["chosen"] = Promotion.Chosen->Value;
    Result["chosen_at"] = toString(Promotion.ChosenPosition);
  }
  // Number of orders to the platform in this promotion.
  Result["orders"] = Promotion.Attempt;
  return Result;
}

json routeJson(const route &Route) {
  return {{"route", Route.Name},
          {"database", Route.Database.Value},
          {"group", Route.Group.Value},
          {"consistency", nameOf(Route.Consistency)},
          {"max_staleness_ms", toMilliseconds(Route.MaxStaleness)},
          {"timeout_ms", toMilliseconds(Route.StatementTimeout)},
          {"target_ms", toMilliseconds(Route.TargetLatency)},
          {"priority", Route.Priority},
          {"public", Route.IsPublic}};
}

/// Operators see which keys an organisation has, but no key or digest.
json organisationJson(const organisation &Organisation) {
  json Keys = json::array();
  for (const auto &Key : Organisation.Keys)
    Keys.push_back(fingerprintOf(Key));
  const auto &Limit = Organisation.Limit;
  return {{"organisation", Organisation.Name.Value},
          {"keys", Keys},
          {"rate_per_s", Limit ? json(Limit->RatePerSecond) : json()},
          {"burst", Limit ? json(Limit->Burst) : json()},
          {"priority", Organisation.Priority}};
}

std::string waitingText(const group_state &Group, const leader_state &Leader) {
  auto Orders = Leader.Orders.find(Group.Group);
  return Orders == Leader.Orders.end() ? "" : Orders->second.WaitingReason;
}

revision latestTableRevision(const control_state &State) {
  revision Latest;
  for (const auto &[Name, Group] : State.Groups)
    Latest = std::max(Latest, Group.Revision);
  return Latest;
}

} // namespace

json tableJson(const control_state &State) {
  json Rows = json::array();
  for (const auto &Row : tableRows(State))
    Rows.push_back(toJson(Row));
  return {{"version", State.TableVersion.Value}, {"rows", Rows}};
}

json deploymentJson(const control_state &State) {
  const auto &Deployment = State.Deployment.Deployment;
  json Routes = json::array();
  for (const auto &Route : Deployment.Routes)
    Routes.push_back(routeJson(Route));
  json Groups = json::array();
  for (const auto &Row : tableRows(State))
    Groups.push_back({{"group", Row.Group.Value},
                      {"max_connections", Row.MaxConnections},
                      {"ack_replicas", Row.AckReplicas}});
  json Result = {{"version", Deployment.Version.Value},
                 {"routes", Routes},
                 {"groups", Groups},
                 {"idle_transaction_ms",
                  toMilliseconds(Deployment.IdleTransactionTimeout)}};
  if (!Deployment.Organisations)
    return Result;
  Result["organisations"] = json::array();
  for (const auto &Organisation : *Deployment.Organisations)
    Result["organisations"].push_back(organisationJson(Organisation));
  return Result;
}

json groupJson(const group_state &Group, const leader_state &Leader) {
  json Result = {
      {"group", Group.Group.Value},
      {"revision", Group.Revision.Value},
      {"term", Group.Term.Value},
      {"primary", Group.Primary ? json(Group.Primary->Value) : json()},
      {"watermark", toString(highestAcknowledged(Group, Leader))},
      {"dirty", Group.Dirty},
      {"removed", Group.Removed},
      {"budget_epoch", Group.BudgetEpoch},
      {"waiting", waitingText(Group, Leader)},
      {"row", toJson(Group.Row)},
      {"upstreams", json::array()},
      {"gateways", json::array()},
      {"observations", observationsJson(Group, Leader)}};
  for (const auto &[Name, Upstream] : Group.Upstreams)
    Result["upstreams"].push_back(upstreamJson(Upstream));
  for (const auto &Share : Group.Gateways)
    Result["gateways"].push_back(gatewayJson(Share));
  if (Group.Promotion)
    Result["promotion"] = promotionJson(*Group.Promotion);
  return Result;
}

json groupsJson(const control_state &State, const leader_state &Leader) {
  json Groups = json::array();
  for (const auto &[Name, Group] : State.Groups) {
    json Gateways = json::array();
    for (const auto &Share : Group.Gateways)
      Gateways.push_back(Share.Vm.Value);
    Groups.push_back(
        {{"group", Name.Value},
         {"term", Group.Term.Value},
         {"primary", Group.Primary ? json(Group.Primary->Value) : json()},
         {"upstreams", Group.Upstreams.size()},
         {"gateways", Gateways},
         {"promoting", Group.Promotion.has_value()},
         {"dirty", Group.Dirty},
         {"removed", Group.Removed},
         {"waiting", waitingText(Group, Leader)}});
  }
  return {{"groups", Groups}};
}

json vmsJson(const control_state &State, const leader_state &Leader,
             const decision_settings &Settings, time_point Now) {
  json Vms = json::array();
  for (const auto &[Name, Vm] : State.Vms) {
    auto Known = Leader.Vms.find(Name);
    bool HasReported = Known != Leader.Vms.end();
    duration Left = leaseEnd(Leader, {Name, Vm.Incarnation}, Settings) - Now;
    json Entry = {
        {"vm", Name.Value},
        {"incarnation", Vm.Incarnation.Value},
        {"address", toString(Vm.Address)},
        {"availability_zone", Vm.AvailabilityZone.Value},
        {"region", Vm.Region.Value},
        {"draining", Vm.Draining},
        {"lease_ms", std::max<std::int64_t>(toMilliseconds(Left), 0)},
        {"applied", HasReported ? Known->second.AppliedRevision.Value : 0}};
    if (HasReported)
      Entry["heard_ms_ago"] =
          toMilliseconds(Now - Known->second.LastReceivedAt);
    Vms.push_back(Entry);
  }
  return {{"vms", Vms}};
}

json limitersJson(const control_state &State, const leader_state &Leader,
                  const decision_settings &Settings, time_point Now) {
  auto LeaseLeft = [&](const vm_id &Vm, incarnation Incarnation) {
    duration Left = limiterLeaseEnd(Leader, {Vm, Incarnation}, Settings) - Now;
    return std::max<std::int64_t>(toMilliseconds(Left), 0);
  };
  json Slots = json::array();
  for (const auto &Slot : State.Limiters.Slots) {
    json Entry = {{"slot", Slots.size()}};
    if (Slot.Holder) {
      Entry["vm"] = Slot.Holder->Vm.Value;
      Entry["incarnation"] = Slot.Holder->Incarnation.Value;
      Entry["address"] = toString(Slot.Holder->Address);
      Entry["lease_ms"] = LeaseLeft(Slot.Holder->Vm, Slot.Holder->Incarnation);
    }
    if (Slot.Former) {
      Entry["former"] = Slot.Former->Vm.Value;
      Entry["former_incarnation"] = Slot.Former->Incarnation.Value;
      Entry["lease_ms"] = LeaseLeft(Slot.Former->Vm, Slot.Former->Incarnation);
    }
    Slots.push_back(Entry);
  }
  return {{"revision", State.Limiters.Revision.Value}, {"slots", Slots}};
}

json tableStatusJson(const control_state &State, const leader_state &Leader,
                     time_point Now) {
  revision Latest = latestTableRevision(State);
  json Behind = json::array();
  for (const auto &[Name, Vm] : State.Vms) {
    auto Known = Leader.Vms.find(Name);
    bool HasReported = Known != Leader.Vms.end();
    if (HasReported && Known->second.AppliedRevision >= Latest)
      continue;
    json Entry = {
        {"vm", Name.Value},
        {"applied", HasReported ? Known->second.AppliedRevision.Value : 0}};
    if (HasReported)
      Entry["heard_ms_ago"] =
          toMilliseconds(Now - Known->second.LastReceivedAt);
    Behind.push_back(Entry);
  }
  return {{"version", State.TableVersion.Value},
          {"revision", Latest.Value},
          {"vms", State.Vms.size()},
          {"behind", Behind}};
}

json proposalsJson(const leader_state &Leader) {
  json Proposals = json::array();
  for (const auto &[Id, Proposal] : Leader.Proposals)
    Proposals.push_back({{"id", Id},
                         {"group", Proposal.Group.Value},
                         {"kind", Proposal.Kind},
                         {"reason", Proposal.Reason},
                         {"rejected", Leader.RejectedProposals.contains(Id)}});
  return {{"proposals", Proposals}};
}

json promotionRiskJson(const group_state &Group, const leader_state &Leader,
                       const upstream_id &Upstream) {
  position Highest;
  for (const auto &[Name, Vm] : Leader.Vms) {
    auto Report = Vm.Groups.find(Group.Group);
    if (Report == Vm.Groups.end())
      continue;
    auto Probe = Report->second.Upstreams.find(Upstream);
    if (Probe != Report->second.Upstreams.end())
      Highest = std::max(Highest, Probe->second.Replayed);
  }
  position Acknowledged = highestAcknowledged(Group, Leader);
  std::string Loss = "none known";
  if (Highest < Acknowledged)
    Loss = "writes acknowledged after " + toString(Highest) + " up to " +
           toString(Acknowledged);
  else if (Group.Dirty)
    Loss = "writes acknowledged by a gateway but not reported to control, "
           "beyond " +
           toString(Highest);
  return {{"upstream", Upstream.Value},
          {"last_seen_at", toString(Highest)},
          {"acknowledged", toString(Acknowledged)},
          {"may_lose", Loss}};
}

operator_result editResult(const edit_outcome &Answer) {
  if (Answer.Accepted)
    return {200, json{{"version", Answer.Version.Value}}.dump()};
  return {409, json{{"version", Answer.Version.Value},
                    {"winning_edit", Answer.WinningEdit.Value}}
                   .dump()};
}

operator_result errorResult(int Status, const std::string &Reason) {
  return {Status, json{{"error", Reason}}.dump()};
}

} // namespace teasellock
