#include "modules/line/line_listener.h"

#include "core/error.h"
#include "core/event_log.h"
#include "core/listen_socket.h"
#include "modules/gateway/statement_size.h"
#include "modules/line/caller_usage.h"
#include "modules/line/deployment_lookup.h"
#include "modules/line/line_caller_connection.h"
#include "modules/line/operation_starter.h"

#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

namespace teasellock {

namespace {

constexpr int ListenBacklog = 1024;
/// A connection with more unsent output than this is closed: its caller does
/// not read.
constexpr std::size_t MaxOutputBytes = 4 * MaxLineBytes;
constexpr duration AcceptRetryDelay = std::chrono::milliseconds(100);
/// How often idle transactions and the progress of a drain are checked.
constexpr duration CheckInterval = std::chrono::milliseconds(100);
/// How long a caller's first message is held back until a deployment is known:
/// callers abandon a session after 2 s.
constexpr duration DeploymentTimeout = std::chrono::milliseconds(1500);
constexpr std::string_view LineEnd = "\r\n";

/// A connection without a first message is closed for another one only after
/// this.
constexpr duration UnstartedGracePeriod = std::chrono::seconds(1);

using caller_id = line_caller_id;
using connection = line_caller_connection;

} // namespace

struct line_listener::state {
  daemon_context &Context;
  member_agent &Member;
  statement_router &Router;
  operation_starter Operations;
  line_listener_settings Settings;
  deployment_lookup Lookup;
  line_environment Environment;
  caller_usage Usage;
  int Listener = -1;
  descriptor_watch ListenerWatch;
  timer_subscription AcceptRetryTimer;
  timer_subscription CheckTimer;
  line_caller_connections Connections;
  std::uint64_t LastCallerId = 0;
  std::optional<time_point> DrainingSince;
  std::function<void()> OnDrained;
  latency_histogram &StatementSeconds;
  std::shared_ptr<state *> Self = std::make_shared<state *>(this);

  state(daemon_context &Context, member_agent &Member, statement_router &Router,
        limit_service &Limits, line_listener_settings ListenerSettings)
      : Context(Context), Member(Member), Router(Router),
        Operations(Context.Loop, Limits, operationHooks()),
        Settings(std::move(ListenerSettings)), Lookup(Member),
        Environment(Lookup.makeEnvironment(Settings.Protocol)),
        Usage(Context, Settings.Limits),
        StatementSeconds(
            Context.Metrics.histogramOf("teasellock_statement_seconds")) {}

  ~state() {
    Self.reset();
    if (Listener >= 0)
      ::close(Listener);
  }

  time_point now() const { return Context.Timers.now(); }
  connection *findConnection(caller_id Id) {
    auto Found = Connections.find(Id);
    return Found == Connections.end() ? nullptr : Found->second.get();
  }

  const caller_limits &limits() const { return Usage.limits(); }

  void acceptConnections();
  bool closeUnstartedConnection();
  void addConnection(int Socket);
  void onReady(caller_id Id, readiness Ready);
  void processInput(connection &Connection);
  bool isAwaitingDeployment(const connection &Connection) const;
  void applyEffects(connection &Connection, line_effects Effects);
  operation_hooks operationHooks();
  void submit(connection &Connection, wire::statement_request Request);
  void refuseInFlight(connection &Connection);
  void onReply(caller_id Id, const wire::statement_reply &Reply);
  void continueInput(caller_id Id);
  void flushAndUpdate(caller_id Id);
  void closeConnection(caller_id Id);
  void checkConnections();
  void checkIdleTimeouts(connection &Connection);
  bool shouldCloseForDrain(const connection &Connection) const;
  bool shouldClose(const connection &Connection) const;
  void checkDrained();
};

void line_listener::state::acceptConnections() {
  for (;;) {
    int Socket =
        ::accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Socket >= 0) {
      addConnection(Socket);
      continue;
    }
    if (errno != EMFILE && errno != ENFILE)
      return;
    event("caller.accept_failed", severity::Warning)
        .with("reason", std::strerror(errno));
    ListenerWatch.setInterest({});
    AcceptRetryTimer = Context.Timers.after(AcceptRetryDelay, [this] {
      ListenerWatch.setInterest({true, false});
    });
    return;
  }
}

void line_listener::state::addConnection(int Socket) {
  if (Connections.size() >= limits().MaxCallers &&
      !closeUnstartedConnection()) {
    std::string Out;
    Settings.Protocol->AppendError(Out, line_error::Busy, "too many sessions");
    [[maybe_unused]] auto Ignored =
        ::send(Socket, Out.data(), Out.size(), MSG_NOSIGNAL);
    ::close(Socket);
    return;
  }
  configureCallerSocket(Socket);
  auto Connection =
      std::make_unique<connection>(caller_id(++LastCallerId), Socket, now());
  Connection->Watch = Context.Loop.watch(
      Socket, {true, false},
      [this, Id = Connection->Id](readiness Ready) { onReady(Id, Ready); });
  Connections[Connection->Id] = std::move(Connection);
  Usage.setCallers(Connections.size());
}

/// Makes room for a new connection: closes the oldest one that has not sent its
/// first message for UnstartedGracePeriod. Reports whether there was one.
bool line_listener::state::closeUnstartedConnection() {
  for (auto &[Id, Connection] : Connections) {
    if (now() - Connection->AcceptedAt < UnstartedGracePeriod)
      return false;
    if (Connection->Caller.Phase != line_caller_state::phase::Start)
      continue;
    Usage.closeForLimit(*Connection, "more callers wait than may be open");
    closeConnection(Id);
    return true;
  }
  return false;
}

void line_listener::state::onReady(caller_id Id, readiness Ready) {
  auto *Connection = findConnection(Id);
  if (!Connection)
    return;
  if (Ready.Readable && !receive(*Connection, now()))
    return closeConnection(Id);
  if (Ready.Writable && !flush(*Connection, now()))
    return closeConnection(Id);
  processInput(*Connection);
  if (!Usage.recordBuffers(*Connection))
    return closeConnection(Id);
  flushAndUpdate(Id);
}

void line_listener::state::processInput(connection &Connection) {
  std::size_t Start = 0;
  while (!Connection.Closing && !isAwaitingDeployment(Connection) &&
         Connection.unsentBytes() <= limits().MaxUnreadBytes &&
         Connection.Caller.Phase != line_caller_state::phase::Busy) {
    std::size_t End = Connection.Input.find(LineEnd, Start);
    bool TooLong = Connection.Input.size() - Start > MaxLineBytes &&
                   (End == std::string::npos || End - Start > MaxLineBytes);
    line_effects Effects;
    if (TooLong) {
      Settings.Protocol->AppendError(Effects.Out, line_error::Malformed,
                                     "a message is longer than 1 MiB");
      Effects.Close = true;
    } else if (End == std::string::npos) {
      break;
    } else {
      std::string_view Line(Connection.Input.data() + Start, End - Start);
      teasellock::handleCallerMessage(Connection.Caller, Environment,
                                      Settings.Protocol->ParseCaller(Line),
                                      Router.nextTransaction(), Effects);
      Start = End + LineEnd.size();
    }
    applyEffects(Connection, std::move(Effects));
  }
  removeInput(Connection, Start, now());
}

/// Reports whether the first message is held back. A VM that has just started
/// receives the deployment within moments, so its first callers wait for it
/// instead of being refused.
bool line_listener::state::isAwaitingDeployment(
    const connection &Connection) const {
  return Connection.Caller.Phase == line_caller_state::phase::Start &&
         !Environment.IsDeploymentKnown() &&
         now() - Connection.LastActivityAt < DeploymentTimeout;
}

void line_listener::state::applyEffects(connection &Connection,
                                        line_effects Effects) {
  Connection.Out += Effects.Out;
  if (Effects.Release)
    Router.release(*Effects.Release);
  if (Effects.Submit && Effects.BeginsOperationOf)
    Operations.begin(Connection.Id, *Effects.BeginsOperationOf,
                     std::move(*Effects.Submit));
  else if (Effects.Submit)
    submit(Connection, std::move(*Effects.Submit));
  Connection.Closing = Connection.Closing || Effects.Close;
}

/// Refuses a statement because those in flight use up their part of the memory.
void line_listener::state::refuseInFlight(connection &Connection) {
  wire::statement_reply Reply;
  Reply.outcome = wire::statement_outcome::not_run;
  Reply.last = true;
  Reply.code = sqlStateOf(line_error::Busy);
  Reply.problem = "the statements in flight use too much memory";
  Reply.transaction_status = 'I';
  // Posted, as the caller's message is still being handled.
  std::weak_ptr<state *> Weak = Self;
  Context.Loop.post([Weak, Id = Connection.Id, Reply] {
    if (auto Alive = Weak.lock())
      (*Alive)->onReply(Id, Reply);
  });
}

operation_hooks line_listener::state::operationHooks() {
  return {[this](caller_id Id, wire::statement_request Request) {
            auto *Connection = findConnection(Id);
            if (Connection)
              submit(*Connection, std::move(Request));
            return Connection != nullptr;
          },
          [this](caller_id Id, const wire::statement_reply &Reply) {
            onReply(Id, Reply);
          }};
}

void line_listener::state::submit(connection &Connection,
                                  wire::statement_request Request) {
  if (!Usage.beginStatement(Connection, sizeOf(Request)))
    return refuseInFlight(Connection);
  span Span = Context.Tracer.startSpan("entry.statement", {});
  Span.setAttribute("group", Request.group);
  std::string TraceParent = toTraceParent(Span.context());
  auto Shared = std::make_shared<span>(std::move(Span));
  std::weak_ptr<state *> Weak = Self;
  Connection.Request = Router.submit(
      std::move(Request), TraceParent,
      [Weak, Id = Connection.Id, Shared,
       Started = now()](const wire::statement_reply &Reply) {
        auto Alive = Weak.lock();
        if (!Alive || !Reply.last)
          return;
        Shared->end();
        (*Alive)->StatementSeconds.observe((*Alive)->now() - Started);
        (*Alive)->onReply(Id, Reply);
      });
}

void line_listener::state::onReply(caller_id Id,
                                   const wire::statement_reply &Reply) {
  auto *Connection = findConnection(Id);
  if (!Connection)
    return;
  Connection->Request.reset();
  Usage.endStatement(*Connection);
  Connection->LastActivityAt = now();
  Operations.handleReply(Id, Reply);
  if (!Reply.code.empty())
    event("caller.failed")
        .with("id", Connection->Caller.RequestId)
        .with("database", Connection->Caller.Database.Value)
        .with("code", Reply.code)
        .with("upstream", Reply.upstream)
        .with("reason", Reply.problem);
  line_effects Effects;
  teasellock::handleReply(Connection->Caller, Environment, Reply, Effects);
  applyEffects(*Connection, std::move(Effects));
  processInput(*Connection);
  if (!Usage.recordBuffers(*Connection))
    return closeConnection(Id);
  flushAndUpdate(Id);
}

/// Handles the messages that were held back until the output had been written.
void line_listener::state::continueInput(caller_id Id) {
  std::weak_ptr<state *> Weak = Self;
  Context.Loop.post([Weak, Id] {
    auto Alive = Weak.lock();
    auto *Connection = Alive ? (*Alive)->findConnection(Id) : nullptr;
    if (!Connection)
      return;
    (*Alive)->processInput(*Connection);
    (*Alive)->flushAndUpdate(Id);
  });
}

void line_listener::state::flushAndUpdate(caller_id Id) {
  auto *Connection = findConnection(Id);
  if (!Connection)
    return;
  bool WasHeldBack = Connection->unsentBytes() > limits().MaxUnreadBytes;
  if (!flush(*Connection, now()) || Connection->unsentBytes() > MaxOutputBytes)
    return closeConnection(Id);
  if (WasHeldBack && Connection->unsentBytes() <= limits().MaxUnreadBytes)
    continueInput(Id);
  bool Written = Connection->Out.empty();
  if (Written && (Connection->Closing || shouldClose(*Connection)))
    return closeConnection(Id);
  bool WantsRead = !Connection->Closing &&
                   Connection->Input.size() <= MaxLineBytes &&
                   Connection->unsentBytes() <= limits().MaxUnreadBytes;
  Connection->Watch.setInterest({WantsRead, !Written});
}

void line_listener::state::closeConnection(caller_id Id) {
  auto Extracted = Connections.extract(Id);
  if (Extracted.empty())
    return;
  auto &Connection = *Extracted.mapped();
  Usage.remove(Connection);
  Usage.setCallers(Connections.size());
  if (Connection.Request)
    Router.cancel(*Connection.Request);
  Operations.handleDisconnect(Id);
  line_effects Effects;
  handleDisconnect(Connection.Caller, Effects);
  if (Effects.Release)
    Router.release(*Effects.Release);
  checkDrained();
}

/// Reports whether the session is to be closed now because the VM shuts down.
bool line_listener::state::shouldCloseForDrain(
    const connection &Connection) const {
  if (!DrainingSince || !Connection.Input.empty())
    return false;
  duration Since = now() - *DrainingSince;
  if (isIdle(Connection.Caller))
    return Since >= Settings.DrainNoticePeriod;
  bool Busy = Connection.Caller.Phase == line_caller_state::phase::Busy;
  return !Busy && Since >= Settings.DrainTransactionPeriod;
}

bool line_listener::state::shouldClose(const connection &Connection) const {
  bool IsRevoked = Connection.KeyRevoked && isIdle(Connection.Caller) &&
                   Connection.Input.empty();
  return IsRevoked || shouldCloseForDrain(Connection);
}

void line_listener::state::checkIdleTimeouts(connection &Connection) {
  duration Idle = now() - Connection.LastActivityAt;
  if (!Connection.Closing && isInputOverdue(Connection, limits(), now()))
    Usage.closeForLimit(Connection, "a message is not complete in time");
  if (!Connection.Closing && isOutputOverdue(Connection, limits(), now())) {
    Usage.closeForLimit(Connection, "the output is not read");
    discardOutput(Connection);
  }
  duration Limit = Member.currentDeployment().IdleTransactionTimeout;
  if (Limit <= duration::zero() || Idle <= Limit)
    return;
  line_effects Effects;
  endIdleTransaction(Connection.Caller, Effects);
  applyEffects(Connection, std::move(Effects));
}

void line_listener::state::checkConnections() {
  Lookup.checkKeys(Connections, Environment);
  std::vector<caller_id> Affected;
  for (auto &[Id, Connection] : Connections) {
    checkIdleTimeouts(*Connection);
    bool WasHeldBack =
        Connection->Caller.Phase == line_caller_state::phase::Start &&
        !Connection->Input.empty();
    if (WasHeldBack)
      processInput(*Connection);
    if (WasHeldBack || Connection->Closing || shouldClose(*Connection))
      Affected.push_back(Id);
  }
  for (auto Id : Affected)
    flushAndUpdate(Id);
  checkDrained();
}

void line_listener::state::checkDrained() {
  if (!DrainingSince || !Connections.empty() || !OnDrained ||
      now() - *DrainingSince < Settings.DrainNoticePeriod)
    return;
  Context.Loop.post(std::exchange(OnDrained, nullptr));
}

line_listener::line_listener(daemon_context &Context, member_agent &Member,
                             statement_router &Router, limit_service &Limits,
                             line_listener_settings Settings)
    : State(std::make_unique<state>(Context, Member, Router, Limits,
                                    std::move(Settings))) {}

line_listener::~line_listener() = default;

endpoint line_listener::start() {
  State->Listener =
      openListenSocket(State->Settings.Listen, ListenBacklog, "caller.listen");
  State->ListenerWatch = State->Context.Loop.watch(
      State->Listener, {true, false},
      [this](readiness) { State->acceptConnections(); });
  State->CheckTimer = State->Context.Timers.every(
      CheckInterval, [this] { State->checkConnections(); });
  return State->Settings.Listen;
}

void line_listener::drain(std::function<void()> Done) {
  State->DrainingSince = State->now();
  State->OnDrained = std::move(Done);
}

std::size_t line_listener::callers() const { return State->Connections.size(); }

} // namespace teasellock
