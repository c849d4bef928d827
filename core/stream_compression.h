/// Compression of a sequence of blocks on one connection. Blocks may repeat
/// what earlier blocks contain, which small messages of the same kind do.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace teasellock {

/// Compresses blocks with DEFLATE (RFC 1951). Needs about 18 KB of memory.
class stream_compressor {
public:
  stream_compressor();
  ~stream_compressor();

  /// Returns the block compressed, so that the decompressor can restore it
  /// without later blocks. Throws error with step "core.compress".
  std::string compress(std::string_view Block);

private:
  struct state;
  std::unique_ptr<state> State;
};

/// Restores the blocks of one stream_compressor, in their order. Needs about
/// 10 KB of memory.
class stream_decompressor {
public:
  stream_decompressor();
  ~stream_decompressor();

  /// Returns the original block. Throws error with step "core.decompress" if
  /// Block is malformed or the original is longer than MaxBytes; the object
  /// can't be used afterwards.
  std::string decompress(std::string_view Block, std::size_t MaxBytes);

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
