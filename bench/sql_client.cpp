#include "bench/sql_client.h"

#include <libpq-fe.h>

namespace teasellock::bench {

struct sql_client::state : std::enable_shared_from_this<state> {
  state(event_loop &Loop, timer_service &Timers) : Loop(Loop), Timers(Timers) {}
  ~state() { drop(); }

  void drop();
  void pollConnect();
  void endConnect(bool Connected);
  void becomeReady();
  void watchQuery();
  void onReadable();
  void takeResult(PGresult *Result);
  void endQuery();

  event_loop &Loop;
  timer_service &Timers;
  PGconn *Handle = nullptr;
  descriptor_watch Watch;
  timer_subscription Timeout;
  std::function<void(bool, const std::string &)> Connected;
  std::function<void(const answer &)> Answered;
  answer Answer;
};

void sql_client::state::drop() {
  Watch = descriptor_watch();
  Timeout.cancel();
  if (Handle)
    PQfinish(Handle);
  Handle = nullptr;
}

void sql_client::state::pollConnect() {
  PostgresPollingStatusType Status = PQconnectPoll(Handle);
  if (Status == PGRES_POLLING_OK || Status == PGRES_POLLING_FAILED)
    return endConnect(Status == PGRES_POLLING_OK);
  bool Reading = Status == PGRES_POLLING_READING;
  // libpq may have opened another socket since the last call.
  Watch = descriptor_watch();
  Watch = Loop.watch(PQsocket(Handle), {Reading, !Reading},
                     [this](readiness) { pollConnect(); });
}

void sql_client::state::endConnect(bool Ok) {
  auto Self = shared_from_this();
  std::string Reason = Ok ? "" : PQerrorMessage(Handle);
  Timeout.cancel();
  Watch = descriptor_watch();
  if (Ok)
    becomeReady();
  else
    drop();
  auto Done = std::move(Connected);
  Connected = nullptr;
  if (Done)
    Done(Ok, Reason);
}

void sql_client::state::becomeReady() {
  PQsetnonblocking(Handle, 1);
  Watch = Loop.watch(PQsocket(Handle), {true, false}, [this](readiness Ready) {
    if (Ready.Readable)
      onReadable();
    else
      watchQuery();
  });
}

void sql_client::state::watchQuery() {
  bool Unsent = PQflush(Handle) > 0;
  Watch.want({true, Unsent});
}

void sql_client::state::onReadable() {
  if (!PQconsumeInput(Handle)) {
    Answer = answer();
    Answer.Message = PQerrorMessage(Handle);
    drop();
    return endQuery();
  }
  // Between statements only notices and settings arrive.
  while (Answered && !PQisBusy(Handle)) {
    PGresult *Result = PQgetResult(Handle);
    if (!Result)
      return endQuery();
    takeResult(Result);
    PQclear(Result);
  }
  watchQuery();
}

void sql_client::state::takeResult(PGresult *Result) {
  ExecStatusType Status = PQresultStatus(Result);
  if (Answer.Ending == ending::Refused)
    return;
  if (Status == PGRES_TUPLES_OK || Status == PGRES_COMMAND_OK) {
    Answer.Ending = ending::Answered;
    if (Status == PGRES_COMMAND_OK)
      return;
    Answer.Rows.clear();
    for (int Row = 0; Row < PQntuples(Result); ++Row) {
      auto &Fields = Answer.Rows.emplace_back();
      for (int Field = 0; Field < PQnfields(Result); ++Field)
        Fields.emplace_back(PQgetvalue(Result, Row, Field));
    }
    return;
  }
  const char *SqlState = PQresultErrorField(Result, PG_DIAG_SQLSTATE);
  Answer.Ending = SqlState ? ending::Refused : ending::Lost;
  Answer.SqlState = SqlState ? SqlState : "";
  Answer.Message = PQresultErrorMessage(Result);
}

void sql_client::state::endQuery() {
  auto Self = shared_from_this();
  Timeout.cancel();
  if (Handle && PQstatus(Handle) == CONNECTION_BAD)
    drop();
  auto Done = std::move(Answered);
  Answered = nullptr;
  answer Result = std::move(Answer);
  if (Done)
    Done(Result);
}

sql_client::sql_client(event_loop &Loop, timer_service &Timers)
    : State(std::make_shared<state>(Loop, Timers)) {}

sql_client::~sql_client() {
  State->Connected = nullptr;
  State->Answered = nullptr;
  State->drop();
}

void sql_client::connect(const connect_request &Request, duration Timeout,
                         std::function<void(bool, const std::string &)> Done) {
  State->drop();
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
  State->Connected = std::move(Done);
  State->Handle = PQconnectStartParams(Names, Values, 0);
  std::weak_ptr<state> Weak = State;
  State->Timeout = State->Timers.after(Timeout, [Weak] {
    if (auto Self = Weak.lock())
      Self->endConnect(false);
  });
  if (PQstatus(State->Handle) == CONNECTION_BAD)
    return State->Loop.post([Weak] {
      if (auto Self = Weak.lock(); Self && Self->Connected)
        Self->endConnect(false);
    });
  State->Watch = State->Loop.watch(
      PQsocket(State->Handle), {false, true},
      [Self = State.get()](readiness) { Self->pollConnect(); });
}

void sql_client::query(const std::string &Sql, duration Timeout,
                       std::function<void(const answer &)> Done) {
  State->Answer = answer();
  State->Answered = std::move(Done);
  std::weak_ptr<state> Weak = State;
  if (!usable() || !PQsendQuery(State->Handle, Sql.c_str()))
    return State->Loop.post([Weak] {
      if (auto Self = Weak.lock()) {
        Self->drop();
        Self->endQuery();
      }
    });
  State->Timeout = State->Timers.after(Timeout, [Weak] {
    auto Self = Weak.lock();
    if (!Self)
      return;
    Self->Answer = answer();
    Self->Answer.Message = "no answer in time";
    Self->drop();
    Self->endQuery();
  });
  State->watchQuery();
}

void sql_client::close() { State->drop(); }

bool sql_client::usable() const {
  return State->Handle && PQstatus(State->Handle) == CONNECTION_OK;
}

std::string sql_client::sessionToken() const {
  if (!State->Handle)
    return {};
  const char *Token = PQparameterStatus(State->Handle, "teasellock.session");
  return Token ? Token : "";
}

} // namespace teasellock::bench
