#include "modules/line/read_choice.h"

#include <algorithm>

namespace teasellock {

namespace {

/// Factor on the primary's expected latency, so that reads prefer replicas: the
/// primary's slots are the only ones for writes.
constexpr int PrimaryPenalty = 3;

duration expectedTime(const read_option &Option) {
  auto Slots = std::max<std::uint32_t>(Option.Slots, 1);
  auto Ahead = static_cast<std::int64_t>(Option.Running) /
               static_cast<std::int64_t>(Slots);
  duration Expected = Option.DistanceCost + Option.Latency * (1 + Ahead);
  return Option.Primary ? Expected * PrimaryPenalty : Expected;
}

} // namespace

void addSample(sample_history &History, const primary_sample &Sample,
               duration Spacing, duration Kept) {
  if (!History.empty() && Sample.AskedAt <= History.back().AskedAt)
    return;
  // The latest sample is always kept: reads that tolerate no staleness wait for
  // it.
  bool Close = History.size() > 1 &&
               Sample.AskedAt - History[History.size() - 2].AskedAt < Spacing;
  if (Close)
    History.back() = Sample;
  else
    History.push_back(Sample);
  while (History.front().AskedAt + Kept < Sample.AskedAt)
    History.pop_front();
}

std::optional<position> neededPosition(const read_demand &Demand,
                                       const sample_history &History) {
  if (History.empty())
    return std::nullopt;
  const auto &Latest = History.back();
  bool Fresh = Latest.AskedAt >= Demand.ArrivedAt;
  if (Demand.FloorDoubted)
    return Fresh ? std::optional(Latest.Position) : std::nullopt;
  auto Oldest = std::find_if(
      History.begin(), History.end(), [&](const primary_sample &Sample) {
        return Sample.AskedAt + Demand.MaxStaleness >= Demand.ArrivedAt;
      });
  if (Oldest == History.end())
    return std::nullopt;
  if (!Demand.Floor)
    return Oldest->Position;
  return std::max(*Demand.Floor, Oldest->Position);
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
