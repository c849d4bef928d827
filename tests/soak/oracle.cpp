#include "tests/soak/oracle.h"

#include "core/event_log.h"

#include <algorithm>

namespace teasellock::soak {

namespace {

/// An acknowledged deployment must be visible on every control VM after this
/// time.
constexpr duration MaxDeploymentDelay = std::chrono::milliseconds(3000);

bool containsCommit(const commit_log &Log, std::size_t Applied,
                    std::uint64_t Offset, std::uint64_t Number) {
  return Offset <= Applied && Log[Offset - 1].Number == Number;
}

/// Returns a key of the caller's transaction that a statement belongs to; the
/// statement's own id outside a transaction.
std::string ownerOf(const sent_statement &Statement) {
  if (Statement.Transaction == 0)
    return Statement.Id;
  return std::to_string(Statement.Session) + "/" +
         std::to_string(Statement.Transaction);
}

} // namespace

void oracle::reportViolation(const std::string &Rule,
                             const std::string &Detail) {
  Violations.push_back(Rule + ": " + Detail);
  event("soak.broken", severity::Error)
      .with("rule", Rule)
      .with("detail", Detail);
}

void oracle::recordSent(const sent_statement &Statement) {
  Statements[Statement.Id].Sent = Statement;
}

void oracle::recordReadStart(const std::string &Id, std::uint64_t Session,
                             const read_allowance &Allowance,
                             time_point Started) {
  Reads[Id] = {Session, Allowance, Started};
}

void oracle::checkExecution(const executed_statement &Statement) {
  auto Found = Statements.find(Statement.Id);
  if (Found == Statements.end())
    return reportViolation("unasked", "no caller sent " + Statement.Id);
  const auto &Sent = Found->second.Sent;
  if (Sent.Text != Statement.Text)
    reportViolation("unasked", Statement.Id + " was sent as \"" + Sent.Text +
                                   "\" and ran as \"" + Statement.Text + "\"");
  if (Sent.Settings != Statement.Settings)
    reportViolation("session", Statement.Id + " ran with other settings");
  std::string Owner = ownerOf(Sent);
  auto Transaction = Statement.ConnectionTransaction;
  if (Transaction == 0) {
    if (Sent.Transaction != 0)
      reportViolation("pinned", Statement.Id + " ran outside its transaction");
    return;
  }
  auto [Known, IsNew] = OwnerOfTransaction.emplace(Transaction, Owner);
  if (Known->second != Owner)
    reportViolation("pinned",
                    Statement.Id + " ran in a transaction of " + Known->second);
  if (Sent.Transaction == 0)
    return;
  auto [Own, First] = TransactionOfOwner.try_emplace(
      Owner, opened_transaction{Transaction, Statement.Id});
  // The first statement may be retried on another upstream. The transaction
  // that it opened before is then abandoned; recordCommit() checks that it
  // isn't committed as well.
  if (Own->second.FirstStatementId == Statement.Id)
    Own->second.Number = Transaction;
  if (Own->second.Number != Transaction)
    reportViolation("pinned",
                    Statement.Id + " ran in another transaction than before");
}

void oracle::checkRead(const std::string &Id, const commit_log &Log,
                       std::size_t Applied) {
  auto Found = Reads.find(Id);
  if (Found == Reads.end())
    return;
  const auto &Record = Found->second;
  for (const auto &Commit : Acknowledged[Record.Allowance.Group]) {
    bool Old = Commit.AcknowledgedAt + Record.Allowance.MaxStaleness <
               Record.StartedAt;
    bool Own = Commit.Session == Record.Session &&
               Commit.AcknowledgedAt < Record.StartedAt;
    if ((Old || Own) &&
        !containsCommit(Log, Applied, Commit.Offset, Commit.Number))
      return reportViolation(
          "stale", Id + " of session " + std::to_string(Record.Session) +
                       " lacks offset " + std::to_string(Commit.Offset));
  }
}

void oracle::recordResult(const std::string &Id, const signed_result &Result) {
  Statements[Id].RowsBySignature[Result.Signature] = Result.Rows;
}

void oracle::checkResult(const std::string &Id, const signed_result &Result) {
  const auto &Known = Statements[Id].RowsBySignature;
  auto Found = Known.find(Result.Signature);
  if (Found == Known.end() || Found->second != Result.Rows)
    reportViolation("mixed",
                    Id + " received an answer that no upstream sent for it");
}

void oracle::recordCommit(const log_entry &Entry) {
  Commits[Entry.Number] = Entry;
  for (const auto &Id : Entry.StatementIds) {
    auto &Record = Statements[Id];
    if (Record.CommittedBy != 0)
      reportViolation("twice", Id + " was committed twice");
    if (Record.ReportedNotCommitted)
      reportViolation(
          "refused",
          Id + " was committed after it was reported as not committed");
    Record.CommittedBy = Entry.Number;
  }
}

void oracle::recordAcknowledgement(std::uint64_t Session, const group_id &Group,
                                   const std::vector<std::string> &Ids,
                                   time_point Now) {
  for (const auto &Id : Ids) {
    auto Number = Statements[Id].CommittedBy;
    if (Number == 0) {
      reportViolation("lost", Id + " was acknowledged and never committed");
      continue;
    }
    ++AcknowledgedWrites;
    Acknowledged[Group].push_back(
        {Number, Commits[Number].Position.Offset, Session, Now});
  }
}

void oracle::recordNotCommitted(const std::vector<std::string> &Ids) {
  for (const auto &Id : Ids) {
    auto &Record = Statements[Id];
    Record.ReportedNotCommitted = true;
    if (Record.CommittedBy != 0)
      reportViolation(
          "refused",
          Id + " was reported as not committed and had been committed");
  }
}

void oracle::checkPromotion(const group_id &Group, const commit_log &Log) {
  auto &Known = Acknowledged[Group];
  for (const auto &Commit : Known)
    if (!containsCommit(Log, Log.size(), Commit.Offset, Commit.Number))
      reportViolation("lost", "the promoted upstream of " + Group.Value +
                                  " lacks offset " +
                                  std::to_string(Commit.Offset));
  // Reports each lost commit once.
  std::erase_if(Known, [&](const acknowledged_commit &Commit) {
    return !containsCommit(Log, Log.size(), Commit.Offset, Commit.Number);
  });
}

void oracle::checkPromotionRequest(const group_id &Group,
                                   const std::string &Holder,
                                   std::uint64_t Token) {
  auto [Known, IsNew] = HolderOfToken[Group].emplace(Token, Holder);
  if (Known->second != Holder)
    reportViolation("one", "token " + std::to_string(Token) + " of " +
                               Group.Value + " was used by " + Known->second +
                               " and " + Holder);
}

void oracle::recordDeploymentAcknowledged(std::uint64_t Version,
                                          time_point Now) {
  Deployments.push_back({Version, Now});
}

void oracle::checkDeploymentRead(std::uint64_t Version, time_point Sent) {
  for (const auto &Record : Deployments)
    if (Record.Version > Version &&
        Record.AcknowledgedAt + MaxDeploymentDelay < Sent)
      return reportViolation("config", "version " + std::to_string(Version) +
                                           " was read, " +
                                           std::to_string(Record.Version) +
                                           " had been acknowledged");
}

} // namespace teasellock::soak
