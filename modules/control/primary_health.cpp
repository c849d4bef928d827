#include "modules/control/primary_health.h"

#include "modules/control/group_reports.h"
#include "modules/control/leases.h"

namespace teasellock {

namespace {

/// A primary that refuses connections counts as down after this many
/// consecutive reports of a gateway, or after this time.
constexpr std::uint32_t RefusedReports = 2;
const duration RefusedTime = fromMilliseconds(100);
/// Minimum age of a report that does not decide whether the primary has failed
/// before the gateway is asked for a new one.
const duration FreshReportDelay = fromMilliseconds(50);

/// Counts a gateway that does not reach the primary. Asks it for a new report
/// if the failure timeout may have passed since the last one was sent.
void countFailed(const group_state &Group, const vm_id &Vm,
                 const group_observation &Report,
                 const upstream_observation &Probe, time_point Now,
                 primary_health &Health) {
  Health.Text += Vm.Value + ": " +
                 (Probe.Problem.empty() ? "unreachable" : Probe.Problem) +
                 " for " + millisecondsText(Probe.Unreachable) + "; ";
  if (Probe.Refused && (Report.RefusedInRow >= RefusedReports ||
                        Probe.Unreachable >= RefusedTime))
    ++Health.Refused;
  if (Probe.Unreachable >= Group.Row.FailureTimeout) {
    ++Health.Lost;
    return;
  }
  duration Since = Now - Report.ReceivedAt;
  bool Due = Probe.Unreachable + Since >= Group.Row.FailureTimeout ||
             (Probe.Refused && Since >= FreshReportDelay);
  if (Due)
    Health.ToAsk.push_back(Vm);
}

} // namespace

primary_health healthOf(const group_state &Group, const leader_state &Leader,
                        const decision_settings &Settings, time_point Now) {
  primary_health Health;
  for (const auto &Share : Group.Gateways) {
    if (!heardWithin(Leader, Share.Vm, Settings.AliveTimeout, Now))
      continue;
    ++Health.Alive;
    const auto *Report = reportOf(Group, Leader, Share);
    const auto *Probe = probeOf(Report, *Group.Primary);
    if (!Probe)
      continue;
    if (!Probe->Reachable) {
      countFailed(Group, Share.Vm, *Report, *Probe, Now, Health);
      continue;
    }
    ++Health.Reaching;
    if (Now - Report->ReceivedAt >= FreshReportDelay)
      Health.ToAsk.push_back(Share.Vm);
  }
  bool AnyFailed = !Health.Text.empty();
  if (!AnyFailed)
    Health.ToAsk.clear();
  return Health;
}

bool isSuspect(const group_state &Group, const primary_health &Health) {
  if (Health.Reaching > 0 || Health.Alive == 0)
    return false;
  if (Health.Refused == Health.Alive)
    return true;
  std::size_t Majority = Group.Gateways.size() / 2 + 1;
  return Health.Lost >= Majority || Health.Lost == Health.Alive;
}

} // namespace teasellock
