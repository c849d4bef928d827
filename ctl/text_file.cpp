#include "ctl/text_file.h"

#include "core/error.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace teasellock {

std::string readTextFile(const std::string &Step, const std::string &Name) {
  std::ostringstream Text;
  if (Name == "-") {
    Text << std::cin.rdbuf();
    return Text.str();
  }
  std::ifstream In(Name, std::ios::binary);
  // A folder can be opened but not read.
  In.peek();
  if (!In.is_open() || In.bad())
    throw error(Step, Name, "cannot be read");
  Text << In.rdbuf();
  return Text.str();
}

} // namespace teasellock
