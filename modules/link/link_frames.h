/// Frames on a connection between two VMs: a length of four bytes, most
/// significant first, and an envelope in the compact protocol.
///
/// Between availability zones, where traffic is billed, frames are compressed:
/// the highest bit of a length marks a compressed block of whole frames, the
/// next one the first block of a new stream (core/stream_compression.h). A
/// stream ends when its link becomes idle, so that idle links need no memory
/// for it. Only peers whose hello accepts compression receive such blocks.
#pragma once

#include "core/stream_compression.h"
#include "modules/link/gen/link_messages_types.h"

#include <memory>
#include <optional>
#include <string>

namespace teasellock {

/// Frames that are to be sent on a connection.
struct frame_encoder {
  /// Whether the peer accepts compressed blocks and they are worth it.
  bool Compresses = false;
  /// Encoded frames that takeFrames() has not returned yet.
  std::string Pending;
  /// Whether one of them is worth compressing.
  bool HasCompressible = false;
  std::unique_ptr<stream_compressor> Stream;
  /// The peer has not been told yet that the last stream has ended.
  bool EndsStream = false;
};

/// Bytes that have been received on a connection.
struct frame_decoder {
  /// Received bytes from the first incomplete frame on.
  std::string Received;
  std::size_t ReceivedStart = 0;
  /// The current compressed block, and where its next frame starts.
  std::string Block;
  std::size_t BlockStart = 0;
  std::unique_ptr<stream_decompressor> Stream;
};

/// Adds a frame. IsCompressible: it is worth the processor time of compressing
/// the pending frames. Returns its size in bytes before compression.
std::size_t addFrame(frame_encoder &Encoder, const wire::envelope &Envelope,
                     bool IsCompressible);

/// Returns the bytes to send for all frames added since the last call.
std::string takeFrames(frame_encoder &Encoder);

/// Ends the compressed stream, if there is one. Reports whether there was, so
/// that takeFrames() has to be called.
bool endStream(frame_encoder &Encoder);

/// Adds received bytes.
void addReceived(frame_decoder &Decoder, std::string_view Bytes);

/// Returns the next envelope, or nothing until more bytes have been received.
/// Throws error with step "link.read", "link.decode" or "core.decompress" if
/// the bytes are malformed; the connection has to be closed then.
std::optional<wire::envelope> nextFrame(frame_decoder &Decoder,
                                        const std::string &Peer);

} // namespace teasellock
