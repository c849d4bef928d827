#include "modules/control/view_pushes.h"

#include <algorithm>

namespace teasellock {

namespace {

/// A VM that reports an older revision for longer than this has discarded the
/// push.
constexpr duration PushTimeout = std::chrono::milliseconds(1500);

constexpr duration MinUpdateInterval = std::chrono::milliseconds(25);
/// A VM that was frozen during an update must not wait longer for the next one.
constexpr duration MaxUpdateInterval = std::chrono::milliseconds(500);
/// The interval is this many times the duration of the last update.
constexpr int UpdateIntervalFactor = 5;

} // namespace

duration nextUpdateInterval(duration LastDuration) {
  return std::clamp(LastDuration * UpdateIntervalFactor, MinUpdateInterval,
                    MaxUpdateInterval);
}

revision expectedRevision(const sent_pushes &Pushes, const vm_id &Vm,
                          link_id Link, revision Reported, time_point Now) {
  auto Last = Pushes.find(Vm);
  if (Last == Pushes.end() || Last->second.Link != Link ||
      Now - Last->second.SentAt > PushTimeout)
    return Reported;
  return std::max(Reported, Last->second.Revision);
}

} // namespace teasellock
