#pragma once

#include "modules/control/gen/control_messages_types.h"
#include "modules/gateway/auxiliary_session.h"

#include <functional>

namespace teasellock {

/// Makes an upstream the primary of a term: ends its recovery, writes the
/// term's first record and reads its position back. Idempotent: steps that have
/// been done are skipped. An upstream of a higher term is not changed. Answer
/// is called once, with `done` or with the problem.
void startPromotion(daemon_context &Context, upstream_target Target,
                    const wire::promote &Order,
                    std::function<void(wire::promote_reply)> Answer);

} // namespace teasellock
