#include "modules/membership/renewal_schedule.h"

#include <algorithm>
#include <utility>

namespace teasellock {

namespace {

/// A regular renewal and one with news.
constexpr std::size_t MaxInFlight = 2;
constexpr int MaxTimeoutFactor = 4;

} // namespace

bool maySendRenewal(renewal_schedule &Schedule) {
  if (Schedule.InFlight.size() < MaxInFlight)
    return true;
  Schedule.IsPostponed = true;
  return false;
}

void recordRenewal(renewal_schedule &Schedule, request_id Request,
                   time_point Now) {
  Schedule.InFlight[Request] = Now;
  Schedule.IsPostponed = false;
}

std::optional<time_point> recordRenewalReply(renewal_schedule &Schedule,
                                             request_id Request) {
  Schedule.Timeout = Schedule.MinTimeout;
  auto Found = Schedule.InFlight.find(Request);
  if (Found == Schedule.InFlight.end())
    return std::nullopt;
  time_point SentAt = Found->second;
  Schedule.InFlight.erase(Schedule.InFlight.begin(), std::next(Found));
  return SentAt;
}

bool takePostponed(renewal_schedule &Schedule) {
  return Schedule.InFlight.size() < MaxInFlight &&
         std::exchange(Schedule.IsPostponed, false);
}

std::size_t expireRenewals(renewal_schedule &Schedule, time_point Now) {
  if (Schedule.InFlight.empty() ||
      Now - Schedule.InFlight.begin()->second < Schedule.Timeout)
    return 0;
  std::size_t Count = Schedule.InFlight.size();
  Schedule.InFlight.clear();
  Schedule.Timeout =
      std::min(Schedule.Timeout * 2, Schedule.MinTimeout * MaxTimeoutFactor);
  return Count;
}

} // namespace teasellock
