/// Encoding of Thrift structs with the compact protocol, for frames between
/// VMs and for files.
#pragma once

#include "core/error.h"

#include <memory>
#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace teasellock {

/// Maximum size in bytes of a frame that a VM accepts from another one.
constexpr std::size_t MaxFrameBytes = 64 * 1024 * 1024;

/// Returns a Thrift struct in the compact protocol.
template <typename Message> std::string encode(const Message &Value) {
  using namespace apache::thrift;
  auto Buffer = std::make_shared<transport::TMemoryBuffer>();
  protocol::TCompactProtocolT<transport::TMemoryBuffer> Protocol(Buffer);
  Value.write(&Protocol);
  return Buffer->getBufferAsString();
}

/// Decodes a Thrift struct. Peer names the source of the bytes in errors.
/// Throws error with step "link.decode" if the bytes are not a valid struct.
template <typename Message>
Message decode(std::string_view Bytes, const std::string &Peer) {
  using namespace apache::thrift;
  auto *Data =
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Bytes.data()));
  auto Buffer = std::make_shared<transport::TMemoryBuffer>(
      Data, static_cast<std::uint32_t>(Bytes.size()));
  protocol::TCompactProtocolT<transport::TMemoryBuffer> Protocol(
      Buffer, static_cast<std::int32_t>(MaxFrameBytes),
      static_cast<std::int32_t>(MaxFrameBytes));
  Message Value;
  try {
    Value.read(&Protocol);
  } catch (const std::exception &Problem) {
    throw error("link.decode", Peer, Problem.what());
  }
  return Value;
}

} // namespace teasellock
