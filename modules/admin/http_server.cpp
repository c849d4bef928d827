#include "modules/admin/http_server.h"

#include "core/error.h"
#include "core/event_log.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

namespace teasellock {

namespace {

constexpr unsigned MaxConnections = 256;
constexpr unsigned IdleTimeoutSeconds = 30;
constexpr int StatusBadRequest = 400;
constexpr int StatusTooLarge = 413;
constexpr int StatusInternalError = 500;
constexpr int StatusUnavailable = 503;
/// Bodies of requests in progress may use the memory of the process divided by
/// this. While it grows, a body occupies up to twice its size.
constexpr std::size_t BodyMemoryDivisor = 6;
/// A short body is received whatever other requests use.
constexpr std::size_t FreeBodyBytes = 64 * 1024;
constexpr std::string_view BearerPrefix = "Bearer ";

} // namespace

struct http_server::state {
  /// A request in progress, kept until microhttpd has completed it. The handler
  /// replies at once or later; until then the connection is suspended.
  struct exchange {
    http_request Request;
    bool IsTooLarge = false;
    /// There was no memory for the body.
    bool IsRejected = false;
    /// What its body counts for in BodyBytes.
    std::size_t CountedBytes = 0;
    bool IsHandled = false;
    bool IsSuspended = false;
    bool IsAnswered = false;
    http_response Response;
    MHD_Connection *Connection = nullptr;
  };

  daemon_context &Context;
  std::function<void(http_request, http_reply)> Handler;
  MHD_Daemon *Daemon = nullptr;
  descriptor_watch Watch;
  timer_subscription TimeoutTimer;
  std::size_t InFlight = 0;
  std::size_t BodyBytes = 0;
  std::size_t MaxBodyMemoryBytes = DefaultBodyMemoryBytes;

  explicit state(daemon_context &Context) : Context(Context) {}

  void runDaemon();
  void handleRequest(const std::shared_ptr<exchange> &Exchange);
  void appendToBody(exchange &Exchange, std::string_view Data);
  void releaseBody(exchange &Exchange);
  MHD_Result handleAccess(MHD_Connection *Connection, const char *Url,
                          const char *Method, const char *Data, size_t *Size,
                          void **RequestContext);
  static MHD_Result queueResponse(MHD_Connection *Connection,
                                  const http_response &Response);
};

void http_server::state::runDaemon() {
  MHD_run(Daemon);
  MHD_UNSIGNED_LONG_LONG Milliseconds = 0;
  if (MHD_get_timeout(Daemon, &Milliseconds) != MHD_YES) {
    TimeoutTimer.cancel();
    return;
  }
  TimeoutTimer = Context.Timers.after(
      fromMilliseconds(static_cast<std::int64_t>(Milliseconds) + 1),
      [this] { runDaemon(); });
}

void http_server::state::handleRequest(
    const std::shared_ptr<exchange> &Exchange) {
  Exchange->IsHandled = true;
  auto Reply = [this, Weak = std::weak_ptr(Exchange)](http_response Response) {
    auto Exchange = Weak.lock();
    // The client may have disconnected, or the handler may reply twice.
    if (!Exchange || Exchange->IsAnswered)
      return;
    Exchange->IsAnswered = true;
    Exchange->Response = std::move(Response);
    if (!Exchange->IsSuspended)
      return;
    Exchange->IsSuspended = false;
    MHD_resume_connection(Exchange->Connection);
    Context.Loop.post([this] { runDaemon(); });
  };
  std::string Path = Exchange->Request.Path;
  try {
    Handler(std::move(Exchange->Request), Reply);
  } catch (const error &Problem) {
    Reply({StatusBadRequest, "text/plain", std::string(Problem.what()) + "\n"});
  } catch (const std::exception &Problem) {
    event("http.handler_failed", severity::Error)
        .with("path", Path)
        .with("reason", Problem.what());
    Reply({StatusInternalError, "text/plain",
           std::string(Problem.what()) + "\n"});
  }
}

/// Adds a part of the body, or drops the body if it is too long or there is no
/// memory for it.
void http_server::state::appendToBody(exchange &Exchange,
                                      std::string_view Data) {
  if (Exchange.IsTooLarge || Exchange.IsRejected)
    return;
  auto &Body = Exchange.Request.Body;
  Exchange.IsTooLarge = Body.size() + Data.size() > MaxRequestBodyBytes;
  Exchange.IsRejected = Body.size() + Data.size() > FreeBodyBytes &&
                        BodyBytes + Data.size() > MaxBodyMemoryBytes;
  if (Exchange.IsTooLarge || Exchange.IsRejected)
    return releaseBody(Exchange);
  Body.append(Data);
  Exchange.CountedBytes += Data.size();
  BodyBytes += Data.size();
}

void http_server::state::releaseBody(exchange &Exchange) {
  BodyBytes -= std::exchange(Exchange.CountedBytes, 0);
  std::string().swap(Exchange.Request.Body);
}

MHD_Result http_server::state::handleAccess(MHD_Connection *Connection,
                                            const char *Url, const char *Method,
                                            const char *Data, size_t *Size,
                                            void **RequestContext) {
  if (!*RequestContext) {
    auto Exchange = std::make_shared<exchange>();
    Exchange->Connection = Connection;
    Exchange->Request.Method = Method;
    Exchange->Request.Path = Url;
    const char *Header = MHD_lookup_connection_value(
        Connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);
    if (Header && std::string_view(Header).starts_with(BearerPrefix))
      Exchange->Request.BearerToken = Header + BearerPrefix.size();
    *RequestContext = new std::shared_ptr<exchange>(std::move(Exchange));
    ++InFlight;
    return MHD_YES;
  }
  auto Exchange = *static_cast<std::shared_ptr<exchange> *>(*RequestContext);
  if (*Size != 0) {
    appendToBody(*Exchange, {Data, *Size});
    *Size = 0;
    return MHD_YES;
  }
  if (Exchange->IsTooLarge)
    return queueResponse(Connection, {StatusTooLarge, "text/plain",
                                      "the body is longer than 16 MiB\n"});
  if (Exchange->IsRejected)
    return queueResponse(Connection,
                         {StatusUnavailable, "text/plain",
                          "other requests use the memory for bodies\n"});
  if (!Exchange->IsHandled)
    handleRequest(Exchange);
  if (Exchange->IsAnswered)
    return queueResponse(Connection, Exchange->Response);
  Exchange->IsSuspended = true;
  MHD_suspend_connection(Connection);
  return MHD_YES;
}

MHD_Result http_server::state::queueResponse(MHD_Connection *Connection,
                                             const http_response &Response) {
  auto *Text = const_cast<char *>(Response.Body.data());
  auto *MhdResponse = MHD_create_response_from_buffer(
      Response.Body.size(), Text, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(MhdResponse, MHD_HTTP_HEADER_CONTENT_TYPE,
                          Response.ContentType.c_str());
  auto Result = MHD_queue_response(
      Connection, static_cast<unsigned>(Response.Status), MhdResponse);
  MHD_destroy_response(MhdResponse);
  return Result;
}

std::size_t bodyMemoryFor(const process_resources &Resources) {
  if (Resources.MemoryBytes == 0)
    return DefaultBodyMemoryBytes;
  return Resources.MemoryBytes / BodyMemoryDivisor;
}

http_server::http_server(daemon_context &Context, const endpoint &Listen,
                         std::function<void(http_request, http_reply)> Handler,
                         std::size_t MaxBodyMemoryBytes)
    : State(std::make_unique<state>(Context)) {
  State->Handler = std::move(Handler);
  State->MaxBodyMemoryBytes = MaxBodyMemoryBytes;
  sockaddr_in Address = toSocketAddress(Listen);
  auto OnAccess = [](void *Self, MHD_Connection *Connection, const char *Url,
                     const char *Method, const char *, const char *Data,
                     size_t *Size, void **RequestContext) -> MHD_Result {
    return static_cast<state *>(Self)->handleAccess(Connection, Url, Method,
                                                    Data, Size, RequestContext);
  };
  auto OnCompleted = [](void *Self, MHD_Connection *, void **RequestContext,
                        MHD_RequestTerminationCode) {
    auto *Exchange =
        static_cast<std::shared_ptr<state::exchange> *>(*RequestContext);
    if (!Exchange)
      return;
    auto &Server = *static_cast<state *>(Self);
    Server.BodyBytes -= (*Exchange)->CountedBytes;
    delete Exchange;
    *RequestContext = nullptr;
    --Server.InFlight;
  };
  State->Daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, Listen.Port, nullptr, nullptr,
      +OnAccess, State.get(), MHD_OPTION_SOCK_ADDR, &Address,
      MHD_OPTION_NOTIFY_COMPLETED, +OnCompleted, State.get(),
      MHD_OPTION_CONNECTION_LIMIT, MaxConnections,
      MHD_OPTION_CONNECTION_TIMEOUT, IdleTimeoutSeconds, MHD_OPTION_END);
  if (!State->Daemon)
    throw error("http.listen", toString(Listen), "can't be bound");
  auto *Info = MHD_get_daemon_info(State->Daemon, MHD_DAEMON_INFO_EPOLL_FD);
  State->Watch = Context.Loop.watch(Info->epoll_fd, {true, false},
                                    [this](readiness) { State->runDaemon(); });
}

http_server::~http_server() {
  State->Watch = descriptor_watch();
  MHD_stop_daemon(State->Daemon);
}

std::size_t http_server::inFlight() const { return State->InFlight; }

endpoint http_server::boundEndpoint() const {
  auto *Info = MHD_get_daemon_info(State->Daemon, MHD_DAEMON_INFO_LISTEN_FD);
  sockaddr_in Address = {};
  socklen_t Length = sizeof(Address);
  ::getsockname(Info->listen_fd, reinterpret_cast<sockaddr *>(&Address),
                &Length);
  char Text[INET_ADDRSTRLEN] = {};
  ::inet_ntop(AF_INET, &Address.sin_addr, Text, sizeof(Text));
  return {Text, ntohs(Address.sin_port)};
}

} // namespace teasellock
