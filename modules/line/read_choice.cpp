#include "modules/line/read_choice.h"

#include <algorithm>

namespace teasellock {

namespace {

/// How much longer an answer of the primary may seem before it is preferred:
/// its slots are the only ones for writes.
constexpr int PrimaryPenalty = 3;

duration expectedTime(const read_option &Option) {
  auto Slots = std::max<std::uint32_t>(Option.Slots, 1);
  auto Ahead = static_cast<std::int64_t>(Option.Running) /
               static_cast<std::int64_t>(Slots);
  duration Expected = Option.RoundTrip + Option.Latency * (1 + Ahead);
  return Option.Primary ? Expected * PrimaryPenalty : Expected;
}

} // namespace

std::optional<position>
neededPosition(const read_demand &Demand,
               const std::optional<primary_sample> &Sample) {
  if (!Sample || Sample->AskedAt + Demand.MaxStaleness < Demand.ArrivedAt)
    return std::nullopt;
  bool Fresh = Sample->AskedAt >= Demand.ArrivedAt;
  if (Fresh || !Demand.Floor)
    return Sample->Position;
  if (Demand.FloorDoubted)
    return std::nullopt;
  return std::max(*Demand.Floor, Sample->Position);
}

const read_option *chooseUpstream(const std::vector<read_option> &Options,
                                  const position &Needed,
                                  const std::set<upstream_id> &Tried) {
  const read_option *Best = nullptr;
  for (const auto &Option : Options) {
    bool Has = Option.Primary || Option.Applied >= Needed;
    if (!Option.Free || !Has || Tried.contains(Option.Upstream))
      continue;
    if (!Best || expectedTime(Option) < expectedTime(*Best))
      Best = &Option;
  }
  return Best;
}

} // namespace teasellock
