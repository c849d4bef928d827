#pragma once

#include "modules/table/table_row.h"

#include <nlohmann/json_fwd.hpp>

namespace teasellock {

/// Converts a row to the JSON of the HTTP API: an object with a field for each
/// fixed column, durations in milliseconds, and "age", an object of the
/// tolerated age in milliseconds by read kind.
nlohmann::json toJson(const table_row &Row);

/// Parses such an object. Missing columns have their defaults. Throws error
/// with step "table.check" and the field as the peer.
table_row rowFromJson(const nlohmann::json &Json);

} // namespace teasellock
