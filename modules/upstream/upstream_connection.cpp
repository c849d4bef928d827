#include "modules/upstream/upstream_connection.h"

#include "modules/upstream/libpq_support.h"
#include "modules/upstream/operation_execution.h"

#include <cerrno>
#include <cstring>
#include <libpq-fe.h>

namespace teasellock {

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
      : Context(Context), Target(std::move(Target)) {}

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

  // The current execution.
  bool Running = false;
  execution_callbacks Events;
  operation_execution Execution;

  std::string peer() const { return toString(Target.Address); }

  void start() {
    Connection = startConnection(Target);
    if (!Connection || PQstatus(Connection) == CONNECTION_BAD) {
      std::string Problem =
          Connection ? problemOf(Connection) : "out of memory";
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
    if (Self->Running)
      Self->Execution.handleNotice(Notice);
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
      return failOpening(problemOf(Connection));
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

  void execute(std::vector<upstream_operation> Operations,
               execution_callbacks NewEvents) {
    Events = std::move(NewEvents);
    if (Closed || !Open)
      return reportLater("connection is closed");
    Running = true;
    carryOut(Execution.begin(Connection, std::move(Operations), Events.OnPart,
                             Events.Collect));
  }

  void carryOut(execution_step Step) {
    switch (Step) {
    case execution_step::Continue:
      return;
    case execution_step::Flush:
      if (!flush())
        handleConnectionLoss();
      return;
    case execution_step::Finish:
      return finish(std::nullopt);
    case execution_step::ConnectionLost:
      return handleConnectionLoss();
    }
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
      carryOut(Next ? Execution.handleResult(Next.get())
                    : Execution.handleEndOfResults(Connection));
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
    auto Callback = std::exchange(OnLost, nullptr);
    if (Running)
      return finish(problemOf(Connection));
    close();
    if (Callback)
      Callback();
  }

  void finish(std::optional<std::string> ConnectionProblem) {
    Running = false;
    bool IsLost = ConnectionProblem.has_value();
    auto Finished = Execution.finish(Connection, std::move(ConnectionProblem));
    auto Done = std::move(Events.OnDone);
    Events = execution_callbacks();
    if (IsLost || Execution.mustClose())
      close();
    if (Done)
      Done(std::move(Finished));
  }
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
