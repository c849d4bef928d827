/// The measures for even load over a group's upstreams, each of which can be
/// turned on alone so that its effect can be measured. All are off by default.
#pragma once

#include <string>

namespace teasellock {

/// Which measures are on.
struct even_load_settings {
  /// Positions are learnt from every answer of an upstream, and an answer to a
  /// probe that raises a position starts the reads that wait for it.
  bool LearnPositions = false;
  /// The choice of an upstream for a read is random among the best; see
  /// chooseUpstream().
  bool SpreadReads = false;
  /// Reads avoid upstreams that fail statements or lose connections; needs
  /// SpreadReads.
  bool AvoidUnreliable = false;
  /// The limit of statements in flight on an upstream follows its BUSY answers
  /// and its latency.
  bool AdaptLimit = false;
};

/// Parses the names of measures, separated by commas; an empty text turns none
/// on. Throws error for an unknown name.
even_load_settings parseEvenLoad(const std::string &Text);

} // namespace teasellock
