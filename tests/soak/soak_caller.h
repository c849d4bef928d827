/// A caller with one session at a time: sends random operations, evaluates the
/// results and reports them to the oracle.
#pragma once

#include "modules/line/line_connection.h"
#include "tests/soak/organisation_oracle.h"

#include <random>

namespace teasellock::soak {

/// A database name that callers connect to, and how stale its reads may be.
struct caller_database {
  std::string Name;
  read_allowance Allowance;
  /// Whether callers need no key.
  bool IsPublic = false;
};

/// Parameters of a caller.
struct caller_options {
  std::size_t Number = 0;
  std::vector<endpoint> Entries;
  std::vector<caller_database> Databases;
  std::uint64_t Seed = 0;
  /// The key that the caller presents, and who judges it. Empty and null in a
  /// deployment without organisations.
  std::string Key;
  organisation_oracle *Organisations = nullptr;
};

/// Numbers of operations by outcome.
struct caller_counts {
  std::uint64_t Succeeded = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t ConnectionsLost = 0;
};

/// Sends operations until it is destroyed.
class soak_caller {
public:
  soak_caller(daemon_context &Context, oracle &Oracle, caller_options Options);

  const caller_counts &counts() const { return Counts; }
  /// Time of the last operation that succeeded.
  time_point lastSuccess() const { return LastSuccess; }
  /// Sets the time between two operations.
  void setOperationPause(duration Pause) { OperationPause = Pause; }
  /// Closes the session, also within an operation, and starts no other.
  void stop();

private:
  enum class step_kind {
    Begin,
    Read,
    Write,
    Commit,
    Rollback,
    Set,
    Prepare,
    Execute
  };

  struct step {
    step_kind Kind;
    /// The text sent to the entry.
    std::string SentText;
    /// The text that an upstream should execute.
    std::string ExpectedText;
    bool Writes = false;
  };

  void reconnect();
  void nextOperation();
  void planOperation();
  void planSingleStatement();
  void planTransaction();
  step readStep();
  step writeStep();
  void executeStep();
  void handleBatchResult(const line_batch_result &Run);
  void handleSuccess(const line_answer &Answer);
  void handleFailure(const line_failure &Failure, char State);
  void endOperation();
  void abandonConnection();
  caller_request nextRequest() const;
  void checkAdmission(const caller_request &Request, bool IsAdmitted);
  std::uint64_t randomBelow(std::uint64_t Below);

  daemon_context &Context;
  oracle &Oracle;
  caller_options Options;
  std::mt19937_64 Random;
  duration OperationPause = std::chrono::milliseconds(10);
  std::unique_ptr<line_connection> Connection;
  std::uint64_t Session = 0;
  std::size_t Entry = 0;
  caller_database Database;
  /// The message that was sent last.
  caller_request Request;
  std::map<std::string, std::string> Settings;
  bool Prepared = false;
  std::vector<step> Steps;
  std::size_t NextStep = 0;
  std::uint64_t LastId = 0;
  std::string StatementId;
  std::uint64_t Transaction = 0;
  time_point StartedAt;
  /// When the operation's first read or write was sent, and its id.
  std::optional<time_point> DataSentAt;
  std::string OperationId;
  std::vector<std::string> WriteIds;
  bool CommitSent = false;
  bool Stopped = false;
  timer_subscription PauseTimer;
  timer_subscription AnswerTimer;
  caller_counts Counts;
  time_point LastSuccess;
};

} // namespace teasellock::soak
