#include "modules/gateway/group_state.h"
#include "modules/upstream/message_encoder.h"

namespace teasellock {

namespace {

constexpr const char *KeyGivenUp = "57P03";
constexpr const char *SuccessfulCompletion = "00000";

wire::step_kind::type kindOf(const std::vector<wire::statement_step> &Steps) {
  for (const wire::statement_step &Step : Steps)
    if (Step.kind == wire::step_kind::simple)
      return wire::step_kind::simple;
  return wire::step_kind::execute;
}

} // namespace

bool group_gateway::state::shouldRecordKey(
    const gateway_statement &Statement) const {
  if (Statement.Request.idempotency_key.empty() || Statement.isRead())
    return false;
  return !Statement.inTransaction() || Statement.Request.opens_transaction;
}

std::vector<upstream_operation>
group_gateway::state::makeOperations(const gateway_statement &Statement) const {
  std::vector<upstream_operation> Operations;
  const std::string &Key = Statement.Request.idempotency_key;
  if (Statement.Purpose == execution_purpose::Tombstone) {
    Operations.push_back(
        hiddenQuery(dialect::recordKey(Key, key_outcome::Tombstone)));
    return Operations;
  }
  bool Keyed = shouldRecordKey(Statement);
  bool Wrapped = Keyed && !Statement.inTransaction();
  bool Simple = kindOf(Statement.Request.steps) == wire::step_kind::simple;
  auto Hidden = [&](std::string Sql) {
    Operations.push_back(Simple ? hiddenQuery(std::move(Sql))
                                : hiddenStatement(std::move(Sql)));
  };
  if (Wrapped) {
    Hidden("BEGIN");
    Hidden(dialect::recordKey(Key, key_outcome::Executed));
  }
  for (const wire::statement_step &Step : Statement.Request.steps)
    Operations.push_back({Step, false, true});
  if (Wrapped)
    Hidden("COMMIT");
  else if (Keyed)
    Hidden(dialect::recordKey(Key, key_outcome::Executed));
  return Operations;
}

// In a transaction that the caller opened the conflict is reported to the
// caller.
bool group_gateway::state::isKeyConflict(const gateway_statement &Statement,
                                         const execution_result &Result) const {
  return shouldRecordKey(Statement) && !Statement.inTransaction() &&
         Result.Failure && Result.Failure->Code == UniqueViolation &&
         Result.Failure->Operation == 1;
}

void group_gateway::state::lookUpKey(gateway_statement &Statement) {
  Statement.Purpose = execution_purpose::KeyLookup;
  Statement.HeldMessages.clear();
  execution_callbacks Events;
  Events.Collect = true;
  Events.OnDone = [Weak = weak_from_this(),
                   Id = Statement.Id](execution_result Result) {
    if (auto Self = Weak.lock())
      Self->onDone(Id, std::move(Result));
  };
  std::vector<upstream_operation> Operations;
  Operations.push_back(hiddenQuery("ROLLBACK"));
  Operations.push_back(hiddenQuery(
      dialect::selectKeyOutcome(Statement.Request.idempotency_key)));
  Statement.Connection->Connection->execute(std::move(Operations),
                                            std::move(Events));
}

void group_gateway::state::onKeyLookedUp(std::uint64_t Id,
                                         execution_result Result) {
  gateway_statement &Statement = *find(Id);
  Statement.Purpose = execution_purpose::Statement;
  bool Found = !Result.ConnectionLost && !Result.Failure &&
               !Result.Tables.empty() && !Result.Tables.back().Rows.empty() &&
               !Result.Tables.back().Rows[0].empty();
  releaseConnection(Statement,
                    Result.ConnectionLost || Result.TransactionStatus != 'I'
                        ? connection_disposition::Close
                        : connection_disposition::ReturnToPool);
  if (!Found)
    return startKeyResolution(
        Statement, "the row of the idempotency key could not be read");
  try {
    Statement.KeyOutcome = dialect::parseKeyOutcome(
        Result.Tables.back().Rows[0][0], Statement.Upstream.Value);
  } catch (const error &Problem) {
    return answerUnknown(Statement, Problem.what());
  }
  awaitAcknowledgement(Statement);
}

// Starts to determine the outcome of a lost write by inserting a tombstone for
// its key. If the insertion succeeds, the write can never commit; if the key
// exists already, its row tells the outcome.
void group_gateway::state::startKeyResolution(gateway_statement &Statement,
                                              const std::string &Problem) {
  if (Statement.Deadline <= now())
    return answerUnknown(Statement, Problem);
  Statement.Purpose = execution_purpose::Tombstone;
  Statement.Phase = statement_phase::ResolvingKey;
  Statement.HeldMessages.clear();
  Statement.KeyOutcome.reset();
}

void group_gateway::state::onTombstoneInserted(gateway_statement &Statement,
                                               execution_result Result) {
  if (Result.ConnectionLost) {
    releaseConnection(Statement, connection_disposition::Close);
    return startKeyResolution(Statement, Result.Problem);
  }
  if (Result.Failure && Result.Failure->Code == UniqueViolation)
    return lookUpKey(Statement);
  releaseConnection(Statement, Result.TransactionStatus == 'I'
                                   ? connection_disposition::ReturnToPool
                                   : connection_disposition::Close);
  if (Result.Failure)
    return answerUnknown(Statement, Result.Failure->Message);
  Statement.KeyOutcome = key_outcome::Tombstone;
  awaitAcknowledgement(Statement);
}

void group_gateway::state::answerFromKey(gateway_statement &Statement,
                                         const position &Reached) {
  if (*Statement.KeyOutcome == key_outcome::Tombstone)
    return answerNotRun(
        Statement, KeyGivenUp,
        "the statement was not run and can no longer be run under "
        "this idempotency key");
  Statement.HeldMessages.clear();
  Statement.HeldMessages.push_back(
      makeNoticeResponse(SuccessfulCompletion,
                         "already executed under this idempotency key") +
      makeCommandComplete("INSERT 0 0"));
  answer(Statement, Reached, 'I');
}

} // namespace teasellock
