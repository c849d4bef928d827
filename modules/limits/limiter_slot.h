/// The slot of an organisation: which of the limiters counts its operations.
#pragma once

#include "modules/deployment/deployment.h"

#include <cstdint>
#include <string_view>

namespace teasellock {

/// Returns a hash of a name (FNV-1a, 64 bit), the same on all VMs and in all
/// versions.
std::uint64_t hashOfName(std::string_view Name);

/// Returns the slot of an organisation, below LimiterSlotCount. The same on all
/// VMs and in all versions: a hash of the name (FNV-1a, 64 bit).
std::uint32_t limiterSlotOf(const organisation_id &Organisation);

} // namespace teasellock
