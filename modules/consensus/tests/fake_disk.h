#pragma once

#include "modules/consensus/file_system.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace teasellock {

/// Thrown in the middle of a file operation when the power fails.
struct power_loss {};

/// A data folder that loses what was not synced when the power fails.
class fake_disk {
public:
  explicit fake_disk(std::uint64_t Seed) : Random(Seed) {}

  /// Operations on this disk, which must outlive them.
  file_system files();

  /// The power fails at the operation after so many others.
  void failAfter(int Operations) { OperationsLeft = Operations; }

  /// Takes away an arbitrary part of what was not synced.
  void losePower();

  /// The content of a file as a program would read it.
  std::string &content(const std::string &File) {
    return Current.at(File)->Content;
  }

  bool holds(const std::string &File) const { return Current.contains(File); }

private:
  struct file {
    std::string Content;
    std::string Durable;
  };
  using folder = std::map<std::string, std::shared_ptr<file>>;

  void step();

  std::mt19937_64 Random;
  folder Current;
  folder Durable;
  int OperationsLeft = -1;
};

} // namespace teasellock
