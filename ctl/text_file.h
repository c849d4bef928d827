#pragma once

#include <string>

namespace teasellock {

/// Reads a file; "-" is standard input. Throws error with the given step if it
/// can't be read.
std::string readTextFile(const std::string &Step, const std::string &Name);

} // namespace teasellock
