#pragma once

#include "core/ids.h"

namespace teasellock {

/// A position in the log of a group: the term of the last record replayed and
/// the byte offset in the log. Ordered by term first, so that a long log of an
/// old term is always below a shorter one of a newer term.
struct position {
  term Term;
  std::uint64_t Offset = 0;

  auto operator<=>(const position &) const = default;
};

/// Formats a position as "term/offset", as logged and shown to operators.
inline std::string toString(const position &Position) {
  return toString(Position.Term) + "/" + std::to_string(Position.Offset);
}

} // namespace teasellock
