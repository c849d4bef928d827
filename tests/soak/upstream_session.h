/// One connection to a stand-in upstream: its transaction, its values and the
/// statements that wait.
#pragma once

#include "core/timer_service.h"
#include "tests/soak/soak_types.h"
#include "tests/stand_in/connection.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace teasellock::soak {

/// An upstream's log and what it believes.
struct upstream_node {
  std::string Id;
  bool Primary = false;
  bool Running = true;
  bool Silent = false;
  bool Cut = false;
  bool Leaving = false;
  std::uint64_t Born = 0;
  term Term;
  /// Receives nothing while this is above Term.
  term Held;
  commit_log Log;
  std::vector<time_point> ReceivedAt;
  std::size_t Applied = 0;
  std::size_t Busy = 0;
  std::size_t Sessions = 0;
};

/// A transaction on a connection.
struct open_transaction {
  std::uint64_t Number = 0;
  bool Plain = false;
  term Term;
  std::vector<std::string> StatementIds;
  std::map<std::string, std::string> Items;
};

/// A prepared statement.
struct prepared_shape {
  std::string Shape;
  bool Writes = false;
};

/// What a connection holds between statements.
struct upstream_session {
  std::unique_ptr<stand_in::connection> Connection;
  bool Started = false;
  bool Ended = false;
  bool Busy = false;
  bool Failed = false;
  std::optional<open_transaction> Transaction;
  std::map<std::string, std::string> Settings;
  std::map<std::string, prepared_shape> Prepared;
  timer_subscription Work;
  /// A commit that no replica has received yet: its place in the log.
  std::uint64_t AwaitedOffset = 0;
  std::uint64_t AwaitedNumber = 0;
  signed_answer AwaitedAnswer;
};

/// A statement, taken apart.
struct upstream_statement {
  std::string Id;
  std::optional<position> After;
  /// Without AFTER, as its caller sent it.
  std::string Text;
  std::string Verb;
  std::vector<std::string> Fields;
};

/// Reads what follows "QUERY ". The fields after the verb are split at blanks;
/// the last of three runs to the end.
upstream_statement readUpstreamStatement(std::string_view Line);

/// The value of an item, with what a transaction has written itself.
std::string valueOf(const upstream_node &Node,
                    const std::optional<open_transaction> &Transaction,
                    const std::string &Item);

/// Whether a log holds a position within its first Applied entries.
bool holdsPosition(const upstream_node &Node, const position &Position);

} // namespace teasellock::soak
