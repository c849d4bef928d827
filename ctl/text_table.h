#pragma once

#include <string>
#include <vector>

namespace teasellock {

/// Lines up cells in columns; the first line is the heading.
std::string formatColumns(const std::vector<std::vector<std::string>> &Lines);

} // namespace teasellock
