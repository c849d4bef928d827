#pragma once

#include <cstddef>

namespace teasellock {

/// What a process may use. Zero: not known.
struct process_resources {
  std::size_t MemoryBytes = 0;
  std::size_t Descriptors = 0;
};

} // namespace teasellock
