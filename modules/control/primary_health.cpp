#include "modules/control/primary_health.h"

#include "modules/control/group_reports.h"
#include "modules/control/leases.h"

namespace teasellock {

namespace {

/// A primary that refuses connections counts as down after this many
/// consecutive reports of a gateway, or after this time.
constexpr std::uint32_t MinRefusedReports = 2;
const duration MinRefusedTime = fromMilliseconds(100);
/// Minimum age of a report that does not decide whether the primary has failed
/// before the gateway is asked for a new one.
const duration MinReportAge = fromMilliseconds(50);

/// Counts a gateway that does not reach the primary. Asks it for a new report
/// if the failure timeout may have passed since the last one was sent.
void countFailedProbe(const group_state &Group, const vm_id &Vm,
                      const group_observation &Report,
                      const upstream_observation &Probe, time_point Now,
                      primary_health &Health) {
  Health.Summary += Vm.Value + ": " +
                    (Probe.Problem.empty() ? "unreachable" : Probe.Problem) +
                    " for " + millisecondsText(Probe.UnreachableTime) + "; ";
  if (Probe.Refused && (Report.ConsecutiveRefusals >= MinRefusedReports ||
                        Probe.UnreachableTime >= MinRefusedTime))
    ++Health.RefusedGateways;
  if (Probe.UnreachableTime >= Group.Row.FailureTimeout) {
    ++Health.TimedOutGateways;
    return;
  }
  duration Since = Now - Report.ReceivedAt;
  bool Due = Probe.UnreachableTime + Since >= Group.Row.FailureTimeout ||
             (Probe.Refused && Since >= MinReportAge);
  if (Due)
    Health.NudgeTargets.push_back(Vm);
}

} // namespace

primary_health healthOf(const group_state &Group, const leader_state &Leader,
                        const decision_settings &Settings, time_point Now) {
  primary_health Health;
  for (const auto &Share : Group.Gateways) {
    if (!hasRenewedWithin(Leader, Share.Vm, Settings.AliveTimeout, Now))
      continue;
    ++Health.AliveGateways;
    const auto *Report = reportOf(Group, Leader, Share);
    const auto *Probe = probeOf(Report, *Group.Primary);
    if (!Probe)
      continue;
    if (!Probe->Reachable) {
      countFailedProbe(Group, Share.Vm, *Report, *Probe, Now, Health);
      continue;
    }
    ++Health.ReachingGateways;
    if (Now - Report->ReceivedAt >= MinReportAge)
      Health.NudgeTargets.push_back(Share.Vm);
  }
  bool HasFailedProbe = !Health.Summary.empty();
  if (!HasFailedProbe)
    Health.NudgeTargets.clear();
  return Health;
}

bool hasFailed(const group_state &Group, const primary_health &Health) {
  if (Health.ReachingGateways > 0 || Health.AliveGateways == 0)
    return false;
  if (Health.RefusedGateways == Health.AliveGateways)
    return true;
  std::size_t Majority = Group.Gateways.size() / 2 + 1;
  return Health.TimedOutGateways >= Majority ||
         Health.TimedOutGateways == Health.AliveGateways;
}

} // namespace teasellock
