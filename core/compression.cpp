#include "core/compression.h"

#include "core/error.h"

#include <cstdint>
#include <zlib.h>

namespace teasellock {

namespace {

/// Bytes before the compressed ones that tell the length of the text.
constexpr std::size_t LengthBytes = 4;

std::string lengthOf(std::size_t Size) {
  std::string Result(LengthBytes, '\0');
  for (std::size_t Byte = 0; Byte < LengthBytes; ++Byte)
    Result[Byte] = static_cast<char>(Size >> (8 * Byte));
  return Result;
}

std::size_t readLength(std::string_view Bytes) {
  std::size_t Size = 0;
  for (std::size_t Byte = 0; Byte < LengthBytes; ++Byte)
    Size |= static_cast<std::size_t>(static_cast<std::uint8_t>(Bytes[Byte]))
            << (8 * Byte);
  return Size;
}

} // namespace

std::string compress(std::string_view Text) {
  uLongf Length = compressBound(Text.size());
  std::string Result = lengthOf(Text.size());
  Result.resize(LengthBytes + Length);
  int Status = ::compress(
      reinterpret_cast<Bytef *>(Result.data() + LengthBytes), &Length,
      reinterpret_cast<const Bytef *>(Text.data()), Text.size());
  if (Status != Z_OK)
    throw error("core.compress", "zlib", "status " + std::to_string(Status));
  Result.resize(LengthBytes + Length);
  return Result;
}

std::string decompress(std::string_view Bytes, std::size_t Most) {
  if (Bytes.size() < LengthBytes || readLength(Bytes) > Most)
    throw error("core.decompress", "zlib", "the length can't be right");
  std::string Result(readLength(Bytes), '\0');
  uLongf Length = Result.size();
  int Status =
      ::uncompress(reinterpret_cast<Bytef *>(Result.data()), &Length,
                   reinterpret_cast<const Bytef *>(Bytes.data() + LengthBytes),
                   Bytes.size() - LengthBytes);
  if (Status != Z_OK || Length != Result.size())
    throw error("core.decompress", "zlib", "status " + std::to_string(Status));
  return Result;
}

} // namespace teasellock
