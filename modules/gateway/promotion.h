#pragma once

#include "modules/control/gen/control_messages_types.h"
#include "modules/gateway/side_session.h"

#include <functional>

namespace teasellock {

/// Makes an upstream the primary of a term: ends its recovery, writes the
/// term's first record and reads back where that is. Idempotent: steps that
/// were done before are left out. An upstream of a higher term is left alone.
void startPromotion(daemon_context &Context, upstream_target Target,
                    const wire::promote &Order,
                    std::function<void(wire::promote_reply)> Answer);

} // namespace teasellock
