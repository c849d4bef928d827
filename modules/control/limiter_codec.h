/// Conversions between the assignment of limiters and its wire types.
#pragma once

#include "modules/control/gen/control_messages_types.h"
#include "modules/limits/limiter_view.h"

namespace teasellock {

wire::limiter_holder toWire(const std::optional<limiter_holder> &Holder);

/// Returns nothing for a slot without a holder. Throws error if the address is
/// malformed.
std::optional<limiter_holder> fromWire(const wire::limiter_holder &Holder);

} // namespace teasellock
