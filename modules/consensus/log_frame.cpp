#include "modules/consensus/log_frame.h"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <cstdint>

namespace teasellock {

namespace {

constexpr std::string_view Magic = "TLR1";
constexpr std::size_t LengthOffset = 4;
constexpr std::size_t ChecksumOffset = 8;
constexpr std::size_t HeaderSize = 12;

std::uint32_t checksum(std::string_view Payload) {
  boost::crc_32_type Checksum;
  Checksum.process_bytes(Payload.data(), Payload.size());
  return Checksum.checksum();
}

std::uint32_t readNumber(std::string_view Content, std::size_t Offset) {
  return boost::endian::load_big_u32(
      reinterpret_cast<const unsigned char *>(Content.data() + Offset));
}

void appendNumber(std::string &To, std::size_t Number) {
  unsigned char Bytes[4];
  boost::endian::store_big_u32(Bytes, static_cast<std::uint32_t>(Number));
  To.append(reinterpret_cast<const char *>(Bytes), sizeof(Bytes));
}

} // namespace

std::string encodeFrame(std::string_view Payload) {
  std::string Bytes(Magic);
  appendNumber(Bytes, Payload.size());
  appendNumber(Bytes, checksum(Payload));
  Bytes.append(Payload);
  return Bytes;
}

frame_result readFrame(std::string_view Content, std::size_t Offset) {
  frame_result Frame;
  if (Content.size() < Offset + HeaderSize ||
      Content.substr(Offset, Magic.size()) != Magic)
    return Frame;
  std::size_t Length = readNumber(Content, Offset + LengthOffset);
  if (Content.size() - Offset - HeaderSize < Length)
    return Frame;
  Frame.Payload = Content.substr(Offset + HeaderSize, Length);
  Frame.IsValid =
      checksum(Frame.Payload) == readNumber(Content, Offset + ChecksumOffset);
  Frame.NextOffset = Offset + HeaderSize + Length;
  return Frame;
}

bool containsValidFrame(std::string_view Content, std::size_t Offset) {
  for (std::size_t At = Content.find(Magic, Offset);
       At != std::string_view::npos; At = Content.find(Magic, At + 1))
    if (readFrame(Content, At).IsValid)
      return true;
  return false;
}

} // namespace teasellock
