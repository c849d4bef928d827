#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace teasellock {

/// A wrapper that makes values with different Tags distinct types, so that for
/// instance a group name can't be passed as a VM name. Rep is the underlying
/// representation: std::uint64_t for numbers, std::string for names.
template <typename Tag, typename Rep> struct strong_type {
  Rep Value{};

  strong_type() = default;
  explicit strong_type(Rep Value) : Value(std::move(Value)) {}

  auto operator<=>(const strong_type &) const = default;
};

/// The text of a strongly typed name.
template <typename Tag>
const std::string &toString(const strong_type<Tag, std::string> &Id) {
  return Id.Value;
}

/// The decimal text of a strongly typed number.
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
