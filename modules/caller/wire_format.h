/// The v3 protocol's messages as bytes: cutting frames out of a stream,
/// reading their fields, and building the messages that the entry sends.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace teasellock::pg {

/// The largest message a caller may send, in bytes.
constexpr std::size_t LargestMessage = 64 * 1024 * 1024;
/// The largest startup packet, in bytes.
constexpr std::size_t LargestStartup = 10000;

/// Codes in place of a protocol version.
constexpr std::int32_t ProtocolVersion3 = 196608;
constexpr std::int32_t SslRequestCode = 80877103;
constexpr std::int32_t GssRequestCode = 80877104;
constexpr std::int32_t CancelRequestCode = 80877102;

/// Why a caller's bytes can't be understood.
struct malformed {
  std::string Problem;
};

/// One message: its type (0 for startup packets) and its body.
struct frame {
  char Type = 0;
  std::string_view Body;
  /// Bytes it takes in the stream.
  std::size_t Size = 0;
};

/// Cuts the next message off the front. Nothing: more bytes are needed. Throws
/// malformed. Startup packets carry no type.
std::optional<frame> nextFrame(std::string_view Bytes, bool Startup);

/// Reads fields off the front of a message's body. Throws malformed when the
/// body is too short.
class field_reader {
public:
  explicit field_reader(std::string_view Bytes) : Bytes(Bytes) {}

  std::uint8_t byte();
  std::int16_t int16();
  std::int32_t int32();
  /// A count that is not negative.
  std::int32_t count16();
  std::string_view cString();
  std::string_view bytes(std::size_t Count);
  bool atEnd() const { return Bytes.empty(); }
  /// Throws malformed unless everything was read.
  void expectEnd() const;

private:
  std::string_view Bytes;
};

/// Builds one message; the length is filled in by append().
class message_writer {
public:
  explicit message_writer(char Type) : Type(Type) {}

  message_writer &byte(char Value);
  message_writer &int16(std::int16_t Value);
  message_writer &int32(std::int32_t Value);
  message_writer &cString(std::string_view Value);
  message_writer &bytes(std::string_view Value);
  void append(std::string &Out) const;

private:
  char Type;
  std::string Body;
};

/// A message without a body.
void appendEmpty(std::string &Out, char Type);
void appendReady(std::string &Out, char TransactionStatus);
void appendParameterStatus(std::string &Out, std::string_view Name,
                           std::string_view Value);
void appendCommandComplete(std::string &Out, std::string_view Tag);
/// Severity is ERROR, FATAL (ErrorResponse) or WARNING (NoticeResponse).
void appendError(std::string &Out, std::string_view Severity,
                 std::string_view Code, std::string_view Text);
/// RowDescription of one text column.
void appendTextColumn(std::string &Out, std::string_view Name);
/// DataRow of one text value.
void appendTextRow(std::string &Out, std::string_view Value);

/// The SQLSTATE of an ErrorResponse body; empty when it has none.
std::string_view sqlStateOf(std::string_view ErrorBody);

} // namespace teasellock::pg
