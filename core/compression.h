#pragma once

#include <string>
#include <string_view>

namespace teasellock {

/// Compresses Text with zlib. The result starts with the length of Text as four
/// bytes, least significant first. Throws error with step "core.compress".
std::string compress(std::string_view Text);

/// Decompresses the result of compress(). Throws error with step
/// "core.decompress" when Bytes is malformed or the decompressed text would be
/// longer than MaxBytes.
std::string decompress(std::string_view Bytes, std::size_t MaxBytes);

} // namespace teasellock
