#pragma once

#include "modules/consensus/file_system.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace teasellock {

/// Thrown in the middle of a file operation to simulate a loss of power.
struct power_loss {};

/// A data folder in memory that loses an arbitrary part of the writes that
/// were not synced when power is lost.
class fake_disk {
public:
  explicit fake_disk(std::uint64_t Seed) : Random(Seed) {}

  /// Returns file operations on this disk, which must outlive them.
  file_system files();

  /// Makes the file operation that follows the given number of other ones
  /// throw power_loss. A negative number disables this.
  void failAfter(int Operations) { OperationsLeft = Operations; }

  /// Discards or damages an arbitrary part of what was not synced.
  void losePower();

  /// Returns the content of a file, synced or not, for tests to change.
  std::string &content(const std::string &File) {
    return Current.at(File)->Content;
  }

  bool hasFile(const std::string &File) const { return Current.contains(File); }

private:
  struct file {
    std::string Content;
    std::string Durable;
  };
  using folder = std::map<std::string, std::shared_ptr<file>>;

  /// Throws power_loss when the operation is the one that has to fail.
  void countOperation();

  std::mt19937_64 Random;
  folder Current;
  folder Durable;
  int OperationsLeft = -1;
};

} // namespace teasellock
