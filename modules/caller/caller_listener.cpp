#include "modules/caller/caller_listener.h"

#include "core/error.h"
#include "core/event_log.h"
#include "core/listen_socket.h"
#include "modules/caller/caller_state.h"
#include "modules/caller/reply_metrics.h"
#include "modules/caller/wire_format.h"

#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/rand.h>
#include <sys/socket.h>
#include <unistd.h>

namespace teasellock {

namespace {

constexpr int ListenBacklog = 1024;
constexpr std::size_t ReadBytes = 64 * 1024;
/// The maximum size of unprocessed input while a request is in flight, in
/// bytes; reading pauses beyond it.
constexpr std::size_t MaxReadAheadBytes = 256 * 1024;
/// No further input is read or processed while more than this many bytes wait
/// to be written.
constexpr std::size_t MaxWaitingOutputBytes = 1024 * 1024;
/// A connection is closed when more than this many bytes wait to be written,
/// because the caller does not read.
constexpr std::size_t MaxOutputBytes = 64 * 1024 * 1024;
/// The maximum capacity, in bytes, of an empty buffer that is kept; larger ones
/// are freed.
constexpr std::size_t MaxIdleBufferBytes = 256;
/// The delay before accepting again when the process is out of descriptors.
constexpr duration AcceptRetryDelay = std::chrono::milliseconds(100);
/// A connection without a StartupMessage is closed after this time.
constexpr duration StartupTimeout = std::chrono::milliseconds(60000);
constexpr duration StartupCheckPeriod = std::chrono::milliseconds(5000);
constexpr int KeepaliveIdleSeconds = 60;

using caller_id = strong_type<struct caller_id_tag, std::uint64_t>;

template <typename Number> Number randomNumber() {
  Number Value = 0;
  if (RAND_bytes(reinterpret_cast<unsigned char *>(&Value), sizeof(Value)) != 1)
    throw error("caller.random", "openssl", "could not generate random bytes");
  return Value;
}

void setSocketOptions(int Socket) {
  int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  ::setsockopt(Socket, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof(On));
  ::setsockopt(Socket, IPPROTO_TCP, TCP_KEEPIDLE, &KeepaliveIdleSeconds,
               sizeof(KeepaliveIdleSeconds));
}

} // namespace

struct caller_listener::state {
  /// A caller's request that the router is handling.
  struct in_flight {
    request_id Request;
    statement_class Class = statement_class::Write;
    time_point Started;
    span Span;
  };

  struct connection {
    caller_id Id;
    int Socket = -1;
    descriptor_watch Watch;
    std::string In;
    std::string Out;
    std::size_t OutOffset = 0;
    caller_state Caller;
    std::unique_ptr<in_flight> InFlight;
    time_point Accepted;
    /// The connection is closed once all output is written.
    bool Closing = false;
  };

  daemon_context &Context;
  router_callbacks Router;
  caller_settings Settings;
  caller_environment Environment;
  int Listener = -1;
  descriptor_watch ListenerWatch;
  timer_subscription AcceptRetryTimer;
  timer_subscription StartupCheckTimer;
  std::map<caller_id, std::unique_ptr<connection>> Connections;
  std::map<cancel_key, caller_id> CancelKeys;
  std::uint64_t LastCallerId = 0;
  bool Draining = false;
  std::function<void()> DrainCallback;
  gauge &CallerGauge;
  reply_metrics Replies;
  /// Callbacks hold a weak pointer to this, to detect that the object was
  /// destroyed.
  std::shared_ptr<state *> Self = std::make_shared<state *>(this);

  state(daemon_context &Context, router_callbacks TheRouter,
        const caller_settings &Settings)
      : Context(Context), Router(std::move(TheRouter)), Settings(Settings),
        CallerGauge(Context.Metrics.gaugeOf("teasellock_callers")),
        Replies(Context.Metrics) {
    Environment.TokenSecret = Settings.TokenSecret;
    Environment.StatementTimeout = Settings.StatementTimeout;
    Environment.IsGroupServed = Router.IsGroupServed;
  }

  ~state() {
    Self.reset();
    for (auto &[Id, Connection] : Connections)
      ::close(Connection->Socket);
    if (Listener >= 0)
      ::close(Listener);
  }

  connection *find(caller_id Id) {
    auto Found = Connections.find(Id);
    return Found == Connections.end() ? nullptr : Found->second.get();
  }

  void acceptConnections();
  void addConnection(int Socket);
  void refuseConnection(int Socket);
  void onReady(caller_id Id, readiness Ready);
  bool readFrom(connection &Connection);
  void processInput(connection &Connection);
  void applyEffects(connection &Connection, caller_effects Effects);
  void submit(connection &Connection, submission Submission);
  void onReply(caller_id Id, request_id Request, wire::statement_reply Reply);
  void countReply(in_flight &InFlight, const wire::statement_reply &Reply);
  void cancelByKey(const cancel_key &Key);
  bool flush(connection &Connection);
  void flushAndUpdateWatch(caller_id Id);
  void closeConnection(caller_id Id);
  void closeLateStartups();
  void notifyIfDrained();
};

void caller_listener::state::acceptConnections() {
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

void caller_listener::state::refuseConnection(int Socket) {
  std::string Out;
  pg::appendError(Out, "FATAL", "53300", "too many callers");
  [[maybe_unused]] auto Ignored =
      ::send(Socket, Out.data(), Out.size(), MSG_NOSIGNAL);
  ::close(Socket);
}

void caller_listener::state::addConnection(int Socket) {
  if (Draining || Connections.size() >= Settings.MaxCallers)
    return refuseConnection(Socket);
  setSocketOptions(Socket);
  auto Connection = std::make_unique<connection>();
  Connection->Id = caller_id(++LastCallerId);
  Connection->Socket = Socket;
  Connection->Accepted = Context.Timers.now();
  auto &Caller = Connection->Caller;
  constexpr std::uint64_t MaxProcessId = 0x7fffffff;
  Caller.CancelKey = {static_cast<std::int32_t>(LastCallerId & MaxProcessId),
                      randomNumber<std::int32_t>()};
  Caller.Session.Id = session_id(Context.Self.Vm.Value + "-" +
                                 std::to_string(randomNumber<std::uint64_t>()));
  CancelKeys[Caller.CancelKey] = Connection->Id;
  Connection->Watch = Context.Loop.watch(
      Socket, {true, false},
      [this, Id = Connection->Id](readiness Ready) { onReady(Id, Ready); });
  Connections[Connection->Id] = std::move(Connection);
  CallerGauge.set(static_cast<double>(Connections.size()));
}

void caller_listener::state::onReady(caller_id Id, readiness Ready) {
  auto *Connection = find(Id);
  if (!Connection)
    return;
  if (Ready.Readable && !Connection->Closing && !readFrom(*Connection))
    return closeConnection(Id);
  if (Ready.Writable && !flush(*Connection))
    return closeConnection(Id);
  processInput(*Connection);
  flushAndUpdateWatch(Id);
}

bool caller_listener::state::readFrom(connection &Connection) {
  static thread_local char Buffer[ReadBytes];
  ssize_t Count = ::recv(Connection.Socket, Buffer, sizeof(Buffer), 0);
  if (Count > 0) {
    Connection.In.append(Buffer, static_cast<std::size_t>(Count));
    return true;
  }
  return Count < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

void caller_listener::state::processInput(connection &Connection) {
  if (Connection.Closing || Connection.In.empty() ||
      Connection.Out.size() - Connection.OutOffset > MaxWaitingOutputBytes)
    return;
  if (Connection.Caller.Phase == caller_state::phase::Busy)
    return;
  if (Connection.Caller.NextTransaction <= Connection.Caller.Transaction)
    Connection.Caller.NextTransaction = Router.NextTransaction();
  caller_effects Effects;
  auto Used =
      consumeBytes(Connection.Caller, Environment, Connection.In, Effects);
  Connection.In.erase(0, Used);
  if (Connection.In.empty() && Connection.In.capacity() > MaxIdleBufferBytes)
    std::string().swap(Connection.In);
  applyEffects(Connection, std::move(Effects));
}

void caller_listener::state::applyEffects(connection &Connection,
                                          caller_effects Effects) {
  Connection.Out += Effects.Out;
  if (Effects.CancelRequest && Connection.InFlight) {
    Router.Cancel(Connection.InFlight->Request);
    Connection.InFlight.reset();
  }
  for (auto Transaction : Effects.ReleaseTransactions)
    Router.ReleaseTransaction(Transaction);
  if (Effects.Submit)
    submit(Connection, std::move(*Effects.Submit));
  if (Effects.CancelOther)
    cancelByKey(*Effects.CancelOther);
  if (Effects.Close)
    Connection.Closing = true;
}

void caller_listener::state::submit(connection &Connection,
                                    submission Submission) {
  auto &Caller = Connection.Caller;
  if (Submission.Request.opens_transaction)
    Caller.NextTransaction = {};
  auto InFlight = std::make_unique<in_flight>();
  InFlight->Class = Submission.Class;
  InFlight->Started = Context.Timers.now();
  InFlight->Span = Context.Tracer.startSpan(
      "entry.statement", parseTraceParent(Submission.TraceParent));
  InFlight->Span.setAttribute("group", Submission.Request.group);
  InFlight->Span.setAttribute("class", toString(Submission.Class));
  auto TraceParent = toTraceParent(InFlight->Span.context());
  // The request's number is known only when Submit() returns; no reply arrives
  // before that.
  auto Request = std::make_shared<request_id>();
  std::weak_ptr<state *> Weak = Self;
  *Request = Router.Submit(
      std::move(Submission.Request), TraceParent,
      [Weak, Id = Connection.Id, Request](wire::statement_reply Reply) {
        if (auto Alive = Weak.lock())
          (*Alive)->onReply(Id, *Request, std::move(Reply));
      });
  InFlight->Request = *Request;
  Connection.InFlight = std::move(InFlight);
}

void caller_listener::state::countReply(in_flight &InFlight,
                                        const wire::statement_reply &Reply) {
  Replies.countReply(InFlight.Class, Reply,
                     Context.Timers.now() - InFlight.Started);
  InFlight.Span.setAttribute("outcome", outcomeName(Reply.outcome));
  InFlight.Span.setAttribute("upstream", Reply.upstream);
  InFlight.Span.end();
}

void caller_listener::state::onReply(caller_id Id, request_id Request,
                                     wire::statement_reply Reply) {
  auto *Connection = find(Id);
  if (!Connection || !Connection->InFlight ||
      Connection->InFlight->Request != Request)
    return;
  if (Reply.last) {
    countReply(*Connection->InFlight, Reply);
    Connection->InFlight.reset();
  }
  caller_effects Effects;
  handleReply(Connection->Caller, Environment, Reply, Effects);
  if (Draining)
    drainCaller(Connection->Caller, Effects);
  applyEffects(*Connection, std::move(Effects));
  if (Connection->Out.size() - Connection->OutOffset > MaxOutputBytes) {
    event("caller.closed", severity::Warning)
        .with("reason", "the caller does not read its data");
    return closeConnection(Id);
  }
  processInput(*Connection);
  flushAndUpdateWatch(Id);
}

void caller_listener::state::cancelByKey(const cancel_key &Key) {
  auto Found = CancelKeys.find(Key);
  if (Found == CancelKeys.end())
    return;
  auto Id = Found->second;
  Context.Loop.post([this, Weak = std::weak_ptr<state *>(Self), Id] {
    auto Alive = Weak.lock();
    auto *Connection = Alive ? find(Id) : nullptr;
    if (!Connection || !Connection->InFlight)
      return;
    caller_effects Effects;
    cancelRequest(Connection->Caller, Environment,
                  Router.WasSent(Connection->InFlight->Request), Effects);
    applyEffects(*Connection, std::move(Effects));
    processInput(*Connection);
    flushAndUpdateWatch(Id);
  });
}

bool caller_listener::state::flush(connection &Connection) {
  auto &Out = Connection.Out;
  while (Connection.OutOffset < Out.size()) {
    ssize_t Count = ::send(Connection.Socket, Out.data() + Connection.OutOffset,
                           Out.size() - Connection.OutOffset, MSG_NOSIGNAL);
    if (Count > 0) {
      Connection.OutOffset += static_cast<std::size_t>(Count);
      continue;
    }
    if (errno == EINTR)
      continue;
    return errno == EAGAIN || errno == EWOULDBLOCK;
  }
  Out.clear();
  Connection.OutOffset = 0;
  if (Out.capacity() > MaxIdleBufferBytes)
    std::string().swap(Out);
  return true;
}

void caller_listener::state::flushAndUpdateWatch(caller_id Id) {
  auto *Connection = find(Id);
  if (!Connection)
    return;
  if (!flush(*Connection))
    return closeConnection(Id);
  bool Written = Connection->Out.empty();
  if (Connection->Closing && Written)
    return closeConnection(Id);
  bool Busy = Connection->Caller.Phase == caller_state::phase::Busy;
  bool InputFull = Busy && Connection->In.size() > MaxReadAheadBytes;
  auto WaitingOutput = Connection->Out.size() - Connection->OutOffset;
  bool WantsInput = !Connection->Closing && !InputFull &&
                    WaitingOutput <= MaxWaitingOutputBytes;
  Connection->Watch.setInterest({WantsInput, !Written});
}

void caller_listener::state::closeConnection(caller_id Id) {
  auto Found = Connections.find(Id);
  if (Found == Connections.end())
    return;
  auto Connection = std::move(Found->second);
  Connections.erase(Found);
  CancelKeys.erase(Connection->Caller.CancelKey);
  CallerGauge.set(static_cast<double>(Connections.size()));
  Connection->Watch = descriptor_watch();
  ::close(Connection->Socket);
  caller_effects Effects;
  terminateCaller(Connection->Caller, Effects);
  applyEffects(*Connection, std::move(Effects));
  notifyIfDrained();
}

void caller_listener::state::closeLateStartups() {
  auto Now = Context.Timers.now();
  std::vector<caller_id> Late;
  for (auto &[Id, Connection] : Connections)
    if (Connection->Caller.Phase == caller_state::phase::Startup &&
        Now - Connection->Accepted > StartupTimeout)
      Late.push_back(Id);
  for (auto Id : Late)
    closeConnection(Id);
}

void caller_listener::state::notifyIfDrained() {
  if (!Draining || !Connections.empty() || !DrainCallback)
    return;
  Context.Loop.post(std::exchange(DrainCallback, nullptr));
}

caller_listener::caller_listener(daemon_context &Context,
                                 router_callbacks Router,
                                 const caller_settings &Settings)
    : State(std::make_unique<state>(Context, std::move(Router), Settings)) {}

caller_listener::~caller_listener() = default;

endpoint caller_listener::start() {
  State->Listener =
      openListenSocket(State->Settings.Listen, ListenBacklog, "caller.listen");
  State->ListenerWatch = State->Context.Loop.watch(
      State->Listener, {true, false},
      [this](readiness) { State->acceptConnections(); });
  State->StartupCheckTimer = State->Context.Timers.every(
      StartupCheckPeriod, [this] { State->closeLateStartups(); });
  return State->Settings.Listen;
}

void caller_listener::drain(std::function<void()> Done) {
  State->Draining = true;
  State->DrainCallback = std::move(Done);
  std::vector<caller_id> All;
  for (auto &[Id, Connection] : State->Connections)
    All.push_back(Id);
  for (auto Id : All) {
    auto *Connection = State->find(Id);
    if (!Connection)
      continue;
    caller_effects Effects;
    drainCaller(Connection->Caller, Effects);
    State->applyEffects(*Connection, std::move(Effects));
    State->flushAndUpdateWatch(Id);
  }
  State->notifyIfDrained();
}

std::size_t caller_listener::callers() const {
  return State->Connections.size();
}

} // namespace teasellock
