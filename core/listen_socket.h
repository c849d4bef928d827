#pragma once

#include "core/endpoint.h"

#include <string>

namespace teasellock {

/// Opens a listening socket that does not block. Port 0 in Bound takes a free
/// one and is replaced by it. Throws error with the given step when the
/// endpoint can't be bound.
int openListenSocket(endpoint &Bound, int Backlog, const std::string &Step);

} // namespace teasellock
