/// Promotion with fences (promotion_method::Fence): when a group's primary is
/// replaced, and by which upstream.
///
/// No acknowledged write is lost: before a candidate is chosen, every gateway
/// that may acknowledge writes of the old term has either replied to the fence
/// or its lease has ended for certain, and the candidate holds every write that
/// may have been acknowledged.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// Returns the next step towards a writable primary, if one is due.
group_decision decidePromotion(const group_state &Group,
                               const leader_state &Leader,
                               const decision_settings &Settings,
                               time_point Now);

/// Clears the dirty mark of a group and raises its watermark to the primary's
/// position, once a probe of the primary has been reported that began after the
/// group was marked dirty.
group_decision decideDirtyClearing(const group_state &Group,
                                   const leader_state &Leader,
                                   const decision_settings &Settings);

/// Returns the highest position known to be acknowledged: the committed
/// watermark or a higher position that a gateway reported.
position highestAcknowledged(const group_state &Group,
                             const leader_state &Leader);

/// Returns the group's state at the start of a promotion that an operator
/// requested. With Force, the upstream is promoted even if acknowledged writes
/// may be lost. Throws error if the upstream is unknown or already primary.
group_state beginManualPromotion(const group_state &Group,
                                 const upstream_id &Upstream, bool Force);

} // namespace teasellock
