#include "modules/caller/wire_format.h"

#include <arpa/inet.h>
#include <cstring>

namespace teasellock::pg {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t MinStartupPacketBytes = 8;
constexpr std::int32_t TextOid = 25;

std::int32_t readInt32(std::string_view Bytes) {
  std::uint32_t Value;
  std::memcpy(&Value, Bytes.data(), sizeof(Value));
  return static_cast<std::int32_t>(ntohl(Value));
}

} // namespace

std::optional<frame> nextFrame(std::string_view Bytes, bool Startup) {
  std::size_t TypeBytes = Startup ? 0 : 1;
  if (Bytes.size() < TypeBytes + LengthBytes)
    return std::nullopt;
  auto Length = readInt32(Bytes.substr(TypeBytes));
  auto MinLength = Startup ? MinStartupPacketBytes : LengthBytes;
  auto MaxLength = Startup ? MaxStartupPacketBytes : MaxMessageBytes;
  if (Length < 0 || static_cast<std::size_t>(Length) < MinLength)
    throw protocol_error{"invalid message length"};
  if (static_cast<std::size_t>(Length) > MaxLength)
    throw protocol_error{"message of " + std::to_string(Length) +
                         " bytes is too long"};
  std::size_t Size = TypeBytes + static_cast<std::size_t>(Length);
  if (Bytes.size() < Size)
    return std::nullopt;
  frame Frame;
  Frame.Type = Startup ? '\0' : Bytes[0];
  Frame.Body = Bytes.substr(TypeBytes + LengthBytes,
                            static_cast<std::size_t>(Length) - LengthBytes);
  Frame.Size = Size;
  return Frame;
}

std::string_view field_reader::bytes(std::size_t Count) {
  if (Count > Bytes.size())
    throw protocol_error{"insufficient data left in message"};
  auto Result = Bytes.substr(0, Count);
  Bytes.remove_prefix(Count);
  return Result;
}

std::uint8_t field_reader::byte() {
  return static_cast<std::uint8_t>(bytes(1)[0]);
}

std::int16_t field_reader::int16() {
  std::uint16_t Value;
  std::memcpy(&Value, bytes(sizeof(Value)).data(), sizeof(Value));
  return static_cast<std::int16_t>(ntohs(Value));
}

std::int32_t field_reader::int32() {
  return readInt32(bytes(sizeof(std::int32_t)));
}

std::int32_t field_reader::count16() {
  return static_cast<std::uint16_t>(int16());
}

std::string_view field_reader::cString() {
  auto End = Bytes.find('\0');
  if (End == std::string_view::npos)
    throw protocol_error{"invalid string in message"};
  auto Result = Bytes.substr(0, End);
  Bytes.remove_prefix(End + 1);
  return Result;
}

void field_reader::expectEnd() const {
  if (!Bytes.empty())
    throw protocol_error{"invalid message format"};
}

message_writer &message_writer::byte(char Value) {
  Body += Value;
  return *this;
}

message_writer &message_writer::int16(std::int16_t Value) {
  std::uint16_t Network = htons(static_cast<std::uint16_t>(Value));
  Body.append(reinterpret_cast<const char *>(&Network), sizeof(Network));
  return *this;
}

message_writer &message_writer::int32(std::int32_t Value) {
  std::uint32_t Network = htonl(static_cast<std::uint32_t>(Value));
  Body.append(reinterpret_cast<const char *>(&Network), sizeof(Network));
  return *this;
}

message_writer &message_writer::cString(std::string_view Value) {
  Body += Value;
  Body += '\0';
  return *this;
}

message_writer &message_writer::bytes(std::string_view Value) {
  Body += Value;
  return *this;
}

void message_writer::append(std::string &Out) const {
  Out += Type;
  std::uint32_t Length =
      htonl(static_cast<std::uint32_t>(Body.size() + LengthBytes));
  Out.append(reinterpret_cast<const char *>(&Length), sizeof(Length));
  Out += Body;
}

void appendEmptyMessage(std::string &Out, char Type) {
  message_writer(Type).append(Out);
}

void appendReadyForQuery(std::string &Out, char TransactionStatus) {
  message_writer('Z').byte(TransactionStatus).append(Out);
}

void appendParameterStatus(std::string &Out, std::string_view Name,
                           std::string_view Value) {
  message_writer('S').cString(Name).cString(Value).append(Out);
}

void appendCommandComplete(std::string &Out, std::string_view Tag) {
  message_writer('C').cString(Tag).append(Out);
}

void appendError(std::string &Out, std::string_view Severity,
                 std::string_view Code, std::string_view Text) {
  message_writer Message(Severity == "WARNING" ? 'N' : 'E');
  Message.byte('S').cString(Severity).byte('V').cString(Severity);
  Message.byte('C').cString(Code).byte('M').cString(Text).byte('\0');
  Message.append(Out);
}

void appendTextColumn(std::string &Out, std::string_view Name) {
  message_writer Message('T');
  Message.int16(1).cString(Name).int32(0).int16(0);
  Message.int32(TextOid).int16(-1).int32(-1).int16(0);
  Message.append(Out);
}

void appendTextRow(std::string &Out, std::string_view Value) {
  message_writer Message('D');
  Message.int16(1).int32(static_cast<std::int32_t>(Value.size()));
  Message.bytes(Value).append(Out);
}

std::string_view sqlStateOf(std::string_view ErrorBody) {
  try {
    field_reader Fields(ErrorBody);
    while (!Fields.atEnd()) {
      auto Field = Fields.byte();
      if (Field == 0)
        return {};
      auto Value = Fields.cString();
      if (Field == 'C')
        return Value;
    }
  } catch (const protocol_error &) {
  }
  return {};
}

} // namespace teasellock::pg
