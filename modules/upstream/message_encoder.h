#pragma once

#include <cstdint>
#include <functional>
#include <libpq-fe.h>
#include <string>
#include <string_view>

namespace teasellock {

/// The maximum size in bytes of a part of an answer, unless a single message is
/// larger.
constexpr std::size_t MaxPartSize = 64 * 1024;

/// Encodes libpq results as back-end messages of the PostgreSQL v3 protocol and
/// delivers them in parts of complete messages. The functions are named after
/// the messages.
class message_encoder {
public:
  /// Part receives each complete part. If it is empty, everything is buffered
  /// until extractRemaining().
  explicit message_encoder(std::function<void(std::string)> Part)
      : OnPart(std::move(Part)) {}

  void rowDescription(const PGresult *Result);
  /// Encodes all rows of the result.
  void dataRows(const PGresult *Result);
  void commandComplete(const PGresult *Result);
  void emptyQuery();
  void noData();
  void parameterDescription(const PGresult *Result);
  void errorResponse(const PGresult *Result);
  void noticeResponse(const PGresult *Result);

  /// Removes and returns the messages that have not been delivered.
  std::string extractRemaining() { return std::move(Buffer); }

private:
  void beginMessage(char Type, std::size_t BodySize);
  void diagnostics(char Type, const PGresult *Result);

  std::string Buffer;
  std::function<void(std::string)> OnPart;
};

/// Returns an ErrorResponse that originates from the gateway.
std::string makeErrorResponse(std::string_view Code, std::string_view Text);

/// Returns a NoticeResponse that originates from the gateway.
std::string makeNoticeResponse(std::string_view Code, std::string_view Text);

/// Returns a CommandComplete that originates from the gateway.
std::string makeCommandComplete(std::string_view Tag);

} // namespace teasellock
