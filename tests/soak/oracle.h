/// Checks the system's guarantees from the events that callers and upstreams
/// observe. Independent of sockets and processes.
#pragma once

#include "tests/soak/soak_types.h"

#include <set>

namespace teasellock::soak {

/// Records the events of one test and every violated guarantee. Callers and
/// upstreams of the soak test call it as events occur.
class oracle {
public:
  /// Records a statement that a caller sends.
  void recordSent(const sent_statement &Statement);

  /// Records how stale a read may be. Started: when the first byte of the read,
  /// or of its transaction, was sent.
  void recordReadStart(const std::string &Id, std::uint64_t Session,
                       const read_allowance &Allowance, time_point Started);

  /// Checks a statement that an upstream executes: it was sent with this text
  /// and these settings, and is executed within its transaction.
  void checkExecution(const executed_statement &Statement);

  /// Checks the staleness of a read that sees the first Applied entries of a
  /// log.
  void checkRead(const std::string &Id, const commit_log &Log,
                 std::size_t Applied);

  /// Records the result that an upstream returns for a statement.
  void recordResult(const std::string &Id, const signed_result &Result);

  /// Checks that a result that a caller received came from an upstream.
  void checkResult(const std::string &Id, const signed_result &Result);

  /// Checks a commit that a primary appends to its log: no statement is
  /// committed twice, or after it was reported as not committed.
  void recordCommit(const log_entry &Entry);

  /// Records that a caller's writes were acknowledged as committed.
  void recordAcknowledgement(std::uint64_t Session, const group_id &Group,
                             const std::vector<std::string> &Ids,
                             time_point Now);

  /// Records that a caller was guaranteed that none of these statements is
  /// committed.
  void recordNotCommitted(const std::vector<std::string> &Ids);

  /// Checks that the log of a newly promoted primary contains every
  /// acknowledged commit.
  void checkPromotion(const group_id &Group, const commit_log &Log);

  /// Checks a promotion request: a fencing token belongs to one holder.
  void checkPromotionRequest(const group_id &Group, const std::string &Holder,
                             std::uint64_t Token);

  /// Records an acknowledged version of the deployment, and checks one that was
  /// read. Sent: when the read request was sent.
  void recordDeploymentAcknowledged(std::uint64_t Version, time_point Now);
  void checkDeploymentRead(std::uint64_t Version, time_point Sent);

  /// Records a violated guarantee. Rule: its name.
  void reportViolation(const std::string &Rule, const std::string &Detail);

  /// Returns a number that is unique in the test.
  std::uint64_t nextNumber() { return ++LastNumber; }

  const std::vector<std::string> &violations() const { return Violations; }
  std::size_t acknowledgedWrites() const { return AcknowledgedWrites; }

private:
  struct statement_record {
    sent_statement Sent;
    std::set<std::string> Signatures;
    std::map<std::string, std::vector<std::string>> RowsBySignature;
    std::uint64_t CommittedBy = 0;
    bool ReportedNotCommitted = false;
  };

  /// The upstream's transaction and the first statement executed in it.
  struct opened_transaction {
    std::uint64_t Number = 0;
    std::string FirstStatementId;
  };

  struct acknowledged_commit {
    std::uint64_t Number = 0;
    std::uint64_t Offset = 0;
    std::uint64_t Session = 0;
    time_point AcknowledgedAt;
  };

  struct read_record {
    std::uint64_t Session = 0;
    read_allowance Allowance;
    time_point StartedAt;
  };

  struct deployment_record {
    std::uint64_t Version = 0;
    time_point AcknowledgedAt;
  };

  std::map<std::string, statement_record> Statements;
  std::map<std::uint64_t, log_entry> Commits;
  std::map<group_id, std::vector<acknowledged_commit>> Acknowledged;
  std::map<std::string, read_record> Reads;
  /// Maps the upstream's transactions to the callers' transactions, and back.
  std::map<std::uint64_t, std::string> OwnerOfTransaction;
  std::map<std::string, opened_transaction> TransactionOfOwner;
  std::map<group_id, std::map<std::uint64_t, std::string>> HolderOfToken;
  std::vector<deployment_record> Deployments;
  std::uint64_t LastNumber = 0;
  std::vector<std::string> Violations;
  std::size_t AcknowledgedWrites = 0;
};

} // namespace teasellock::soak
