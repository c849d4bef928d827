#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace teasellock {

/// Returns the payload with a header: magic "TLR1", then the payload's length
/// in bytes and its CRC-32, both as 32-bit big-endian numbers.
std::string encodeFrame(std::string_view Payload);

/// The result of reading a frame.
struct frame_result {
  /// Whether a complete frame with a correct checksum was found.
  bool IsValid = false;
  /// A view into the content that was read.
  std::string_view Payload;
  /// Offset of the first byte after the frame.
  std::size_t NextOffset = 0;
};

/// Reads the frame that starts at an offset.
frame_result readFrame(std::string_view Content, std::size_t Offset);

/// Reports whether a valid frame starts at the offset or anywhere after it.
bool containsValidFrame(std::string_view Content, std::size_t Offset);

} // namespace teasellock
