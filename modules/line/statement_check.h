/// The check of statements that other VMs forward.
#pragma once

#include "modules/gateway/gen/gateway_messages_types.h"

namespace teasellock {

/// Reports whether each text of the statement and of its session's settings can
/// be sent to an upstream as a part of one line. An entry forwards only such
/// statements; a gateway refuses any other before it waits in a queue.
bool isEncodable(const wire::statement_request &Request);

} // namespace teasellock
