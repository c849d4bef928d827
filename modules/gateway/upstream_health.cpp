#include "modules/gateway/upstream_health.h"

#include "modules/control/group_view.h"

#include <algorithm>

namespace teasellock {

namespace {

constexpr std::size_t MaxSamples = 4096;
constexpr duration MinSampleInterval = std::chrono::milliseconds(20);

} // namespace

bool recordProbe(upstream_health &Health, const probe_result &Probe) {
  bool Before = Health.Reachable;
  bool First = !Health.Probed;
  Health.Probed = true;
  Health.Problem = Probe.Problem;
  Health.ConnectionRefused = Probe.ConnectionRefused;
  Health.Reachable = Probe.Status.has_value();
  if (Probe.Status) {
    Health.UnreachableSince.reset();
    Health.Status = *Probe.Status;
    Health.StatusStartedAt = Probe.StartedAt;
    Health.StatusAt = Probe.EndedAt;
  } else if (!Health.UnreachableSince) {
    Health.UnreachableSince = Probe.StartedAt;
  }
  return First || Before != Health.Reachable;
}

wire::upstream_report toReport(const upstream_id &Upstream,
                               const upstream_health &Health, time_point Now) {
  wire::upstream_report Report;
  Report.upstream = Upstream.Value;
  Report.reachable = Health.Reachable;
  Report.replica = Health.Status.Replica;
  Report.replayed = toWire(Health.Status.Position);
  Report.age_ms = toMilliseconds(Now - Health.StatusStartedAt);
  if (Health.UnreachableSince)
    Report.unreachable_ms = std::max<std::int64_t>(
        1, toMilliseconds(Now - *Health.UnreachableSince));
  Report.problem = Health.Problem;
  Report.refused = Health.ConnectionRefused;
  return Report;
}

void position_history::add(time_point ProbeStartedAt, const position &Primary) {
  if (!Samples.empty()) {
    sample &Last = Samples.back();
    if (Primary < Last.PrimaryPosition || ProbeStartedAt <= Last.ProbeStartedAt)
      return;
    if (Primary == Last.PrimaryPosition) {
      Last.ProbeStartedAt = ProbeStartedAt;
      return;
    }
    if (ProbeStartedAt - Last.ProbeStartedAt < MinSampleInterval)
      return;
  }
  Samples.push_back({ProbeStartedAt, Primary});
  if (Samples.size() > MaxSamples)
    Samples.pop_front();
}

std::optional<duration> position_history::ageOf(const position &Replayed,
                                                time_point Now) const {
  auto FirstNewer =
      std::upper_bound(Samples.begin(), Samples.end(), Replayed,
                       [](const position &Position, const sample &Sample) {
                         return Position < Sample.PrimaryPosition;
                       });
  if (FirstNewer == Samples.begin())
    return std::nullopt;
  return Now - std::prev(FirstNewer)->ProbeStartedAt;
}

} // namespace teasellock
