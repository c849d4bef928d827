#pragma once

#include <cstdint>
#include <functional>
#include <libpq-fe.h>
#include <string>
#include <string_view>

namespace teasellock {

/// The largest part in which an answer is passed on, in bytes. Only a single
/// message that is larger goes as a larger part.
constexpr std::size_t LargestPart = 64 * 1024;

/// Turns libpq's results back into back-end messages of the v3 protocol and
/// hands them on in parts of complete messages.
class message_encoder {
public:
  /// Part may be empty: then everything is kept until take().
  explicit message_encoder(std::function<void(std::string)> Part)
      : Part(std::move(Part)) {}

  void rowDescription(const PGresult *Result);
  /// All rows of the result.
  void dataRows(const PGresult *Result);
  void commandComplete(const PGresult *Result);
  void emptyQuery();
  void noData();
  void parameterDescription(const PGresult *Result);
  void errorResponse(const PGresult *Result);
  void noticeResponse(const PGresult *Result);

  /// What has not been handed on yet.
  std::string take() { return std::move(Buffer); }

private:
  void begin(char Type, std::size_t BodySize);
  void diagnostics(char Type, const PGresult *Result);

  std::string Buffer;
  std::function<void(std::string)> Part;
};

/// An ErrorResponse made by the gateway itself.
std::string makeErrorResponse(std::string_view Code, std::string_view Text);

/// A NoticeResponse made by the gateway itself.
std::string makeNoticeResponse(std::string_view Code, std::string_view Text);

/// A CommandComplete made by the gateway itself.
std::string makeCommandComplete(std::string_view Tag);

} // namespace teasellock
