/// The PostgreSQL functions that neither change data nor depend on the state of
/// one connection, so that a replica can execute them.
#pragma once

#include <string_view>

namespace teasellock {

/// Reports whether a function of pg_catalog is known to be free of side
/// effects.
bool isSafeFunction(std::string_view Name);

} // namespace teasellock
