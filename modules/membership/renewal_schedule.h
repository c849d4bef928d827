/// When a VM sends renewals to control.
///
/// Designed against a retry storm: many VMs that send a renewal for each change
/// and each missing reply keep an overloaded leader overloaded, until it can't
/// keep its leadership either. A VM has few renewals in flight, merges further
/// ones into one, and waits longer after each missing reply.
#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <optional>

namespace teasellock {

/// The renewals of one VM that have not been answered.
struct renewal_schedule {
  /// How long a reply is waited for, and the time after a reply.
  duration MinTimeout = fromMilliseconds(350);
  duration Timeout = fromMilliseconds(350);
  /// When each renewal was sent.
  std::map<request_id, time_point> InFlight;
  /// Another renewal is to be sent once one of them is answered.
  bool IsPostponed = false;
};

/// Reports whether a renewal may be sent now. If not, it is postponed.
bool maySendRenewal(renewal_schedule &Schedule);

/// Records that a renewal is sent.
void recordRenewal(renewal_schedule &Schedule, request_id Request,
                   time_point Now);

/// Records a reply, which covers all earlier renewals too. Returns when its
/// renewal was sent, or nothing if that was given up.
std::optional<time_point> recordRenewalReply(renewal_schedule &Schedule,
                                             request_id Request);

/// Reports whether a postponed renewal is to be sent now, once.
bool takePostponed(renewal_schedule &Schedule);

/// Gives up all renewals if the oldest one has had no reply in time. Returns
/// how many, and doubles the timeout then.
std::size_t expireRenewals(renewal_schedule &Schedule, time_point Now);

} // namespace teasellock
