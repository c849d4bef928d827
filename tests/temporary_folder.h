/// A folder for the files of one test.
#pragma once

#include <filesystem>
#include <stdlib.h>
#include <string>

namespace teasellock {

/// Creates an empty folder and removes it with its content when destroyed.
struct temporary_folder {
  std::string Path;

  temporary_folder() {
    char Pattern[] = "/tmp/teasellock-test-XXXXXX";
    Path = ::mkdtemp(Pattern);
  }
  ~temporary_folder() { std::filesystem::remove_all(Path); }
  temporary_folder(const temporary_folder &) = delete;
  temporary_folder &operator=(const temporary_folder &) = delete;
};

} // namespace teasellock
