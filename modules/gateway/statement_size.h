/// Which statements fit into the memory for statements that are not answered.
#pragma once

#include "modules/gateway/gen/gateway_messages_types.h"

#include <cstddef>

namespace teasellock {

/// Statements up to this size are accepted whatever others occupy, so that
/// ordinary callers are served beside those with long statements.
constexpr std::size_t OrdinaryStatementBytes = 4 * 1024;

/// Returns the bytes of a statement and of the session values that it needs.
std::size_t sizeOf(const wire::statement_request &Request);

/// Reports whether a statement of Bytes fits beside those that occupy UsedBytes
/// of at most MaxBytes. A statement of ordinary size always does.
bool fitsBeside(std::size_t UsedBytes, std::size_t Bytes, std::size_t MaxBytes);

} // namespace teasellock
