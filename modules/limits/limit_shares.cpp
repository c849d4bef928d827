#include "modules/limits/limit_shares.h"

#include "modules/limits/limiter_slot.h"

#include <algorithm>

namespace teasellock {

std::uint32_t slotOfShare(const organisation_id &Organisation,
                          std::uint32_t Share) {
  constexpr std::uint32_t Distance = LimiterSlotCount / LimitShares;
  return (limiterSlotOf(Organisation) + Share * Distance) % LimiterSlotCount;
}

operation_limit shareOf(const operation_limit &Limit) {
  constexpr double Shares = LimitShares;
  double PartOfOperation = Limit.Burst > 0 ? (Shares - 1) / Shares : 0;
  return {Limit.RatePerSecond / Shares, Limit.Burst / Shares + PartOfOperation};
}

std::uint32_t firstShareOf(const vm_id &Entry) {
  return static_cast<std::uint32_t>(hashOfName(Entry.Value) % LimitShares);
}

std::optional<share_choice>
chooseShare(const caller_progress &Caller,
            const std::array<share_status, LimitShares> &Shares,
            std::uint32_t First, time_point Now) {
  std::uint32_t Left = 0;
  std::optional<std::uint32_t> Usable;
  std::optional<std::uint32_t> Unusable;
  for (std::uint32_t Index = 0; Index < LimitShares; ++Index) {
    std::uint32_t Share = (First + Index) % LimitShares;
    if (Caller.Asked[Share])
      continue;
    ++Left;
    const auto &Status = Shares[Share];
    auto &Choice =
        Status.IsReachable && Status.SilentUntil <= Now ? Usable : Unusable;
    if (!Choice)
      Choice = Share;
  }
  if (!Usable && Caller.LimitReached)
    return std::nullopt;
  auto Share = Usable ? Usable : Unusable;
  if (!Share || Caller.Deadline <= Now)
    return std::nullopt;
  time_point Deadline = Left == 1
                            ? Caller.Deadline
                            : std::min(Caller.Deadline, Now + ShareWaitTimeout);
  return share_choice{*Share, Deadline};
}

} // namespace teasellock
