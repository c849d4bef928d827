#include "tests/soak/oracle.h"

#include "core/event_log.h"

#include <algorithm>

namespace teasellock::soak {

namespace {

/// A deployment is in force everywhere this long after its acknowledgement.
constexpr duration DeploymentDelay = std::chrono::milliseconds(3000);

bool holds(const commit_log &Log, std::size_t Applied, std::uint64_t Offset,
           std::uint64_t Number) {
  return Offset <= Applied && Log[Offset - 1].Number == Number;
}

/// Who a statement belongs to: a transaction of a caller, or itself alone.
std::string ownerOf(const sent_statement &Statement) {
  if (Statement.Transaction == 0)
    return Statement.Id;
  return std::to_string(Statement.Session) + "/" +
         std::to_string(Statement.Transaction);
}

} // namespace

void oracle::fail(const std::string &Rule, const std::string &Detail) {
  Broken.push_back(Rule + ": " + Detail);
  event("soak.broken", severity::Error)
      .with("rule", Rule)
      .with("detail", Detail);
}

void oracle::sent(const sent_statement &Statement) {
  Statements[Statement.Id].Sent = Statement;
}

void oracle::readStarts(const std::string &Id, std::uint64_t Session,
                        const read_allowance &Allowance, time_point Started) {
  Reads[Id] = {Session, Allowance, Started};
}

void oracle::ran(const run_statement &Statement) {
  auto Found = Statements.find(Statement.Id);
  if (Found == Statements.end())
    return fail("unasked", "nobody sent " + Statement.Id);
  const auto &Sent = Found->second.Sent;
  if (Sent.Text != Statement.Text)
    fail("unasked", Statement.Id + " was sent as \"" + Sent.Text +
                        "\" and ran as \"" + Statement.Text + "\"");
  if (Sent.Settings != Statement.Settings)
    fail("session", Statement.Id + " ran with other values");
  std::string Owner = ownerOf(Sent);
  auto Transaction = Statement.ConnectionTransaction;
  if (Transaction == 0) {
    if (Sent.Transaction != 0)
      fail("pinned", Statement.Id + " ran outside its transaction");
    return;
  }
  auto [Known, IsNew] = OwnerOfTransaction.emplace(Transaction, Owner);
  if (Known->second != Owner)
    fail("pinned", Statement.Id + " ran in a transaction of " + Known->second);
  if (Sent.Transaction == 0)
    return;
  auto [Own, First] = TransactionOfOwner.try_emplace(
      Owner, opened_transaction{Transaction, Statement.Id});
  // The first statement may be tried again elsewhere: what it opened before
  // has then been given up, and committed() sees to it that it stays so.
  if (Own->second.OpenerId == Statement.Id)
    Own->second.Number = Transaction;
  if (Own->second.Number != Transaction)
    fail("pinned", Statement.Id + " ran in another transaction than before");
}

void oracle::read(const std::string &Id, const commit_log &Log,
                  std::size_t Applied) {
  auto Found = Reads.find(Id);
  if (Found == Reads.end())
    return;
  const auto &Record = Found->second;
  for (const auto &Commit : Acknowledged[Record.Allowance.Group]) {
    bool Old = Commit.At + Record.Allowance.MaxStaleness < Record.At;
    bool Own = Commit.Session == Record.Session && Commit.At < Record.At;
    if ((Old || Own) && !holds(Log, Applied, Commit.Offset, Commit.Number))
      return fail("stale",
                  Id + " of session " + std::to_string(Record.Session) +
                      " lacks offset " + std::to_string(Commit.Offset));
  }
}

void oracle::signs(const std::string &Id, const signed_answer &Answer) {
  Statements[Id].RowsBySignature[Answer.Signature] = Answer.Rows;
}

void oracle::succeeded(const std::string &Id, const signed_answer &Answer) {
  const auto &Known = Statements[Id].RowsBySignature;
  auto Found = Known.find(Answer.Signature);
  if (Found == Known.end() || Found->second != Answer.Rows)
    fail("mixed", Id + " got an answer that no upstream gave to it");
}

void oracle::committed(const log_entry &Entry) {
  Commits[Entry.Number] = Entry;
  for (const auto &Id : Entry.StatementIds) {
    auto &Record = Statements[Id];
    if (Record.CommittedBy != 0)
      fail("twice", Id + " was committed twice");
    if (Record.NotKept)
      fail("refused", Id + " was committed after it was called not kept");
    Record.CommittedBy = Entry.Number;
  }
}

void oracle::acknowledged(std::uint64_t Session, const group_id &Group,
                          const std::vector<std::string> &Ids, time_point Now) {
  for (const auto &Id : Ids) {
    auto Number = Statements[Id].CommittedBy;
    if (Number == 0) {
      fail("lost", Id + " was acknowledged and never committed");
      continue;
    }
    ++AcknowledgedWrites;
    Acknowledged[Group].push_back(
        {Number, Commits[Number].Position.Offset, Session, Now});
  }
}

void oracle::notKept(const std::vector<std::string> &Ids) {
  for (const auto &Id : Ids) {
    auto &Record = Statements[Id];
    Record.NotKept = true;
    if (Record.CommittedBy != 0)
      fail("refused", Id + " was called not kept and had been committed");
  }
}

void oracle::promoted(const group_id &Group, const commit_log &Log) {
  auto &Known = Acknowledged[Group];
  for (const auto &Commit : Known)
    if (!holds(Log, Log.size(), Commit.Offset, Commit.Number))
      fail("lost", "the promoted upstream of " + Group.Value +
                       " lacks offset " + std::to_string(Commit.Offset));
  // What is gone is told once.
  std::erase_if(Known, [&](const acknowledged_commit &Commit) {
    return !holds(Log, Log.size(), Commit.Offset, Commit.Number);
  });
}

void oracle::ordered(const group_id &Group, const std::string &Holder,
                     std::uint64_t Token) {
  auto [Known, IsNew] = HolderOfToken[Group].emplace(Token, Holder);
  if (Known->second != Holder)
    fail("one", "token " + std::to_string(Token) + " of " + Group.Value +
                    " was used by " + Known->second + " and " + Holder);
}

void oracle::deploymentAcknowledged(std::uint64_t Version, time_point Now) {
  Deployments.push_back({Version, Now});
}

void oracle::deploymentRead(std::uint64_t Version, time_point Sent) {
  for (const auto &Record : Deployments)
    if (Record.Version > Version && Record.At + DeploymentDelay < Sent)
      return fail("config", "version " + std::to_string(Version) +
                                " was read, " + std::to_string(Record.Version) +
                                " had been acknowledged");
}

} // namespace teasellock::soak
