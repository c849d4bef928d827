#include "core/stream_compression.h"

#include "core/error.h"

#include <algorithm>
#include <zlib.h>

namespace teasellock {

namespace {

/// Base-two logarithm of the window in bytes; negative for raw DEFLATE. The
/// window covers the last few messages.
constexpr int WindowBits = 11;
/// Memory of the compressor, 1 to 9.
constexpr int MemoryLevel = 3;
constexpr int CompressionLevel = 6;
constexpr std::size_t BufferBytes = 4096;
/// The end of each flushed block, which RFC 7692 leaves out in the same way.
constexpr std::string_view FlushMarker("\0\0\xff\xff", 4);

/// zlib does not change its input but takes it as non-const.
Bytef *inputOf(std::string_view Text) {
  return reinterpret_cast<Bytef *>(const_cast<char *>(Text.data()));
}

[[noreturn]] void fail(const std::string &Step, const std::string &Reason) {
  throw error(Step, "zlib", Reason);
}

} // namespace

struct stream_compressor::state {
  z_stream Stream = {};
};

struct stream_decompressor::state {
  z_stream Stream = {};
};

stream_compressor::stream_compressor() : State(std::make_unique<state>()) {
  int Status = ::deflateInit2(&State->Stream, CompressionLevel, Z_DEFLATED,
                              -WindowBits, MemoryLevel, Z_DEFAULT_STRATEGY);
  if (Status != Z_OK)
    fail("core.compress", "status " + std::to_string(Status));
}

stream_compressor::~stream_compressor() { ::deflateEnd(&State->Stream); }

std::string stream_compressor::compress(std::string_view Block) {
  auto &Stream = State->Stream;
  std::string Result;
  char Buffer[BufferBytes];
  Stream.next_in = inputOf(Block);
  Stream.avail_in = static_cast<uInt>(Block.size());
  do {
    Stream.next_out = reinterpret_cast<Bytef *>(Buffer);
    Stream.avail_out = sizeof(Buffer);
    int Status = ::deflate(&Stream, Z_SYNC_FLUSH);
    if (Status != Z_OK && Status != Z_BUF_ERROR)
      fail("core.compress", "status " + std::to_string(Status));
    Result.append(Buffer, sizeof(Buffer) - Stream.avail_out);
  } while (Stream.avail_out == 0);
  if (Result.ends_with(FlushMarker))
    Result.resize(Result.size() - FlushMarker.size());
  return Result;
}

stream_decompressor::stream_decompressor() : State(std::make_unique<state>()) {
  int Status = ::inflateInit2(&State->Stream, -WindowBits);
  if (Status != Z_OK)
    fail("core.decompress", "status " + std::to_string(Status));
}

stream_decompressor::~stream_decompressor() { ::inflateEnd(&State->Stream); }

std::string stream_decompressor::decompress(std::string_view Block,
                                            std::size_t MaxBytes) {
  auto &Stream = State->Stream;
  std::string Result;
  char Buffer[BufferBytes];
  for (std::string_view Part : {Block, FlushMarker}) {
    Stream.next_in = inputOf(Part);
    Stream.avail_in = static_cast<uInt>(Part.size());
    do {
      Stream.next_out = reinterpret_cast<Bytef *>(Buffer);
      Stream.avail_out = sizeof(Buffer);
      int Status = ::inflate(&Stream, Z_SYNC_FLUSH);
      if (Status != Z_OK && Status != Z_BUF_ERROR)
        fail("core.decompress", "status " + std::to_string(Status));
      Result.append(Buffer, sizeof(Buffer) - Stream.avail_out);
      if (Result.size() > MaxBytes)
        fail("core.decompress", "the block exceeds the limit");
    } while (Stream.avail_out == 0);
    if (Stream.avail_in != 0)
      fail("core.decompress", "bytes after the end of the block");
  }
  return Result;
}

} // namespace teasellock
