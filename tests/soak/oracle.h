/// The promises, judged from what callers and upstreams see. Knows nothing of
/// sockets or processes.
#pragma once

#include "tests/soak/soak_types.h"

#include <set>

namespace teasellock::soak {

/// Notes every broken promise of one run.
class oracle {
public:
  /// A caller sends a statement.
  void sent(const sent_statement &Statement);

  /// What a read may miss. Started: when the first byte of the read, or of its
  /// transaction, was sent.
  void readStarts(const std::string &Id, std::uint64_t Session,
                  const read_allowance &Allowance, time_point Started);

  /// An upstream runs a caller's statement.
  void ran(const run_statement &Statement);

  /// A read runs on the first Applied entries of a log.
  void read(const std::string &Id, const commit_log &Log, std::size_t Applied);

  /// An upstream signs its answer to a statement.
  void signs(const std::string &Id, const signed_answer &Answer);

  /// A caller gets a success.
  void succeeded(const std::string &Id, const signed_answer &Answer);

  /// A primary appends a commit to its log.
  void committed(const log_entry &Entry);

  /// A caller is told that its writes are kept.
  void acknowledged(std::uint64_t Session, const group_id &Group,
                    const std::vector<std::string> &Ids, time_point Now);

  /// A caller is promised that nothing of its writes is kept.
  void notKept(const std::vector<std::string> &Ids);

  /// An upstream begins to lead with this log.
  void promoted(const group_id &Group, const commit_log &Log);

  /// A holder orders a promotion.
  void ordered(const group_id &Group, const std::string &Holder,
               std::uint64_t Token);

  /// A deployment was acknowledged, and one was read: Sent is when the call to
  /// read it was made.
  void deploymentAcknowledged(std::uint64_t Version, time_point Now);
  void deploymentRead(std::uint64_t Version, time_point Sent);

  /// Notes that a promise was broken. Rule: its name.
  void fail(const std::string &Rule, const std::string &Detail);

  /// A number that nothing else in the run has.
  std::uint64_t nextNumber() { return ++LastNumber; }

  const std::vector<std::string> &broken() const { return Broken; }
  std::size_t acknowledgedWrites() const { return AcknowledgedWrites; }

private:
  struct statement_record {
    sent_statement Sent;
    std::set<std::string> Signatures;
    std::map<std::string, std::vector<std::string>> RowsBySignature;
    std::uint64_t CommittedBy = 0;
    bool NotKept = false;
  };

  /// The upstream's transaction, and the statement that opened it.
  struct opened_transaction {
    std::uint64_t Number = 0;
    std::string OpenerId;
  };

  struct acknowledged_commit {
    std::uint64_t Number = 0;
    std::uint64_t Offset = 0;
    std::uint64_t Session = 0;
    time_point At;
  };

  struct read_record {
    std::uint64_t Session = 0;
    read_allowance Allowance;
    time_point At;
  };

  struct deployment_record {
    std::uint64_t Version = 0;
    time_point At;
  };

  std::map<std::string, statement_record> Statements;
  std::map<std::uint64_t, log_entry> Commits;
  std::map<group_id, std::vector<acknowledged_commit>> Acknowledged;
  std::map<std::string, read_record> Reads;
  /// The caller's transaction by the upstream's, and the other way round.
  std::map<std::uint64_t, std::string> OwnerOfTransaction;
  std::map<std::string, opened_transaction> TransactionOfOwner;
  std::map<group_id, std::map<std::uint64_t, std::string>> HolderOfToken;
  std::vector<deployment_record> Deployments;
  std::uint64_t LastNumber = 0;
  std::vector<std::string> Broken;
  std::size_t AcknowledgedWrites = 0;
};

} // namespace teasellock::soak
