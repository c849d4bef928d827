/// Types shared by the sources of the soak test: statements as callers sent
/// them and as upstreams executed them, and the upstreams' commit logs.
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
  /// For a prepared statement: its text and arguments.
  std::string Text;
  /// Unique among all sessions of the test.
  std::uint64_t Session = 0;
  /// Number of the session's transaction; zero outside a transaction.
  std::uint64_t Transaction = 0;
  /// Session settings that must be in effect when the statement is executed.
  std::map<std::string, std::string> Settings;
  bool Writes = false;
};

/// A statement as an upstream executes it.
struct executed_statement {
  std::string Id;
  std::string Text;
  /// Number of the transaction on the upstream's connection, unique in the
  /// test; zero outside a transaction.
  std::uint64_t ConnectionTransaction = 0;
  std::map<std::string, std::string> Settings;
};

/// One entry of an upstream's log: a committed transaction.
struct log_entry {
  /// The offset is the entry's index in the log, counted from one.
  position Position;
  /// Unique in the test: distinguishes entries that different primaries wrote
  /// at the same offset.
  std::uint64_t Number = 0;
  /// Statements whose writes the entry contains.
  std::vector<std::string> StatementIds;
  std::map<std::string, std::string> Items;
};

using commit_log = std::vector<log_entry>;

/// The result of a statement, marked by its upstream with a unique signature.
struct signed_result {
  std::string Signature;
  std::vector<std::string> Rows;

  bool operator==(const signed_result &) const = default;
};

/// How stale a read may be.
struct read_allowance {
  group_id Group;
  /// The read may miss commits that were acknowledged less than this before it
  /// was sent.
  duration MaxStaleness{};
};

} // namespace teasellock::soak
