/// Names of consistency guarantees, as operators read them.
#pragma once

#include "modules/deployment/deployment.h"

#include <optional>
#include <string_view>

namespace teasellock {

/// Returns "primary", "bounded_staleness" or "read_your_writes".
const char *nameOf(consistency Consistency);

/// Returns the consistency with that name; nullopt if there is none.
std::optional<consistency> findConsistency(std::string_view Name);

} // namespace teasellock
