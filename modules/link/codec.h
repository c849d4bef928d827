#pragma once

#include "core/error.h"

#include <memory>
#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace teasellock {

/// The largest frame a VM accepts from another, in bytes.
constexpr std::size_t LargestFrame = 64 * 1024 * 1024;

/// Encodes a Thrift struct with the compact protocol.
template <typename Message> std::string encode(const Message &Value) {
  using namespace apache::thrift;
  auto Buffer = std::make_shared<transport::TMemoryBuffer>();
  protocol::TCompactProtocolT<transport::TMemoryBuffer> Protocol(Buffer);
  Value.write(&Protocol);
  return Buffer->getBufferAsString();
}

/// Decodes a Thrift struct. Throws error with step "link.decode" when the
/// bytes are not one.
template <typename Message>
Message decode(std::string_view Bytes, const std::string &Peer) {
  using namespace apache::thrift;
  auto *Data =
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Bytes.data()));
  auto Buffer = std::make_shared<transport::TMemoryBuffer>(
      Data, static_cast<std::uint32_t>(Bytes.size()));
  protocol::TCompactProtocolT<transport::TMemoryBuffer> Protocol(
      Buffer, static_cast<std::int32_t>(LargestFrame),
      static_cast<std::int32_t>(LargestFrame));
  Message Value;
  try {
    Value.read(&Protocol);
  } catch (const std::exception &Problem) {
    throw error("link.decode", Peer, Problem.what());
  }
  return Value;
}

} // namespace teasellock
