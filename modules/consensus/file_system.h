#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teasellock {

/// The file operations of a data folder, so that tests can lose what was not
/// synced. Every operation throws error when it fails. Written bytes last only
/// after SyncFile, created, renamed and removed names only after SyncFolder.
struct file_system {
  /// Makes the folder and its parents if they are missing.
  std::function<void(const std::string &Folder)> MakeFolder;
  /// Names of the files in a folder, sorted.
  std::function<std::vector<std::string>(const std::string &Folder)> List;
  /// The content of a file, or nothing when there is none.
  std::function<std::optional<std::string>(const std::string &File)> Read;
  /// Adds bytes at the end of a file, which is created if it is missing.
  std::function<void(const std::string &File, std::string_view Bytes)> Append;
  /// Cuts a file to a length.
  std::function<void(const std::string &File, std::size_t Size)> Truncate;
  std::function<void(const std::string &File)> SyncFile;
  std::function<void(const std::string &Folder)> SyncFolder;
  /// Replaces To if it exists.
  std::function<void(const std::string &From, const std::string &To)> Rename;
  std::function<void(const std::string &File)> Remove;
  /// Holds a lock file until the returned object dies. Throws error when
  /// another process holds it.
  std::function<std::shared_ptr<void>(const std::string &File)> Lock;
};

/// The operations of the operating system.
file_system posixFileSystem();

} // namespace teasellock
