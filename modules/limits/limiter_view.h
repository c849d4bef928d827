/// Which VM counts the operations of which organisations.
///
/// Organisations are divided into a fixed number of slots by a hash of their
/// names. Control assigns each slot to at most one VM, its limiter. A limiter
/// may hand out operations only while its limiter lease is valid, so that no
/// two VMs ever count for the same organisation at the same time.
#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace teasellock {

/// Number of slots. Each VM that serves callers has a link to every limiter.
constexpr std::uint32_t LimiterSlotCount = 8;

/// The VM process that holds a slot.
struct limiter_holder {
  vm_id Vm;
  incarnation Incarnation;
  endpoint Address;

  bool operator==(const limiter_holder &) const = default;
};

/// The assignment of all slots as known to a VM, and the VM's own lease.
struct limiter_view {
  /// Revision of the assignment; zero before the first one.
  revision Revision;
  /// By slot; empty entries have no holder. Empty while no organisation has a
  /// limit.
  std::vector<std::optional<limiter_holder>> Slots;
  /// Before this instant, this VM may hand out operations of the slots that it
  /// holds. Counts on CLOCK_BOOTTIME, so that time spent suspended is included.
  time_point LeaseEnd;
};

} // namespace teasellock
