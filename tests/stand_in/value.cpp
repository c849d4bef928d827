#include "tests/stand_in/value.h"

#include <charconv>
#include <map>

namespace teasellock::stand_in {

std::string toText(const value &Value) {
  if (const auto *Flag = std::get_if<bool>(&Value))
    return *Flag ? "t" : "f";
  if (const auto *Number = std::get_if<std::int64_t>(&Value))
    return std::to_string(*Number);
  if (const auto *Text = std::get_if<std::string>(&Value))
    return *Text;
  return {};
}

value fromText(sql_type Type, const std::string &Text) {
  if (isInteger(Type)) {
    std::int64_t Number = 0;
    const char *End = Text.data() + Text.size();
    auto [Stop, Failure] = std::from_chars(Text.data(), End, Number);
    if (Failure != std::errc() || Stop != End)
      throw sql_error("22P02",
                      "invalid input syntax for type bigint: \"" + Text + "\"");
    return Number;
  }
  if (Type == sql_type::Boolean) {
    if (Text == "t" || Text == "true" || Text == "on" || Text == "1")
      return true;
    if (Text == "f" || Text == "false" || Text == "off" || Text == "0")
      return false;
    throw sql_error("22P02", "invalid input syntax for type boolean");
  }
  return Text;
}

std::int64_t toInteger(const value &Value) {
  if (const auto *Number = std::get_if<std::int64_t>(&Value))
    return *Number;
  if (const auto *Text = std::get_if<std::string>(&Value))
    return std::get<std::int64_t>(fromText(sql_type::Bigint, *Text));
  throw sql_error("42804", "a whole number is needed here");
}

int compareValues(const value &Left, const value &Right) {
  const auto *LeftText = std::get_if<std::string>(&Left);
  const auto *RightText = std::get_if<std::string>(&Right);
  if (LeftText && RightText) {
    int Order = LeftText->compare(*RightText);
    return Order < 0 ? -1 : Order > 0 ? 1 : 0;
  }
  if (Left.index() == Right.index())
    return Left < Right ? -1 : Right < Left ? 1 : 0;
  std::int64_t LeftNumber = toInteger(Left);
  std::int64_t RightNumber = toInteger(Right);
  return LeftNumber < RightNumber ? -1 : RightNumber < LeftNumber ? 1 : 0;
}

sql_type typeOfName(const std::string &Name) {
  static const std::map<std::string, sql_type> Types = {
      {"text", sql_type::Text},       {"varchar", sql_type::Text},
      {"bigint", sql_type::Bigint},   {"int8", sql_type::Bigint},
      {"integer", sql_type::Integer}, {"int", sql_type::Integer},
      {"int4", sql_type::Integer},    {"boolean", sql_type::Boolean},
      {"bool", sql_type::Boolean},    {"timestamptz", sql_type::Timestamptz}};
  auto Found = Types.find(Name);
  if (Found == Types.end())
    throw sql_error("42704", "type \"" + Name + "\" does not exist");
  return Found->second;
}

} // namespace teasellock::stand_in
