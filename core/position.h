#pragma once

#include "core/ids.h"

namespace teasellock {

/// A place in the history of a group: the term of the last record replayed and
/// the byte offset in the log. Ordered by term first, so that a long log of an
/// old term never beats a shorter one of a newer term.
struct position {
  term Term;
  std::uint64_t Offset = 0;

  auto operator<=>(const position &) const = default;
};

/// "term/offset", as it is logged and shown to operators.
inline std::string toString(const position &Position) {
  return toString(Position.Term) + "/" + std::to_string(Position.Offset);
}

} // namespace teasellock
