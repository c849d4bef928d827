#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace teasellock {

/// A value that only mixes with values of the same Tag. Rep is the underlying
/// representation: an integer for numbers, std::string for names.
template <typename Tag, typename Rep> struct strong_type {
  Rep Value{};

  strong_type() = default;
  explicit strong_type(Rep Value) : Value(std::move(Value)) {}

  auto operator<=>(const strong_type &) const = default;
};

/// The printable form of a strong name.
template <typename Tag>
const std::string &toString(const strong_type<Tag, std::string> &Id) {
  return Id.Value;
}

/// The printable form of a strong number.
template <typename Tag>
std::string toString(const strong_type<Tag, std::uint64_t> &Id) {
  return std::to_string(Id.Value);
}

} // namespace teasellock

template <typename Tag, typename Rep>
struct std::hash<teasellock::strong_type<Tag, Rep>> {
  std::size_t operator()(const teasellock::strong_type<Tag, Rep> &Id) const {
    return std::hash<Rep>()(Id.Value);
  }
};
