/// Functions of PostgreSQL that neither change data nor depend on the state of
/// one connection, so that a replica can serve them.
#pragma once

#include <string_view>

namespace teasellock {

/// Whether a function of pg_catalog is known to be free of side effects.
bool isSafeFunction(std::string_view Name);

} // namespace teasellock
