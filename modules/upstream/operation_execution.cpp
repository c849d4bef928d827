#include "modules/upstream/operation_execution.h"

#include "modules/upstream/libpq_support.h"

#include <utility>

namespace teasellock {

namespace {

constexpr std::size_t MaxPreparedStatements = 256;
constexpr const char *FeatureNotSupported = "0A000";
constexpr const char *InvalidStatementName = "26000";

bool changesSession(std::string_view Tag) {
  static constexpr std::string_view Tags[] = {
      "SET",     "RESET", "PREPARE",        "DEALLOCATE", "DECLARE CURSOR",
      "LISTEN",  "LOAD",  "DEALLOCATE ALL", "DISCARD",    "DISCARD ALL",
      "UNLISTEN"};
  for (std::string_view Known : Tags)
    if (Tag == Known)
      return true;
  return false;
}

char transactionStatus(const PGconn *Connection) {
  switch (PQtransactionStatus(Connection)) {
  case PQTRANS_INTRANS:
    return 'T';
  case PQTRANS_INERROR:
    return 'E';
  default:
    return 'I';
  }
}

/// Queues the execution of a statement: of the prepared one, if it has a name.
bool sendExecute(PGconn *Connection, const std::string &Name,
                 const wire::statement_step &Step) {
  parameter_arrays Arrays(Step.parameters);
  int Count = static_cast<int>(Arrays.Values.size());
  if (!Name.empty())
    return PQsendQueryPrepared(Connection, Name.c_str(), Count,
                               Arrays.Values.data(), Arrays.Lengths.data(),
                               Arrays.Formats.data(), Step.result_format) == 1;
  std::vector<Oid> Types = toOids(Step.parameter_types);
  Types.resize(static_cast<std::size_t>(Count), 0);
  return PQsendQueryParams(Connection, Step.sql.c_str(), Count, Types.data(),
                           Arrays.Values.data(), Arrays.Lengths.data(),
                           Arrays.Formats.data(), Step.result_format) == 1;
}

} // namespace

operation_execution::operation_execution()
    : Prepared(MaxPreparedStatements), Encoder({}) {}

execution_step operation_execution::begin(
    PGconn *Connection, std::vector<upstream_operation> NewOperations,
    std::function<void(std::string)> OnPart, bool CollectsRows) {
  Operations = std::move(NewOperations);
  Collect = CollectsRows;
  Result = execution_result();
  Encoder = message_encoder(std::move(OnPart));
  CurrentPhase = 0;
  buildPhases(Connection);
  Result.Sent = true;
  return send(Connection) ? execution_step::Flush
                          : execution_step::ConnectionLost;
}

void operation_execution::handleNotice(const PGresult *Notice) {
  if (!Collect && !isHidden())
    Encoder.noticeResponse(Notice);
}

bool operation_execution::isHidden() const {
  return CurrentPhase < Phases.size() &&
         Operations[Phases[CurrentPhase].Operation].Hidden;
}

void operation_execution::buildPhases(const PGconn *Connection) {
  Phases.clear();
  Pipelined = true;
  if (transactionStatus(Connection) == 'I' && !Operations.empty())
    for (std::string &Name : std::exchange(EvictedStatements, {}))
      Phases.push_back({phase_kind::Deallocate, 0, std::move(Name)});
  for (std::size_t Index = 0; Index < Operations.size(); ++Index) {
    const wire::statement_step &Step = Operations[Index].Step;
    if (Step.kind == wire::step_kind::simple) {
      Phases.push_back({phase_kind::Query, Index, ""});
      Pipelined = false;
    } else if (!Operations[Index].Prepare) {
      Phases.push_back({phase_kind::ExecuteUnprepared, Index, ""});
    } else {
      addPrepared(Index);
    }
  }
}

void operation_execution::addPrepared(std::size_t Index) {
  const wire::statement_step &Step = Operations[Index].Step;
  phase_kind Kind = Step.kind == wire::step_kind::describe
                        ? phase_kind::Describe
                        : phase_kind::Execute;
  if (const std::string *Name = Prepared.find(Step.sql, Step.parameter_types)) {
    Phases.push_back({Kind, Index, *Name});
    return;
  }
  std::string Name = Prepared.add(Step.sql, Step.parameter_types);
  Phases.push_back({phase_kind::Prepare, Index, Name});
  Phases.push_back({Kind, Index, Name});
}

bool operation_execution::send(PGconn *Connection) {
  if (!Pipelined) {
    if (PQpipelineStatus(Connection) != PQ_PIPELINE_OFF &&
        PQexitPipelineMode(Connection) != 1)
      return false;
    return sendPhase(Connection, Phases[CurrentPhase]);
  }
  if (PQpipelineStatus(Connection) == PQ_PIPELINE_OFF &&
      PQenterPipelineMode(Connection) != 1)
    return false;
  for (const phase &Phase : Phases)
    if (!sendPhase(Connection, Phase))
      return false;
  if (PQpipelineSync(Connection) != 1)
    return false;
  PQsetSingleRowMode(Connection);
  return true;
}

bool operation_execution::sendPhase(PGconn *Connection, const phase &Phase) {
  const wire::statement_step &Step = Operations[Phase.Operation].Step;
  DescribedRows = false;
  bool Sent = false;
  switch (Phase.Kind) {
  case phase_kind::Query:
    Sent = PQsendQuery(Connection, Step.sql.c_str()) == 1;
    break;
  case phase_kind::Prepare: {
    std::vector<Oid> Types = toOids(Step.parameter_types);
    Sent = PQsendPrepare(Connection, Phase.Name.c_str(), Step.sql.c_str(),
                         static_cast<int>(Types.size()), Types.data()) == 1;
    break;
  }
  case phase_kind::Execute:
  case phase_kind::ExecuteUnprepared:
    Sent = sendExecute(Connection, Phase.Name, Step);
    break;
  case phase_kind::Deallocate:
    Sent = PQsendQueryParams(Connection, ("DEALLOCATE " + Phase.Name).c_str(),
                             0, nullptr, nullptr, nullptr, nullptr, 0) == 1;
    break;
  case phase_kind::Describe:
    Sent = PQsendDescribePrepared(Connection, Phase.Name.c_str()) == 1;
    break;
  }
  if (Sent && !Pipelined)
    PQsetSingleRowMode(Connection);
  return Sent;
}

execution_step operation_execution::handleEndOfResults(PGconn *Connection) {
  if (PQstatus(Connection) == CONNECTION_BAD)
    return execution_step::ConnectionLost;
  ++CurrentPhase;
  if (Pipelined) {
    DescribedRows = false;
    PQsetSingleRowMode(Connection);
    return execution_step::Continue;
  }
  if (Result.Failure || CurrentPhase == Phases.size())
    return execution_step::Finish;
  return sendPhase(Connection, Phases[CurrentPhase])
             ? execution_step::Flush
             : execution_step::ConnectionLost;
}

execution_step operation_execution::handleResult(PGresult *Next) {
  switch (PQresultStatus(Next)) {
  case PGRES_PIPELINE_SYNC:
    return execution_step::Finish;
  case PGRES_PIPELINE_ABORTED:
    removePreparation();
    return execution_step::Continue;
  case PGRES_FATAL_ERROR:
  case PGRES_BAD_RESPONSE:
  case PGRES_NONFATAL_ERROR:
    return handleError(Next);
  case PGRES_COPY_IN:
  case PGRES_COPY_OUT:
  case PGRES_COPY_BOTH:
    return refuseCopy();
  default:
    handleSuccess(Next);
    return execution_step::Continue;
  }
}

void operation_execution::removePreparation() {
  if (Phases[CurrentPhase].Kind == phase_kind::Prepare)
    Prepared.remove(Phases[CurrentPhase].Name);
}

execution_step operation_execution::handleError(const PGresult *Next) {
  const char *Code = PQresultErrorField(Next, PG_DIAG_SQLSTATE);
  // An error without a code originates from libpq: the connection is lost.
  if (!Code)
    return execution_step::ConnectionLost;
  removePreparation();
  // A cached plan that is no longer valid, or a name that the server no
  // longer knows.
  if ((std::string_view(Code) == FeatureNotSupported ||
       std::string_view(Code) == InvalidStatementName) &&
      Phases[CurrentPhase].Kind == phase_kind::Execute)
    Prepared.remove(Phases[CurrentPhase].Name);
  const char *Text = PQresultErrorField(Next, PG_DIAG_MESSAGE_PRIMARY);
  if (!Result.Failure)
    Result.Failure = operation_failure{Phases[CurrentPhase].Operation, Code,
                                       Text ? Text : ""};
  if (!Collect)
    Encoder.errorResponse(Next);
  return execution_step::Continue;
}

execution_step operation_execution::refuseCopy() {
  std::string Text = "COPY is not supported through teasellock";
  Result.Failure = operation_failure{Phases[CurrentPhase].Operation,
                                     FeatureNotSupported, Text};
  Result.Problem = Text;
  Result.Messages =
      Encoder.extractRemaining() + makeErrorResponse(FeatureNotSupported, Text);
  MustClose = true;
  return execution_step::Finish;
}

void operation_execution::handleSuccess(PGresult *Next) {
  const phase &Phase = Phases[CurrentPhase];
  if (Phase.Kind == phase_kind::Prepare || Phase.Kind == phase_kind::Deallocate)
    return;
  const upstream_operation &Operation = Operations[Phase.Operation];
  ExecStatusType Status = PQresultStatus(Next);
  if (Phase.Kind == phase_kind::Describe) {
    Encoder.parameterDescription(Next);
    PQnfields(Next) > 0 ? Encoder.rowDescription(Next) : Encoder.noData();
    return;
  }
  if (Collect)
    return collect(Next);
  if (!Operation.Hidden)
    encode(Next, Status, Operation.Step);
  // One row in single-row mode: the command has not completed.
  if (Status == PGRES_SINGLE_TUPLE)
    return;
  DescribedRows = false;
  countCommand(Next, Operation.Hidden);
}

void operation_execution::collect(const PGresult *Next) {
  // In single-row mode each row is a result, and the last result is empty.
  if (!DescribedRows) {
    Result.Tables.emplace_back();
    DescribedRows = true;
  }
  text_table Rows = toTable(Next);
  for (std::vector<std::string> &Row : Rows.Rows)
    Result.Tables.back().Rows.push_back(std::move(Row));
  if (PQresultStatus(Next) != PGRES_SINGLE_TUPLE)
    DescribedRows = false;
}

void operation_execution::encode(const PGresult *Next, ExecStatusType Status,
                                 const wire::statement_step &Step) {
  bool Simple = Step.kind == wire::step_kind::simple;
  if (Status == PGRES_EMPTY_QUERY) {
    if (Step.describe_rows && !Simple)
      Encoder.noData();
    return Encoder.emptyQuery();
  }
  bool HasRows = Status == PGRES_SINGLE_TUPLE || Status == PGRES_TUPLES_OK;
  if (!DescribedRows && (Simple || Step.describe_rows)) {
    if (HasRows)
      Encoder.rowDescription(Next);
    else if (!Simple)
      Encoder.noData();
  }
  DescribedRows = true;
  if (HasRows)
    Encoder.dataRows(Next);
  if (Status != PGRES_SINGLE_TUPLE)
    Encoder.commandComplete(Next);
}

void operation_execution::countCommand(PGresult *Next, bool Hidden) {
  std::string_view Tag = PQcmdStatus(Next);
  if (changesSession(Tag) && !Hidden)
    Result.SessionChanged = true;
  // DISCARD ALL deallocates the prepared statements, too.
  if (Tag.starts_with("DISCARD") || Tag.starts_with("DEALLOCATE ALL")) {
    Prepared.clear();
    EvictedStatements.clear();
  }
  if (Hidden)
    return;
  ++Result.Completed;
  if (Tag != "ROLLBACK")
    Result.OnlyRollbacks = false;
}

execution_result
operation_execution::finish(const PGconn *Connection,
                            std::optional<std::string> ConnectionProblem) {
  Result.ConnectionLost = ConnectionProblem.has_value();
  if (ConnectionProblem)
    Result.Problem = std::move(*ConnectionProblem);
  else
    Result.TransactionStatus = transactionStatus(Connection);
  Result.Messages += Encoder.extractRemaining();
  removeUnsentPreparations();
  if (!Result.ConnectionLost && !MustClose)
    evictStatements();
  return std::exchange(Result, {});
}

/// After an error in a sequence of simple queries the remaining phases were
/// not sent.
void operation_execution::removeUnsentPreparations() {
  if (Pipelined || !Result.Failure)
    return;
  for (std::size_t Index = CurrentPhase; Index < Phases.size(); ++Index)
    if (Phases[Index].Kind == phase_kind::Prepare)
      Prepared.remove(Phases[Index].Name);
}

/// Statements beyond the limit are deallocated together with the next
/// execution; until then the server holds a few more.
void operation_execution::evictStatements() {
  while (auto Name = Prepared.evict())
    EvictedStatements.push_back(*Name);
}

} // namespace teasellock
