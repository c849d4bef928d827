/// The shares of an organisation's limit. Four limiters each grant a quarter of
/// it, so that callers are served while some limiters can't be reached: in a
/// network partition, callers and limiters are divided alike. Pure functions.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "modules/deployment/deployment.h"
#include "modules/limits/limiter_view.h"

#include <array>
#include <cstdint>
#include <optional>

namespace teasellock {

/// Number of limiters of each organisation.
constexpr std::uint32_t LimitShares = 4;
static_assert(LimiterSlotCount % LimitShares == 0);

/// How long a caller waits for one limiter while others can be asked. All four
/// together end within LimitWaitTimeout, and the longest usual way there and
/// back takes 24 ms.
constexpr duration ShareWaitTimeout = std::chrono::milliseconds(75);

/// A limiter that did not answer in time is asked last for this long.
constexpr duration SilentPeriod = std::chrono::seconds(1);

/// Returns the slot whose holder is the limiter of a share.
std::uint32_t slotOfShare(const organisation_id &Organisation,
                          std::uint32_t Share);

/// Returns the limit of one share. The rates add up to that of the limit. The
/// bursts add up to up to three operations more: each share has room for the
/// part of a whole operation, so that a burst can be used up.
operation_limit shareOf(const operation_limit &Limit);

/// Returns the share that an entry asks first. Entries are spread over the
/// shares.
std::uint32_t firstShareOf(const vm_id &Entry);

/// What an entry knows of the limiter of one share.
struct share_status {
  /// This VM is the limiter, or the link to it is open.
  bool IsReachable = false;
  /// It has not answered in time.
  time_point SilentUntil;
};

/// A caller that waits for an operation.
struct caller_progress {
  time_point Deadline;
  std::array<bool, LimitShares> Asked{};
  /// A limiter has refused.
  bool LimitReached = false;
};

/// The share to ask, and until when to wait for its limiter.
struct share_choice {
  std::uint32_t Share = 0;
  time_point Deadline;

  bool operator==(const share_choice &) const = default;
};

/// Returns the share to ask next for a caller, or nullopt if none is left.
/// Limiters that seem to be unreachable are asked only if no other one has
/// refused, so that a refusal comes at once.
std::optional<share_choice>
chooseShare(const caller_progress &Caller,
            const std::array<share_status, LimitShares> &Shares,
            std::uint32_t First, time_point Now);

} // namespace teasellock
