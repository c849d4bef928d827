/// Encoding of PostgreSQL's v3 protocol messages: splits a byte stream into
/// messages, reads their fields, and builds the messages that the entry sends.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace teasellock::pg {

/// The maximum size of a message from a caller, in bytes.
constexpr std::size_t MaxMessageBytes = 64 * 1024 * 1024;
/// The maximum size of a startup packet, in bytes.
constexpr std::size_t MaxStartupPacketBytes = 10000;

/// Values of a startup packet's first field: the protocol version, or the code
/// of another request.
constexpr std::int32_t ProtocolVersion3 = 196608;
constexpr std::int32_t SslRequestCode = 80877103;
constexpr std::int32_t GssRequestCode = 80877104;
constexpr std::int32_t CancelRequestCode = 80877102;

/// The exception thrown when bytes violate the protocol.
struct protocol_error {
  std::string Problem;
};

/// One message: its type (0 for startup packets) and its body, a view into the
/// stream.
struct frame {
  char Type = 0;
  std::string_view Body;
  /// The message's size in the stream, in bytes, with type and length.
  std::size_t Size = 0;
};

/// Returns the message at the front of a stream, or nothing if it is
/// incomplete. Throws protocol_error when its length is invalid. Startup:
/// whether a startup packet is expected, which has no type byte.
std::optional<frame> nextFrame(std::string_view Bytes, bool Startup);

/// Reads the fields of a message's body in order. Its functions throw
/// protocol_error when the body is too short.
class field_reader {
public:
  explicit field_reader(std::string_view Bytes) : Bytes(Bytes) {}

  std::uint8_t byte();
  std::int16_t int16();
  std::int32_t int32();
  /// Reads a 16-bit count, which the protocol defines as unsigned here.
  std::int32_t count16();
  std::string_view cString();
  std::string_view bytes(std::size_t Count);
  bool atEnd() const { return Bytes.empty(); }
  /// Throws protocol_error unless all of the body was read.
  void expectEnd() const;

private:
  std::string_view Bytes;
};

/// Builds one message; append() adds it, with its length, to a buffer.
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

/// Appends a message without a body.
void appendEmptyMessage(std::string &Out, char Type);
/// Appends ReadyForQuery. TransactionStatus: 'I', 'T' or 'E'.
void appendReadyForQuery(std::string &Out, char TransactionStatus);
void appendParameterStatus(std::string &Out, std::string_view Name,
                           std::string_view Value);
void appendCommandComplete(std::string &Out, std::string_view Tag);
/// Appends an ErrorResponse (Severity ERROR or FATAL) or a NoticeResponse
/// (Severity WARNING). Code: the SQLSTATE.
void appendError(std::string &Out, std::string_view Severity,
                 std::string_view Code, std::string_view Text);
/// Appends the RowDescription of one text column.
void appendTextColumn(std::string &Out, std::string_view Name);
/// Appends the DataRow of one text value.
void appendTextRow(std::string &Out, std::string_view Value);

/// Returns the SQLSTATE in the body of an ErrorResponse; empty if it has none.
std::string_view sqlStateOf(std::string_view ErrorBody);

} // namespace teasellock::pg
