/// What the parts of the soak share: statements as they were sent, and the logs
/// of the upstreams.
#pragma once

#include "core/ids.h"
#include "core/position.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace teasellock::soak {

/// A statement as its caller sent it.
struct sent_statement {
  std::string Id;
  /// For a prepared statement: its shape and arguments.
  std::string Text;
  /// A number that no other session of the run has.
  std::uint64_t Session = 0;
  /// Number of the session's transaction; zero outside of one.
  std::uint64_t Transaction = 0;
  /// Values that its session must have.
  std::map<std::string, std::string> Settings;
  bool Writes = false;
};

/// A statement as an upstream runs it.
struct run_statement {
  std::string Id;
  std::string Text;
  /// Number of the transaction on the upstream's connection, unique in the
  /// run; zero outside of one.
  std::uint64_t ConnectionTransaction = 0;
  std::map<std::string, std::string> Settings;
};

/// One entry of an upstream's log: a commit.
struct log_entry {
  /// Its offset is its place in the log, counted from one.
  position Position;
  /// Unique in the run: tells entries of different leaders apart.
  std::uint64_t Number = 0;
  /// Statements whose writes it holds.
  std::vector<std::string> StatementIds;
  std::map<std::string, std::string> Items;
};

using commit_log = std::vector<log_entry>;

/// The answer to a statement, as its upstream signed it.
struct signed_answer {
  std::string Signature;
  std::vector<std::string> Rows;

  bool operator==(const signed_answer &) const = default;
};

/// What a read may miss.
struct read_allowance {
  group_id Group;
  /// Acknowledged commits younger than this when the read was sent.
  duration MaxStaleness{};
};

} // namespace teasellock::soak
