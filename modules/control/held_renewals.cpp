#include "modules/control/held_renewals.h"

namespace teasellock {

namespace {

/// Longer than an election takes. A VM that waits also sends renewals to other
/// control VMs and uses the first reply.
constexpr duration MaxHoldTime = std::chrono::milliseconds(1000);

} // namespace

void holdRenewal(held_renewals &Held, const vm_id &Vm, link_id Link,
                 link_message Message, time_point Now) {
  auto [Entry, IsNew] = Held.try_emplace(Vm);
  if (IsNew)
    Entry->second.Since = Now;
  Entry->second.Link = Link;
  Entry->second.Message = std::move(Message);
}

std::vector<held_renewal> popAnswerable(held_renewals &Held, bool LeaderKnown,
                                        time_point Now) {
  std::vector<held_renewal> Result;
  std::erase_if(Held, [&](auto &Entry) {
    if (!LeaderKnown && Now - Entry.second.Since < MaxHoldTime)
      return false;
    Result.push_back(std::move(Entry.second));
    return true;
  });
  return Result;
}

} // namespace teasellock
