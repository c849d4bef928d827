#include "core/text_check.h"

#include <algorithm>

namespace teasellock {

namespace {

constexpr unsigned char Delete = 0x7f;

bool isFieldByte(char Char) {
  auto Byte = static_cast<unsigned char>(Char);
  return Byte > ' ' && Byte != Delete;
}

} // namespace

bool isLineText(std::string_view Text) {
  return Text.find('\n') == std::string_view::npos &&
         Text.find('\r') == std::string_view::npos;
}

bool isLineField(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isFieldByte);
}

bool isName(std::string_view Text) {
  return Text.size() <= MaxNameBytes && isLineField(Text) &&
         std::all_of(Text.begin(), Text.end(), [](char Char) {
           return static_cast<unsigned char>(Char) < Delete;
         });
}

} // namespace teasellock
