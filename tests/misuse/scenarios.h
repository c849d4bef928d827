/// The crowds that the tests of misbehaving callers play.
#pragma once

#include "tests/misuse/crowd.h"

#include <optional>
#include <string>
#include <vector>

namespace teasellock::misuse {

/// One crowd, sent to the caller or the HTTP port of an entry VM.
struct scenario {
  std::string Name;
  std::size_t Connections = 0;
  connection_script Script;
  bool UsesHttpPort = false;
};

/// Bounds that the entry's process keeps whatever callers send.
struct process_bounds {
  /// The memory of the smallest VMs, in KiB.
  std::size_t MaxResidentKib = 112 * 1024;
  /// Their descriptors, less those that other files may use.
  std::size_t MaxDescriptors = 400;
};

const std::vector<scenario> &scenarios();

/// Returns the scenario of a name, or null.
const scenario *findScenario(const std::string &Name);

} // namespace teasellock::misuse
