#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace teasellock {

/// A payload with magic, length and CRC-32 in front.
std::string frame(std::string_view Payload);

/// What was found at an offset.
struct frame_scan {
  /// Whether a whole frame with a good checksum starts there.
  bool Whole = false;
  std::string_view Payload;
  std::size_t NextOffset = 0;
};

/// Reads the frame at an offset.
frame_scan readFrame(std::string_view Content, std::size_t Offset);

/// Whether a whole frame starts anywhere from an offset on.
bool holdsWholeFrame(std::string_view Content, std::size_t Offset);

} // namespace teasellock
