#include "modules/link/link_frames.h"

#include "core/error.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

const std::string Peer = "peer";

wire::envelope envelopeOf(std::int16_t Kind, std::string Body) {
  wire::envelope Envelope;
  Envelope.kind = Kind;
  Envelope.request = 7;
  Envelope.body = std::move(Body);
  return Envelope;
}

/// A statement as entries send it: an id, a name and a random argument.
std::string statementText(int Number) {
  std::string Text = "despacho WRITE viaje-" + std::to_string(Number) + " ";
  for (int I = 0; I < 200; ++I)
    Text += static_cast<char>('a' + (Number * 31 + I * 17) % 26);
  return Text;
}

std::vector<std::string> receiveAll(frame_decoder &Decoder,
                                    std::string_view Bytes) {
  std::vector<std::string> Bodies;
  addReceived(Decoder, Bytes);
  while (auto Envelope = nextFrame(Decoder, Peer))
    Bodies.push_back(Envelope->body);
  return Bodies;
}

/// Reads until the bytes turn out to be malformed or incomplete.
void readMalformed(std::string_view Bytes) {
  frame_decoder Decoder;
  try {
    receiveAll(Decoder, Bytes);
  } catch (const error &) {
    // The connection is closed.
  }
}

} // namespace

TEST_CASE("link: frames arrive as they were sent, with and without "
          "compression, however the bytes are divided") {
  bool Passed = rc::check("frames survive", [] {
    frame_encoder Encoder;
    frame_decoder Decoder;
    std::vector<std::string> Sent;
    std::vector<std::string> Received;
    int Steps = *rc::gen::inRange(1, 60);
    for (int Step = 0; Step < Steps; ++Step) {
      Encoder.Compresses = Encoder.Compresses || *rc::gen::arbitrary<bool>();
      if (*rc::gen::inRange(0, 6) == 0)
        if (endStream(Encoder))
          RC_ASSERT(!Encoder.Stream);
      int Frames = *rc::gen::inRange(0, 4);
      for (int I = 0; I < Frames; ++I) {
        bool IsMessage = *rc::gen::arbitrary<bool>();
        std::string Body = IsMessage
                               ? *rc::gen::arbitrary<std::string>() +
                                     statementText(*rc::gen::inRange(0, 50))
                               : "";
        addFrame(Encoder, envelopeOf(IsMessage ? 300 : 1, Body), IsMessage);
        Sent.push_back(Body);
      }
      std::string Bytes = takeFrames(Encoder);
      std::size_t Start = 0;
      while (Start < Bytes.size()) {
        auto Length = *rc::gen::inRange<std::size_t>(1, 400);
        for (auto &Body :
             receiveAll(Decoder, std::string_view(Bytes).substr(Start, Length)))
          Received.push_back(std::move(Body));
        Start += Length;
      }
    }
    RC_ASSERT(Received == Sent);
    RC_ASSERT(Decoder.Received.empty());
  });
  CHECK(Passed);
}

TEST_CASE("link: statements between zones need a third fewer bytes, and idle "
          "links no stream") {
  frame_encoder Plain;
  frame_encoder Compressing;
  Compressing.Compresses = true;
  std::size_t PlainBytes = 0;
  std::size_t CompressedBytes = 0;
  for (int I = 0; I < 200; ++I) {
    auto Envelope = envelopeOf(300, statementText(I));
    addFrame(Plain, Envelope, true);
    addFrame(Compressing, Envelope, true);
    PlainBytes += takeFrames(Plain).size();
    CompressedBytes += takeFrames(Compressing).size();
  }
  CHECK(CompressedBytes * 3 < PlainBytes * 2);
  CHECK(endStream(Compressing));
  CHECK_FALSE(Compressing.Stream);
  CHECK_FALSE(endStream(Compressing));
  frame_encoder Idle;
  Idle.Compresses = true;
  addFrame(Idle, envelopeOf(1, ""), false);
  takeFrames(Idle);
  CHECK_FALSE(Idle.Stream);
}

TEST_CASE("link: malformed frames end in an error, whatever was changed") {
  bool Passed = rc::check("mutated frames", [] {
    frame_encoder Encoder;
    Encoder.Compresses = *rc::gen::arbitrary<bool>();
    std::string Bytes;
    for (int I = *rc::gen::inRange(1, 5); I > 0; --I) {
      addFrame(Encoder, envelopeOf(300, statementText(I)), true);
      Bytes += takeFrames(Encoder);
    }
    for (int Change = *rc::gen::inRange(1, 6); Change > 0; --Change) {
      auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
      switch (*rc::gen::inRange(0, 4)) {
      case 0:
        Bytes[At] = static_cast<char>(*rc::gen::inRange(0, 256));
        break;
      case 1:
        Bytes.resize(At + 1);
        break;
      case 2:
        Bytes.insert(At, Bytes.substr(At / 2, 40));
        break;
      default:
        Bytes.insert(At, *rc::gen::arbitrary<std::string>());
      }
    }
    readMalformed(Bytes);
  });
  CHECK(Passed);
}

TEST_CASE("link: a compressed block without its stream, or within another "
          "block, is malformed") {
  frame_encoder Encoder;
  Encoder.Compresses = true;
  addFrame(Encoder, envelopeOf(300, statementText(1)), true);
  std::string First = takeFrames(Encoder);
  addFrame(Encoder, envelopeOf(300, statementText(2)), true);
  std::string Second = takeFrames(Encoder);
  frame_decoder Fresh;
  addReceived(Fresh, Second);
  CHECK_THROWS_AS(nextFrame(Fresh, Peer), error);
  frame_encoder Outer;
  Outer.Compresses = true;
  Outer.Pending = First;
  Outer.HasCompressible = true;
  frame_decoder Nested;
  addReceived(Nested, takeFrames(Outer));
  CHECK_THROWS_AS(nextFrame(Nested, Peer), error);
}
