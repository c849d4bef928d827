/// A caller with one session at a time: sends operations, follows the answers
/// and tells the oracle.
#pragma once

#include "modules/line/line_connection.h"
#include "tests/soak/oracle.h"

#include <random>

namespace teasellock::soak {

/// A database as callers know it.
struct caller_database {
  std::string Name;
  read_allowance Allowance;
};

/// What a caller is told before it starts.
struct caller_options {
  std::size_t Number = 0;
  std::vector<endpoint> Entries;
  std::vector<caller_database> Databases;
  std::uint64_t Seed = 0;
};

/// How many operations ended how.
struct caller_counts {
  std::uint64_t Succeeded = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Broken = 0;
};

/// Sends operations until it is destroyed.
class soak_caller {
public:
  soak_caller(daemon_context &Context, oracle &Oracle, caller_options Options);

  const caller_counts &counts() const { return Counts; }
  /// Time of the last operation that succeeded.
  time_point lastSuccess() const { return LastSuccess; }
  /// Ends the session once the operation is over, and starts no other.
  void stop() { Stopped = true; }

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
    /// As it goes out.
    std::string Text;
    /// As an upstream should run it.
    std::string Meaning;
    bool Writes = false;
  };

  void reconnect();
  void nextOperation();
  void planOperation();
  void planSingle();
  void planTransaction();
  step readStep();
  step writeStep();
  void runStep();
  void onRun(const line_run &Run);
  void onSuccess(const line_answer &Answer);
  void onFailure(const line_failure &Failure, char State);
  void endOperation();
  void lose();
  std::uint64_t draw(std::uint64_t Below);

  daemon_context &Context;
  oracle &Oracle;
  caller_options Options;
  std::mt19937_64 Random;
  std::unique_ptr<line_connection> Connection;
  std::uint64_t Session = 0;
  caller_database Database;
  std::map<std::string, std::string> Settings;
  bool Prepared = false;
  std::vector<step> Steps;
  std::size_t Next = 0;
  std::uint64_t LastId = 0;
  std::string Id;
  std::uint64_t Transaction = 0;
  time_point StartedAt;
  std::vector<std::string> WriteIds;
  bool CommitSent = false;
  bool Stopped = false;
  timer_subscription Pause;
  timer_subscription Deadline;
  caller_counts Counts;
  time_point LastSuccess;
};

} // namespace teasellock::soak
