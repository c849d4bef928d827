/// The choice of the gateway for a statement, and of the gateways that an entry
/// keeps links to.
///
/// Designed against costs that grow with the number of VMs: with a link from
/// every entry to every gateway, the heartbeats of unused links need more bytes
/// than the statements. An entry has links only to the gateways that it uses
/// and to one spare gateway for each group, and dials others when those fail.
#pragma once

#include "core/distance.h"
#include "core/ids.h"

#include <cstdint>
#include <set>
#include <vector>

namespace teasellock {

/// A gateway of a group as seen from an entry.
struct gateway_option {
  vm_id Vm;
  distance Distance = distance::SameVm;
  /// It is one of the group's primaryGateways().
  bool ServesPrimary = true;
  /// Requests can be sent to it: its link is open, or it is this VM.
  bool IsOpen = false;
  /// Its link has ended or has not opened in time.
  bool HasFailed = false;
  /// It has refused a statement recently.
  bool IsAvoided = false;
  /// Statements sent to it and not answered.
  std::uint32_t InFlight = 0;
  /// Differs between entries, so that entries at the same distance spread over
  /// the gateways.
  std::uint64_t SpreadRank = 0;
};

/// Returns the rank by which an entry prefers one of several equal gateways:
/// pseudo-random, and the same for each pair of VMs.
std::uint64_t spreadRank(const vm_id &Entry, const vm_id &Gateway);

/// Returns the best open gateway, or nullptr if none is open: not avoided, for
/// the primary's statements one that serves the primary, then the nearest, then
/// the one with the fewest statements in flight.
const gateway_option *chooseGateway(const std::vector<gateway_option> &Options,
                                    bool NeedsPrimary);

/// Returns the gateways of a group that the entry needs links to: the nearest
/// and a spare one for reads, and the best one for the primary's statements.
/// Those that have failed are kept, and the next ones are added to them.
std::set<vm_id> neededLinks(const std::vector<gateway_option> &Options);

} // namespace teasellock
