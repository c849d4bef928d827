/// One connection to a simulated upstream: its transaction, its settings and
/// the commit that waits for replication.
#pragma once

#include "core/timer_service.h"
#include "tests/soak/soak_types.h"
#include "tests/stand_in/connection.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace teasellock::soak {

/// The replication state of an upstream: its role, term and log.
struct upstream_node {
  std::string Id;
  bool IsPrimary = false;
  bool IsRunning = true;
  bool IsSilent = false;
  bool IsPartitioned = false;
  bool IsLeaving = false;
  std::uint64_t Incarnation = 0;
  term Term;
  /// Set by PAUSE: the replica receives nothing from a primary whose term is
  /// lower.
  term PausedTerm;
  commit_log Log;
  std::vector<time_point> ReceivedAt;
  std::size_t AppliedCount = 0;
  std::size_t RunningStatements = 0;
  std::size_t Sessions = 0;
};

/// A transaction on a connection.
struct open_transaction {
  std::uint64_t Number = 0;
  bool IsReadWrite = false;
  term Term;
  std::vector<std::string> StatementIds;
  std::map<std::string, std::string> Items;
};

/// A prepared statement.
struct prepared_statement {
  std::string Text;
  bool IsWrite = false;
};

/// State of a connection between statements.
struct upstream_session {
  std::unique_ptr<stand_in::connection> Connection;
  bool IsStarted = false;
  /// The user that its START message named.
  std::string User;
  bool IsClosed = false;
  bool IsBusy = false;
  bool TransactionFailed = false;
  std::optional<open_transaction> Transaction;
  std::map<std::string, std::string> Settings;
  std::map<std::string, prepared_statement> Prepared;
  timer_subscription ExecutionTimer;
  /// Log offset of a commit that no replica has received yet; zero if none.
  std::uint64_t AwaitedOffset = 0;
  std::uint64_t AwaitedNumber = 0;
  signed_result AwaitedResult;
};

/// A parsed statement.
struct upstream_statement {
  std::string Id;
  std::optional<position> After;
  /// The text as its caller sent it, without the AFTER prefix.
  std::string Text;
  std::string Verb;
  std::vector<std::string> Fields;
};

/// Parses the text after "QUERY ". The verb is followed by at most three
/// fields separated by spaces; the third extends to the end of the line.
upstream_statement parseUpstreamStatement(std::string_view Line);

/// Returns the value of an item as a transaction sees it, its own writes
/// included; "none" if the item was never written.
std::string readItem(const upstream_node &Node,
                     const std::optional<open_transaction> &Transaction,
                     const std::string &Item);

/// Reports whether the upstream has applied its log up to a position.
bool hasApplied(const upstream_node &Node, const position &Position);

} // namespace teasellock::soak
