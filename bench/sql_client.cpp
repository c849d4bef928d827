#include "bench/sql_client.h"

#include <libpq-fe.h>

namespace teasellock::bench {

struct sql_client::state : std::enable_shared_from_this<state> {
  state(event_loop &Loop, timer_service &Timers) : Loop(Loop), Timers(Timers) {}
  ~state() { disconnect(); }

  void disconnect();
  void pollConnect();
  void finishConnect(bool Connected);
  void handleConnected();
  void flushOutput();
  void handleReadable();
  void recordResult(PGresult *Result);
  void finishQuery();

  event_loop &Loop;
  timer_service &Timers;
  PGconn *Handle = nullptr;
  descriptor_watch Watch;
  timer_subscription Timeout;
  std::function<void(bool, const std::string &)> OnConnected;
  std::function<void(const query_result &)> OnResult;
  query_result QueryResult;
};

void sql_client::state::disconnect() {
  Watch = descriptor_watch();
  Timeout.cancel();
  if (Handle)
    PQfinish(Handle);
  Handle = nullptr;
}

void sql_client::state::pollConnect() {
  PostgresPollingStatusType Status = PQconnectPoll(Handle);
  if (Status == PGRES_POLLING_OK || Status == PGRES_POLLING_FAILED)
    return finishConnect(Status == PGRES_POLLING_OK);
  bool Reading = Status == PGRES_POLLING_READING;
  // libpq may have opened another socket since the last call.
  Watch = descriptor_watch();
  Watch = Loop.watch(PQsocket(Handle), {Reading, !Reading},
                     [this](readiness) { pollConnect(); });
}

void sql_client::state::finishConnect(bool Ok) {
  auto Self = shared_from_this();
  std::string Reason = Ok ? "" : PQerrorMessage(Handle);
  Timeout.cancel();
  Watch = descriptor_watch();
  if (Ok)
    handleConnected();
  else
    disconnect();
  auto Done = std::move(OnConnected);
  OnConnected = nullptr;
  if (Done)
    Done(Ok, Reason);
}

void sql_client::state::handleConnected() {
  PQsetnonblocking(Handle, 1);
  Watch = Loop.watch(PQsocket(Handle), {true, false}, [this](readiness Ready) {
    if (Ready.Readable)
      handleReadable();
    else
      flushOutput();
  });
}

void sql_client::state::flushOutput() {
  bool Unsent = PQflush(Handle) > 0;
  Watch.setInterest({true, Unsent});
}

void sql_client::state::handleReadable() {
  if (!PQconsumeInput(Handle)) {
    QueryResult = query_result();
    QueryResult.Message = PQerrorMessage(Handle);
    disconnect();
    return finishQuery();
  }
  // Between queries the server sends only notices and parameter values.
  while (OnResult && !PQisBusy(Handle)) {
    PGresult *Result = PQgetResult(Handle);
    if (!Result)
      return finishQuery();
    recordResult(Result);
    PQclear(Result);
  }
  flushOutput();
}

void sql_client::state::recordResult(PGresult *Result) {
  ExecStatusType Status = PQresultStatus(Result);
  if (QueryResult.Outcome == query_outcome::ServerError)
    return;
  if (Status == PGRES_TUPLES_OK || Status == PGRES_COMMAND_OK) {
    QueryResult.Outcome = query_outcome::Succeeded;
    if (Status == PGRES_COMMAND_OK)
      return;
    QueryResult.Rows.clear();
    for (int Row = 0; Row < PQntuples(Result); ++Row) {
      auto &Fields = QueryResult.Rows.emplace_back();
      for (int Field = 0; Field < PQnfields(Result); ++Field)
        Fields.emplace_back(PQgetvalue(Result, Row, Field));
    }
    return;
  }
  const char *SqlState = PQresultErrorField(Result, PG_DIAG_SQLSTATE);
  QueryResult.Outcome =
      SqlState ? query_outcome::ServerError : query_outcome::Lost;
  QueryResult.SqlState = SqlState ? SqlState : "";
  QueryResult.Message = PQresultErrorMessage(Result);
}

void sql_client::state::finishQuery() {
  auto Self = shared_from_this();
  Timeout.cancel();
  if (Handle && PQstatus(Handle) == CONNECTION_BAD)
    disconnect();
  auto Done = std::move(OnResult);
  OnResult = nullptr;
  query_result Result = std::move(QueryResult);
  if (Done)
    Done(Result);
}

sql_client::sql_client(event_loop &Loop, timer_service &Timers)
    : State(std::make_shared<state>(Loop, Timers)) {}

sql_client::~sql_client() {
  State->OnConnected = nullptr;
  State->OnResult = nullptr;
  State->disconnect();
}

void sql_client::connect(const connect_request &Request, duration Timeout,
                         std::function<void(bool, const std::string &)> Done) {
  State->disconnect();
  std::string Port = std::to_string(Request.Target.Port);
  std::string Options;
  if (!Request.SessionToken.empty())
    Options = "-c teasellock.session=" + Request.SessionToken;
  const char *Names[] = {"hostaddr", "port",    "dbname",
                         "user",     "sslmode", "application_name",
                         "options",  nullptr};
  const char *Values[] = {Request.Target.Address.c_str(),
                          Port.c_str(),
                          Request.Database.c_str(),
                          "bench",
                          "disable",
                          Request.ApplicationName.c_str(),
                          Options.c_str(),
                          nullptr};
  State->OnConnected = std::move(Done);
  State->Handle = PQconnectStartParams(Names, Values, 0);
  std::weak_ptr<state> Weak = State;
  State->Timeout = State->Timers.after(Timeout, [Weak] {
    if (auto Self = Weak.lock())
      Self->finishConnect(false);
  });
  if (PQstatus(State->Handle) == CONNECTION_BAD)
    return State->Loop.post([Weak] {
      if (auto Self = Weak.lock(); Self && Self->OnConnected)
        Self->finishConnect(false);
    });
  State->Watch = State->Loop.watch(
      PQsocket(State->Handle), {false, true},
      [Self = State.get()](readiness) { Self->pollConnect(); });
}

void sql_client::query(const std::string &Sql, duration Timeout,
                       std::function<void(const query_result &)> Done) {
  State->QueryResult = query_result();
  State->OnResult = std::move(Done);
  std::weak_ptr<state> Weak = State;
  if (!isUsable() || !PQsendQuery(State->Handle, Sql.c_str()))
    return State->Loop.post([Weak] {
      if (auto Self = Weak.lock()) {
        Self->disconnect();
        Self->finishQuery();
      }
    });
  State->Timeout = State->Timers.after(Timeout, [Weak] {
    auto Self = Weak.lock();
    if (!Self)
      return;
    Self->QueryResult = query_result();
    Self->QueryResult.Message = "no answer in time";
    Self->disconnect();
    Self->finishQuery();
  });
  State->flushOutput();
}

void sql_client::close() { State->disconnect(); }

bool sql_client::isUsable() const {
  return State->Handle && PQstatus(State->Handle) == CONNECTION_OK;
}

std::string sql_client::sessionToken() const {
  if (!State->Handle)
    return {};
  const char *Token = PQparameterStatus(State->Handle, "teasellock.session");
  return Token ? Token : "";
}

} // namespace teasellock::bench
