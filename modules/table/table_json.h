#pragma once

#include "modules/table/table_row.h"

#include <nlohmann/json_fwd.hpp>

namespace teasellock {

/// A row as the HTTP API shows it: every column by name, spans in
/// milliseconds, "age" an object of read kinds.
nlohmann::json toJson(const table_row &Row);

/// Reads such an object. Columns left out have their defaults. Throws error
/// with the field as the peer.
table_row rowFromJson(const nlohmann::json &Json);

} // namespace teasellock
