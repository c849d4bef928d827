/// Promotion with paused replicas (promotion_method::Pause): for upstreams that
/// refuse writes themselves once they are no longer primary, and whose
/// replicas can be told to stop receiving.
///
/// A write is acknowledged once a replica has received it. Once replication to
/// all replicas is paused, no more writes are acknowledged, and the replica
/// with the highest position holds all acknowledged ones. A replica that starts
/// later isn't paused, and the primary may be back before another one leads: so
/// from the first pause on gateways don't write to the primary (see
/// modules/line/write_fence.h), and replicas that join are paused as well. If
/// the primary works and is only to be replaced, it is demoted first: a replica
/// that control does not know yet may have confirmed writes that the known ones
/// lack, but none lies beyond the position at which the primary was demoted. A
/// replica that left or restarted may have been the only one to hold a write.
/// The group is therefore marked dirty until another replica has reached a
/// position of the primary that was read after the loss was committed.
#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// Which parts of the rule are enabled. Production code uses the default; tests
/// disable single parts to show that each is needed.
struct pause_rules {
  /// All replicas must have been paused, not just one.
  bool RequireAllReplicas = true;
  /// Only positions read after the pause count. Evaluated only by the tests'
  /// simulation.
  bool RequirePause = true;
  /// The replica that was paused must be of the incarnation that control knows.
  bool RequireSameIncarnation = true;
  /// No promotion while the group is dirty.
  bool CheckDirty = true;
  /// A primary that works is demoted before it is replaced.
  bool DemoteFirst = true;
  /// But not while an order to promote it again may still take effect.
  bool CheckOpenOrders = true;
  /// The process that is ordered to lead must be the one that was chosen, and
  /// the order is not repeated for a later one.
  bool CheckChosen = true;
  /// An upstream may have led whose order took effect late: its replicas count.
  /// Evaluated only by the tests' simulation.
  bool CheckLateLeader = true;
  /// If a replica that may have confirmed a write is lost, or the log of the
  /// highest one is empty, only an upstream that has reached the acknowledged
  /// position is promoted.
  bool RequireAcknowledged = true;
};

/// Returns the next step towards a primary, if one is due.
group_decision decidePausePromotion(const group_state &Group,
                                    const leader_state &Leader,
                                    const decision_settings &Settings,
                                    time_point Now,
                                    const pause_rules &Rules = {});

/// Clears the dirty mark once another replica holds every write that a lost one
/// may have confirmed.
group_decision decidePauseDirtyClearing(const group_state &Group,
                                        const leader_state &Leader);

} // namespace teasellock
