#pragma once

#include "tests/stand_in/executor.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teasellock::stand_in {

/// Appends one message of the PostgreSQL protocol to a buffer. The destructor
/// fills in the length.
class message_writer {
public:
  message_writer(std::string &Buffer, char Type);
  ~message_writer();
  message_writer(const message_writer &) = delete;
  message_writer &operator=(const message_writer &) = delete;

  /// Appends one byte.
  void byte(char Byte) { Buffer.push_back(Byte); }

  /// Append integers in network byte order.
  void int16(std::int16_t Number);
  void int32(std::int32_t Number);
  void int64(std::int64_t Number);

  /// Appends a null-terminated string.
  void text(std::string_view Text);

  /// Appends bytes unchanged.
  void bytes(std::string_view Bytes) { Buffer.append(Bytes); }

private:
  std::string &Buffer;
  std::size_t LengthAt;
};

/// Reads the fields of one message. Throws sql_error 08P01 if it is too short.
class message_reader {
public:
  explicit message_reader(std::string_view Payload) : Left(Payload) {}

  bool done() const { return Left.empty(); }
  char byte();
  std::int16_t int16();
  std::int32_t int32();
  std::int64_t int64();
  std::string text();
  std::string_view bytes(std::size_t Size);

private:
  std::string_view Left;
};

/// One complete message.
struct message {
  char Type = 0; // 0: startup
  std::string_view Payload;
};

/// Extracts the message at the offset and advances the offset past it. Returns
/// nothing if the message is incomplete. Throws sql_error 08P01 on an invalid
/// length.
std::optional<message> extractMessage(std::string_view Buffer,
                                      std::size_t &Offset, bool Startup);

/// Returns the parameters of a startup message, including "-c name=value"
/// options.
std::map<std::string, std::string> startupParameters(message_reader Reader);

void writeRowDescription(std::string &Out,
                         const std::vector<output_column> &Columns,
                         const std::vector<std::int16_t> &Formats);

void writeDataRow(std::string &Out, const row &Row,
                  const std::vector<output_column> &Columns,
                  const std::vector<std::int16_t> &Formats);

void writeError(std::string &Out, const std::string &SqlState,
                const std::string &Text, bool Fatal);

void writeParameterStatus(std::string &Out, std::string_view Name,
                          std::string_view Value);

/// Returns the format code of a column. No codes means text for all columns;
/// a single code applies to all.
std::int16_t formatCodeOf(const std::vector<std::int16_t> &Formats,
                          std::size_t Index);

/// Converts a bound parameter to a value. Throws sql_error on invalid bytes.
value readParameter(sql_type Type, std::int16_t Format, std::string_view Bytes);

} // namespace teasellock::stand_in
