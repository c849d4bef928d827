#pragma once

#include <string>
#include <string_view>

namespace teasellock {

/// Compresses text with zlib.
std::string compress(std::string_view Text);

/// Restores what compress() was given. Throws error with step "core.decompress"
/// when the bytes are not its result, or would be longer than Most bytes.
std::string decompress(std::string_view Bytes, std::size_t Most);

} // namespace teasellock
