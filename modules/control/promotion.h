/// Promotion: when a group's primary is replaced, and by which upstream.
///
/// An acknowledged write is never lost: before a candidate is chosen, every
/// gateway that may acknowledge in the old term has either answered the fence
/// or certainly lost its lease, and the candidate holds everything that may
/// have been acknowledged.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// The next step towards a primary that can be written to, if one is due.
group_decision decidePromotion(const group_state &Group,
                               const leader_state &Leader,
                               const decision_settings &Settings,
                               time_point Now);

/// Raises the watermark of a dirty group once a probe of the primary that
/// began after the dirty mark is known.
group_decision decideCleaning(const group_state &Group,
                              const leader_state &Leader,
                              const decision_settings &Settings);

/// The highest position known to be acknowledged, committed or reported.
position knownWatermark(const group_state &Group, const leader_state &Leader);

/// An operator's promotion by hand. Throws error when the upstream is unknown.
group_state promoteByHand(const group_state &Group, const upstream_id &Upstream,
                          bool Force);

} // namespace teasellock
