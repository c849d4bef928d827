#pragma once

#include "core/endpoint.h"

#include <string>

namespace teasellock {

/// Opens a non-blocking listening socket and returns its descriptor, which the
/// caller of the function owns. If the port is 0, a free one is chosen and
/// stored in Endpoint. Throws error with the given step when the endpoint can't
/// be bound.
int openListenSocket(endpoint &Endpoint, int Backlog, const std::string &Step);

} // namespace teasellock
