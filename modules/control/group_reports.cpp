#include "modules/control/group_reports.h"

#include "modules/control/leases.h"

namespace teasellock {

const group_observation *reportOf(const group_state &Group,
                                  const leader_state &Leader,
                                  const gateway_share &Share) {
  auto Vm = Leader.Vms.find(Share.Vm);
  if (Vm == Leader.Vms.end() || Vm->second.Incarnation != Share.Incarnation)
    return nullptr;
  auto Report = Vm->second.Groups.find(Group.Group);
  return Report == Vm->second.Groups.end() ? nullptr : &Report->second;
}

const upstream_observation *probeOf(const group_observation *Report,
                                    const upstream_id &Upstream) {
  if (!Report)
    return nullptr;
  auto Found = Report->Upstreams.find(Upstream);
  return Found == Report->Upstreams.end() ? nullptr : &Found->second;
}

std::map<upstream_id, upstream_observation>
latestProbes(const group_state &Group, const leader_state &Leader,
             const decision_settings &Settings, time_point Now) {
  std::map<upstream_id, upstream_observation> Result;
  std::map<upstream_id, time_point> Times;
  for (const auto &Share : Group.Gateways) {
    const auto *Report = reportOf(Group, Leader, Share);
    if (!Report ||
        !hasRenewedWithin(Leader, Share.Vm, Settings.AliveTimeout, Now))
      continue;
    for (const auto &[Name, Probe] : Report->Upstreams) {
      time_point At = Report->ReceivedAt - Probe.Age;
      if (!Probe.Reachable || (Times.contains(Name) && Times[Name] >= At))
        continue;
      Times[Name] = At;
      Result[Name] = Probe;
    }
  }
  return Result;
}

std::string
positionsText(const std::map<upstream_id, upstream_observation> &Probes) {
  std::string Text;
  for (const auto &[Name, Probe] : Probes) {
    Text += Text.empty() ? "" : ", ";
    Text += Name.Value + " at " + toString(Probe.Replayed) +
            (Probe.IsReplica ? " (replica)" : " (primary)");
  }
  return Text.empty() ? "none reported" : Text;
}

std::string millisecondsText(duration Span) {
  return std::to_string(toMilliseconds(Span)) + " ms";
}

} // namespace teasellock
