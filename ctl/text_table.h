#pragma once

#include <string>
#include <vector>

namespace teasellock {

/// Formats lines of cells as aligned columns, two spaces apart. The first line
/// is the heading.
std::string formatColumns(const std::vector<std::vector<std::string>> &Lines);

} // namespace teasellock
