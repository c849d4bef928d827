#include "modules/link/link_frames.h"

#include "core/error.h"
#include "modules/link/codec.h"

#include <arpa/inet.h>
#include <cstring>
#include <utility>

namespace teasellock {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::uint32_t CompressedBit = 1U << 31;
constexpr std::uint32_t NewStreamBit = 1U << 30;
constexpr std::uint32_t LengthMask = NewStreamBit - 1;
/// Kind of the frame that ends a compressed stream. It has no body.
constexpr std::int16_t StreamEndKind = 4;

std::string encodeLength(std::size_t Length, std::uint32_t Bits) {
  std::uint32_t Word = htonl(static_cast<std::uint32_t>(Length) | Bits);
  return {reinterpret_cast<const char *>(&Word), LengthBytes};
}

std::string encodeFrame(const wire::envelope &Envelope) {
  std::string Body = encode(Envelope);
  return encodeLength(Body.size(), 0) + Body;
}

/// The first frame or block of Bytes.
struct raw_frame {
  std::uint32_t Bits = 0;
  std::string_view Body;

  std::size_t size() const { return LengthBytes + Body.size(); }
};

std::optional<raw_frame> parseFrame(std::string_view Bytes,
                                    const std::string &Peer) {
  if (Bytes.size() < LengthBytes)
    return std::nullopt;
  std::uint32_t Word;
  std::memcpy(&Word, Bytes.data(), LengthBytes);
  Word = ntohl(Word);
  std::size_t Length = Word & LengthMask;
  if (Length > MaxFrameBytes)
    throw error("link.read", Peer,
                "frame of " + std::to_string(Length) + " bytes is too long");
  if (Bytes.size() - LengthBytes < Length)
    return std::nullopt;
  return raw_frame{Word & ~LengthMask, Bytes.substr(LengthBytes, Length)};
}

void openBlock(frame_decoder &Decoder, const raw_frame &Frame,
               const std::string &Peer) {
  if ((Frame.Bits & NewStreamBit) != 0)
    Decoder.Stream = std::make_unique<stream_decompressor>();
  if (!Decoder.Stream)
    throw error("link.read", Peer, "a compressed block without a stream");
  Decoder.Block = Decoder.Stream->decompress(Frame.Body, MaxFrameBytes);
  Decoder.BlockStart = 0;
}

/// Returns the next frame of the current compressed block, which has one.
wire::envelope takeFromBlock(frame_decoder &Decoder, const std::string &Peer) {
  auto Frame = parseFrame(
      std::string_view(Decoder.Block).substr(Decoder.BlockStart), Peer);
  if (!Frame || Frame->Bits != 0)
    throw error("link.read", Peer, "a compressed block has incomplete frames");
  auto Envelope = decode<wire::envelope>(Frame->Body, Peer);
  Decoder.BlockStart += Frame->size();
  if (Decoder.BlockStart == Decoder.Block.size()) {
    Decoder.Block = std::string();
    Decoder.BlockStart = 0;
  }
  return Envelope;
}

/// Returns the next envelope, including those for the decoder itself.
std::optional<wire::envelope> takeFrame(frame_decoder &Decoder,
                                        const std::string &Peer) {
  for (;;) {
    if (Decoder.BlockStart < Decoder.Block.size())
      return takeFromBlock(Decoder, Peer);
    auto Frame = parseFrame(
        std::string_view(Decoder.Received).substr(Decoder.ReceivedStart), Peer);
    if (!Frame) {
      Decoder.Received.erase(0, std::exchange(Decoder.ReceivedStart, 0));
      return std::nullopt;
    }
    Decoder.ReceivedStart += Frame->size();
    if ((Frame->Bits & CompressedBit) == 0)
      return decode<wire::envelope>(Frame->Body, Peer);
    openBlock(Decoder, *Frame, Peer);
  }
}

wire::envelope streamEnd() {
  wire::envelope Envelope;
  Envelope.kind = StreamEndKind;
  return Envelope;
}

} // namespace

std::size_t addFrame(frame_encoder &Encoder, const wire::envelope &Envelope,
                     bool IsCompressible) {
  std::string Frame = encodeFrame(Envelope);
  Encoder.Pending += Frame;
  Encoder.HasCompressible = Encoder.HasCompressible || IsCompressible;
  return Frame.size();
}

std::string takeFrames(frame_encoder &Encoder) {
  std::string Frames = std::exchange(Encoder.Pending, {});
  bool IsCompressible = std::exchange(Encoder.HasCompressible, false);
  std::string Result;
  // Outside of the block, which may start the next stream.
  if (std::exchange(Encoder.EndsStream, false))
    Result = encodeFrame(streamEnd());
  if (!Encoder.Compresses || !IsCompressible || Frames.size() > MaxFrameBytes)
    return Result + Frames;
  std::uint32_t Bits = CompressedBit;
  if (!Encoder.Stream) {
    Encoder.Stream = std::make_unique<stream_compressor>();
    Bits |= NewStreamBit;
  }
  std::string Block = Encoder.Stream->compress(Frames);
  return Result + encodeLength(Block.size(), Bits) + Block;
}

bool endStream(frame_encoder &Encoder) {
  if (!Encoder.Stream)
    return false;
  Encoder.Stream.reset();
  Encoder.EndsStream = true;
  return true;
}

void addReceived(frame_decoder &Decoder, std::string_view Bytes) {
  Decoder.Received.append(Bytes);
}

std::optional<wire::envelope> nextFrame(frame_decoder &Decoder,
                                        const std::string &Peer) {
  for (;;) {
    auto Envelope = takeFrame(Decoder, Peer);
    if (!Envelope || Envelope->kind != StreamEndKind)
      return Envelope;
    Decoder.Stream.reset();
  }
}

} // namespace teasellock
