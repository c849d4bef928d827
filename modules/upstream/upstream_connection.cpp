#include "modules/upstream/upstream_connection.h"

#include "modules/upstream/message_encoder.h"
#include "modules/upstream/statement_cache.h"

#include <cerrno>
#include <cstring>
#include <libpq-fe.h>

namespace teasellock {

namespace {

constexpr std::size_t MaxPreparedStatements = 256;
constexpr const char *FeatureNotSupported = "0A000";
constexpr const char *InvalidStatementName = "26000";

/// One message exchange of an operation.
enum class phase_kind {
  Query,
  Prepare,
  Execute,
  ExecuteUnprepared,
  Describe,
  Deallocate,
};

struct phase {
  phase_kind Kind;
  std::size_t Operation;
  std::string Name;
};

struct result_deleter {
  void operator()(PGresult *Result) const { PQclear(Result); }
};
using result_ptr = std::unique_ptr<PGresult, result_deleter>;

text_table toTable(const PGresult *Result) {
  text_table Table;
  for (int Row = 0; Row < PQntuples(Result); ++Row) {
    std::vector<std::string> &Values = Table.Rows.emplace_back();
    for (int Column = 0; Column < PQnfields(Result); ++Column)
      Values.emplace_back(PQgetvalue(Result, Row, Column));
  }
  return Table;
}

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

/// The parameters of one execution as arrays for libpq.
struct parameter_arrays {
  std::vector<const char *> Values;
  std::vector<int> Lengths;
  std::vector<int> Formats;

  explicit parameter_arrays(const std::vector<wire::parameter> &Parameters) {
    for (const wire::parameter &Parameter : Parameters) {
      Values.push_back(Parameter.null_value ? nullptr
                                            : Parameter.value.c_str());
      Lengths.push_back(static_cast<int>(Parameter.value.size()));
      Formats.push_back(Parameter.format);
    }
  }
};

std::vector<Oid> toOids(const std::vector<std::int32_t> &Types) {
  return std::vector<Oid>(Types.begin(), Types.end());
}

std::string trimmed(const char *Text) {
  std::string Line(Text ? Text : "");
  while (!Line.empty() && Line.back() == '\n')
    Line.pop_back();
  return Line;
}

PGconn *startConnection(const upstream_target &Target) {
  std::string Port = std::to_string(Target.Address.Port);
  std::vector<const char *> Names;
  std::vector<const char *> Values;
  auto Add = [&](const char *Name, const std::string &Value) {
    if (Value.empty())
      return;
    Names.push_back(Name);
    Values.push_back(Value.c_str());
  };
  Add("hostaddr", Target.Address.Address);
  Add("port", Port);
  Add("dbname", Target.Database);
  Add("user", Target.User);
  Add("password", Target.Password);
  Add("application_name", Target.ApplicationName);
  Add("sslmode", Target.SslMode);
  Add("sslrootcert", Target.SslRootCertificate);
  static const std::string Disable = "disable";
  Add("gssencmode", Disable);
  Names.push_back(nullptr);
  Values.push_back(nullptr);
  return PQconnectStartParams(Names.data(), Values.data(), 0);
}

} // namespace

upstream_operation hiddenQuery(std::string Sql) {
  upstream_operation Operation;
  Operation.Step.kind = wire::step_kind::simple;
  Operation.Step.sql = std::move(Sql);
  Operation.Hidden = true;
  return Operation;
}

upstream_operation hiddenStatement(std::string Sql) {
  upstream_operation Operation = hiddenQuery(std::move(Sql));
  Operation.Step.kind = wire::step_kind::execute;
  Operation.Prepare = false;
  return Operation;
}

bool isConnectionRefused(const error &Error) {
  return Error.reason().find(std::strerror(ECONNREFUSED)) !=
             std::string::npos ||
         Error.reason().find(std::strerror(ECONNRESET)) != std::string::npos;
}

struct upstream_connection::state
    : std::enable_shared_from_this<upstream_connection::state> {
  state(daemon_context &Context, upstream_target Target)
      : Context(Context), Target(std::move(Target)),
        Prepared(MaxPreparedStatements), Encoder({}) {}

  ~state() {
    if (Connection)
      PQfinish(Connection);
  }

  daemon_context &Context;
  upstream_target Target;
  PGconn *Connection = nullptr;
  descriptor_watch Watch;
  int WatchedSocket = -1;
  bool WantsWrite = false;
  timer_subscription ConnectTimer;
  std::function<void(std::optional<error>)> OnOpened;
  std::function<void()> OnLost;
  bool Open = false;
  bool Closed = false;
  time_point LastReceivedAt;
  statement_cache Prepared;

  // The current execution.
  bool Running = false;
  std::vector<upstream_operation> Operations;
  std::vector<phase> Phases;
  std::size_t CurrentPhase = 0;
  bool Pipelined = false;
  bool DescribedRows = false;
  execution_callbacks Events;
  execution_result Result;
  message_encoder Encoder;

  std::string peer() const { return toString(Target.Address); }

  void start() {
    Connection = startConnection(Target);
    if (!Connection || PQstatus(Connection) == CONNECTION_BAD) {
      std::string Problem =
          Connection ? trimmed(PQerrorMessage(Connection)) : "out of memory";
      Context.Loop.post(
          [Self = shared_from_this(), Problem] { Self->failOpening(Problem); });
      return;
    }
    PQsetNoticeReceiver(Connection, &state::receiveNotice, this);
    ConnectTimer =
        Context.Timers.after(Target.ConnectTimeout, [Weak = weak_from_this()] {
          if (auto Self = Weak.lock())
            Self->failOpening("timed out");
        });
    watchSocket({false, true});
  }

  static void receiveNotice(void *Argument, const PGresult *Notice) {
    auto *Self = static_cast<state *>(Argument);
    if (Self->Running && !Self->Events.Collect && !Self->isHidden())
      Self->Encoder.noticeResponse(Notice);
  }

  bool isHidden() const {
    return CurrentPhase < Phases.size() &&
           Operations[Phases[CurrentPhase].Operation].Hidden;
  }

  void watchSocket(readiness Wanted) {
    // libpq may switch to another socket while it connects.
    int Socket = PQsocket(Connection);
    if (Socket < 0)
      return;
    WatchedSocket = Socket;
    WantsWrite = Wanted.Writable;
    Watch = Context.Loop.watch(Socket, Wanted,
                               [Weak = weak_from_this()](readiness Ready) {
                                 if (auto Self = Weak.lock())
                                   Self->onReady(Ready);
                               });
  }

  void onReady(readiness Ready) {
    if (Closed)
      return;
    if (!Open)
      return pollConnecting();
    if (Ready.Writable)
      flush();
    if (Ready.Readable && !Closed)
      consume();
  }

  void pollConnecting() {
    PostgresPollingStatusType Status = PQconnectPoll(Connection);
    if (Status == PGRES_POLLING_FAILED)
      return failOpening(trimmed(PQerrorMessage(Connection)));
    if (Status == PGRES_POLLING_READING)
      return watchSocket({true, false});
    if (Status == PGRES_POLLING_WRITING)
      return watchSocket({false, true});
    if (Status != PGRES_POLLING_OK)
      return;
    PQsetnonblocking(Connection, 1);
    Open = true;
    LastReceivedAt = Context.Timers.now();
    ConnectTimer.cancel();
    watchSocket({true, false});
    if (auto Callback = std::exchange(OnOpened, nullptr))
      Callback(std::nullopt);
  }

  void failOpening(const std::string &Problem) {
    if (Closed || Open)
      return;
    auto Callback = std::exchange(OnOpened, nullptr);
    close();
    if (Callback)
      Callback(error("upstream.connect", peer(), Problem));
  }

  void close() {
    if (Closed)
      return;
    Closed = true;
    Open = false;
    Watch = descriptor_watch();
    ConnectTimer.cancel();
    OnOpened = nullptr;
    OnLost = nullptr;
    Events = execution_callbacks();
    // libpq may be on the call stack: the connection is freed later.
    Context.Loop.post([Self = shared_from_this()] {
      if (Self->Connection)
        PQfinish(std::exchange(Self->Connection, nullptr));
    });
  }

  void execute(std::vector<upstream_operation> NewOperations,
               execution_callbacks NewEvents) {
    Operations = std::move(NewOperations);
    Events = std::move(NewEvents);
    Result = execution_result();
    Encoder = message_encoder(Events.OnPart);
    Running = true;
    CurrentPhase = 0;
    if (Closed || !Open) {
      Running = false;
      return reportLater("connection is closed");
    }
    buildPhases();
    Result.Sent = true;
    if (!send())
      handleConnectionLoss();
  }

  void reportLater(const std::string &Problem) {
    Context.Loop.post(
        [Self = shared_from_this(), Problem, Done = std::move(Events.OnDone)] {
          execution_result Failed;
          Failed.ConnectionLost = true;
          Failed.Problem = Problem;
          Done(std::move(Failed));
        });
  }

  void buildPhases() {
    Phases.clear();
    Pipelined = true;
    if (transactionStatus() == 'I' && !Operations.empty())
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

  void addPrepared(std::size_t Index) {
    const wire::statement_step &Step = Operations[Index].Step;
    phase_kind Kind = Step.kind == wire::step_kind::describe
                          ? phase_kind::Describe
                          : phase_kind::Execute;
    if (const std::string *Name =
            Prepared.find(Step.sql, Step.parameter_types)) {
      Phases.push_back({Kind, Index, *Name});
      return;
    }
    std::string Name = Prepared.add(Step.sql, Step.parameter_types);
    Phases.push_back({phase_kind::Prepare, Index, Name});
    Phases.push_back({Kind, Index, Name});
  }

  bool send() {
    if (!Pipelined) {
      if (PQpipelineStatus(Connection) != PQ_PIPELINE_OFF &&
          PQexitPipelineMode(Connection) != 1)
        return false;
      return sendPhase(Phases[CurrentPhase]) && flush();
    }
    if (PQpipelineStatus(Connection) == PQ_PIPELINE_OFF &&
        PQenterPipelineMode(Connection) != 1)
      return false;
    for (const phase &Phase : Phases)
      if (!sendPhase(Phase))
        return false;
    if (PQpipelineSync(Connection) != 1)
      return false;
    PQsetSingleRowMode(Connection);
    return flush();
  }

  bool sendPhase(const phase &Phase) {
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
      Sent = sendExecute(Phase, Step);
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

  bool sendExecute(const phase &Phase, const wire::statement_step &Step) {
    parameter_arrays Arrays(Step.parameters);
    int Count = static_cast<int>(Arrays.Values.size());
    if (Phase.Kind == phase_kind::Execute)
      return PQsendQueryPrepared(Connection, Phase.Name.c_str(), Count,
                                 Arrays.Values.data(), Arrays.Lengths.data(),
                                 Arrays.Formats.data(),
                                 Step.result_format) == 1;
    std::vector<Oid> Types = toOids(Step.parameter_types);
    Types.resize(static_cast<std::size_t>(Count), 0);
    return PQsendQueryParams(Connection, Step.sql.c_str(), Count, Types.data(),
                             Arrays.Values.data(), Arrays.Lengths.data(),
                             Arrays.Formats.data(), Step.result_format) == 1;
  }

  bool flush() {
    int Status = PQflush(Connection);
    bool Wanted = Status == 1;
    if (Wanted != WantsWrite) {
      WantsWrite = Wanted;
      Watch.setInterest({true, Wanted});
    }
    return Status >= 0;
  }

  void consume() {
    LastReceivedAt = Context.Timers.now();
    if (PQconsumeInput(Connection) != 1)
      return handleConnectionLoss();
    if (!Running)
      return checkIdle();
    auto Self = shared_from_this();
    while (Running && !Closed && !PQisBusy(Connection)) {
      result_ptr Next(PQgetResult(Connection));
      if (!Next)
        endPhase();
      else
        handleResult(Next.get());
    }
    if (Running && !Closed && PQstatus(Connection) == CONNECTION_BAD)
      handleConnectionLoss();
  }

  // An idle connection receives only notices and parameter changes. A result,
  // such as the error that the server sends before it closes the connection,
  // ends it.
  void checkIdle() {
    if (PQstatus(Connection) == CONNECTION_BAD || !PQisBusy(Connection)) {
      result_ptr Next(PQgetResult(Connection));
      if (Next || PQstatus(Connection) == CONNECTION_BAD)
        handleConnectionLoss();
    }
  }

  void handleConnectionLoss() {
    if (Closed)
      return;
    Result.ConnectionLost = true;
    Result.Problem = trimmed(PQerrorMessage(Connection));
    auto Callback = std::exchange(OnLost, nullptr);
    if (Running)
      return finish();
    close();
    if (Callback)
      Callback();
  }

  void endPhase() {
    if (PQstatus(Connection) == CONNECTION_BAD)
      return handleConnectionLoss();
    if (Pipelined) {
      ++CurrentPhase;
      DescribedRows = false;
      PQsetSingleRowMode(Connection);
      return;
    }
    ++CurrentPhase;
    if (Result.Failure || CurrentPhase == Phases.size())
      return finish();
    if (!sendPhase(Phases[CurrentPhase]) || !flush())
      handleConnectionLoss();
  }

  void handleResult(PGresult *Next) {
    switch (PQresultStatus(Next)) {
    case PGRES_PIPELINE_SYNC:
      return finish();
    case PGRES_PIPELINE_ABORTED:
      return removePreparation();
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
    }
  }

  void removePreparation() {
    if (Phases[CurrentPhase].Kind == phase_kind::Prepare)
      Prepared.remove(Phases[CurrentPhase].Name);
  }

  void handleError(PGresult *Next) {
    const char *Code = PQresultErrorField(Next, PG_DIAG_SQLSTATE);
    // An error without a code originates from libpq: the connection is lost.
    if (!Code)
      return handleConnectionLoss();
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
    if (!Events.Collect)
      Encoder.errorResponse(Next);
  }

  void refuseCopy() {
    std::string Text = "COPY is not supported through teasellock";
    Result.Failure = operation_failure{Phases[CurrentPhase].Operation,
                                       FeatureNotSupported, Text};
    Result.Problem = Text;
    Result.Messages = Encoder.extractRemaining() +
                      makeErrorResponse(FeatureNotSupported, Text);
    ShouldCloseAfterwards = true;
    finish();
  }

  void handleSuccess(PGresult *Next) {
    const phase &Phase = Phases[CurrentPhase];
    if (Phase.Kind == phase_kind::Prepare ||
        Phase.Kind == phase_kind::Deallocate)
      return;
    const upstream_operation &Operation = Operations[Phase.Operation];
    ExecStatusType Status = PQresultStatus(Next);
    if (Phase.Kind == phase_kind::Describe) {
      Encoder.parameterDescription(Next);
      PQnfields(Next) > 0 ? Encoder.rowDescription(Next) : Encoder.noData();
      return;
    }
    if (Events.Collect)
      return collect(Next);
    if (!Operation.Hidden)
      encode(Next, Status, Operation.Step);
    // One row in single-row mode: the command has not completed.
    if (Status == PGRES_SINGLE_TUPLE)
      return;
    DescribedRows = false;
    countCommand(Next, Operation.Hidden);
  }

  void collect(const PGresult *Next) {
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

  void encode(const PGresult *Next, ExecStatusType Status,
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

  void countCommand(PGresult *Next, bool Hidden) {
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

  void finish() {
    Running = false;
    if (!Result.ConnectionLost)
      Result.TransactionStatus = transactionStatus();
    Result.Messages += Encoder.extractRemaining();
    removeUnsentPreparations();
    execution_result Finished = std::move(Result);
    auto Done = std::move(Events.OnDone);
    Events = execution_callbacks();
    if (Finished.ConnectionLost || ShouldCloseAfterwards)
      close();
    else
      evictStatements();
    if (Done)
      Done(std::move(Finished));
  }

  // After an error in a sequence of simple queries the remaining phases were
  // not sent.
  void removeUnsentPreparations() {
    if (Pipelined || !Result.Failure)
      return;
    for (std::size_t Index = CurrentPhase; Index < Phases.size(); ++Index)
      if (Phases[Index].Kind == phase_kind::Prepare)
        Prepared.remove(Phases[Index].Name);
  }

  char transactionStatus() const {
    switch (PQtransactionStatus(Connection)) {
    case PQTRANS_INTRANS:
      return 'T';
    case PQTRANS_INERROR:
      return 'E';
    default:
      return 'I';
    }
  }

  // Statements beyond the limit are deallocated together with the next
  // execution; until then the server holds a few more.
  void evictStatements() {
    while (auto Name = Prepared.evict())
      EvictedStatements.push_back(*Name);
  }

  /// Names of statements evicted from the cache and not yet deallocated.
  std::vector<std::string> EvictedStatements;
  bool ShouldCloseAfterwards = false;
};

upstream_connection::upstream_connection(
    daemon_context &Context, upstream_target Target,
    std::function<void(std::optional<error>)> Opened)
    : State(std::make_shared<state>(Context, std::move(Target))) {
  State->OnOpened = std::move(Opened);
  State->start();
}

upstream_connection::~upstream_connection() { State->close(); }

void upstream_connection::onLost(std::function<void()> Callback) {
  State->OnLost = std::move(Callback);
}

void upstream_connection::execute(std::vector<upstream_operation> Operations,
                                  execution_callbacks Events) {
  State->execute(std::move(Operations), std::move(Events));
}

void upstream_connection::close() { State->close(); }

bool upstream_connection::isOpen() const { return State->Open; }

int upstream_connection::backEndPid() const {
  return State->Connection ? PQbackendPID(State->Connection) : 0;
}

time_point upstream_connection::lastReceivedAt() const {
  return State->LastReceivedAt;
}

} // namespace teasellock
