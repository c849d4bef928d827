#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teasellock {

/// The file operations of a data folder. Replaceable so that tests can
/// simulate a loss of power.
///
/// Every operation throws error when it fails. Written bytes are durable only
/// after SyncFile; created, renamed and removed names only after SyncFolder.
struct file_system {
  /// Creates the folder and its parents if they are missing.
  std::function<void(const std::string &Folder)> MakeFolder;
  /// Returns the names of the files in a folder, sorted, without the path.
  std::function<std::vector<std::string>(const std::string &Folder)> List;
  /// Returns the content of a file, or nullopt if it does not exist.
  std::function<std::optional<std::string>(const std::string &File)> Read;
  /// Appends bytes to a file, which is created if it is missing.
  std::function<void(const std::string &File, std::string_view Bytes)> Append;
  /// Truncates a file to a size in bytes.
  std::function<void(const std::string &File, std::size_t Size)> Truncate;
  std::function<void(const std::string &File)> SyncFile;
  std::function<void(const std::string &Folder)> SyncFolder;
  /// Renames a file atomically. Replaces To if it exists.
  std::function<void(const std::string &From, const std::string &To)> Rename;
  std::function<void(const std::string &File)> Remove;
  /// Locks a file, which is created if it is missing. The lock is released
  /// when the returned object is destroyed. Throws error when another process
  /// holds it.
  std::function<std::shared_ptr<void>(const std::string &File)> Lock;
};

/// Returns the file operations of the operating system.
file_system posixFileSystem();

} // namespace teasellock
