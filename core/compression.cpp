#include "core/compression.h"

#include "core/error.h"

#include <cstdint>
#include <zlib.h>

namespace teasellock {

namespace {

/// Size of the prefix that holds the length of the uncompressed text.
constexpr std::size_t LengthPrefixBytes = 4;

std::string encodeLength(std::size_t Size) {
  std::string Result(LengthPrefixBytes, '\0');
  for (std::size_t Byte = 0; Byte < LengthPrefixBytes; ++Byte)
    Result[Byte] = static_cast<char>(Size >> (8 * Byte));
  return Result;
}

std::size_t decodeLength(std::string_view Bytes) {
  std::size_t Size = 0;
  for (std::size_t Byte = 0; Byte < LengthPrefixBytes; ++Byte)
    Size |= static_cast<std::size_t>(static_cast<std::uint8_t>(Bytes[Byte]))
            << (8 * Byte);
  return Size;
}

} // namespace

std::string compress(std::string_view Text) {
  uLongf Length = compressBound(Text.size());
  std::string Result = encodeLength(Text.size());
  Result.resize(LengthPrefixBytes + Length);
  int Status = ::compress(
      reinterpret_cast<Bytef *>(Result.data() + LengthPrefixBytes), &Length,
      reinterpret_cast<const Bytef *>(Text.data()), Text.size());
  if (Status != Z_OK)
    throw error("core.compress", "zlib", "status " + std::to_string(Status));
  Result.resize(LengthPrefixBytes + Length);
  return Result;
}

std::string decompress(std::string_view Bytes, std::size_t MaxBytes) {
  if (Bytes.size() < LengthPrefixBytes || decodeLength(Bytes) > MaxBytes)
    throw error("core.decompress", "zlib",
                "the length prefix is missing or exceeds the limit");
  std::string Result(decodeLength(Bytes), '\0');
  uLongf Length = Result.size();
  int Status = ::uncompress(
      reinterpret_cast<Bytef *>(Result.data()), &Length,
      reinterpret_cast<const Bytef *>(Bytes.data() + LengthPrefixBytes),
      Bytes.size() - LengthPrefixBytes);
  if (Status != Z_OK || Length != Result.size())
    throw error("core.decompress", "zlib", "status " + std::to_string(Status));
  return Result;
}

} // namespace teasellock
