#include "modules/admin/http_client.h"

#include "core/event_log.h"

#include <cerrno>
#include <cstring>
#include <http_parser.h>
#include <memory>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace teasellock {

namespace {

constexpr std::size_t ReadBufferBytes = 4096;

/// A call in progress. Kept alive by the callbacks that it has registered until
/// it finishes.
struct http_exchange : std::enable_shared_from_this<http_exchange> {
  daemon_context &Context;
  http_call Call;
  std::function<void(std::optional<int>)> OnDone;
  int Socket = -1;
  descriptor_watch Watch;
  timer_subscription TimeoutTimer;
  std::string OutBuffer;
  http_parser Parser = {};
  bool IsComplete = false;

  http_exchange(daemon_context &Context, http_call Call,
                std::function<void(std::optional<int>)> OnDone)
      : Context(Context), Call(std::move(Call)), OnDone(std::move(OnDone)) {}

  ~http_exchange() {
    if (Socket >= 0)
      ::close(Socket);
  }

  void start();
  void handleReadiness(readiness Ready);
  void send();
  void receive();
  void finish(std::optional<int> Status, const std::string &Reason);
};

std::string formatRequest(const http_call &Call) {
  std::string Text = Call.Method + " " + Call.Path + " HTTP/1.1\r\n";
  Text += "Host: " + toString(Call.Server) + "\r\n";
  Text += "Connection: close\r\n";
  Text += "Content-Length: " + std::to_string(Call.Body.size()) + "\r\n";
  for (const auto &[Name, Value] : Call.Headers)
    Text += Name + ": " + Value + "\r\n";
  return Text + "\r\n" + Call.Body;
}

void http_exchange::start() {
  http_parser_init(&Parser, HTTP_RESPONSE);
  Parser.data = this;
  OutBuffer = formatRequest(Call);
  Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return finish(std::nullopt, std::strerror(errno));
  sockaddr_in Address = toSocketAddress(Call.Server);
  int Status = ::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                         sizeof(Address));
  if (Status < 0 && errno != EINPROGRESS)
    return finish(std::nullopt, std::strerror(errno));
  Watch = Context.Loop.watch(Socket, {true, true},
                             [Self = shared_from_this()](readiness Ready) {
                               Self->handleReadiness(Ready);
                             });
  TimeoutTimer =
      Context.Timers.after(Call.Timeout, [Self = shared_from_this()] {
        Self->finish(std::nullopt, "no response in time");
      });
}

void http_exchange::handleReadiness(readiness Ready) {
  auto KeepAlive = shared_from_this();
  if (Ready.Writable && !OutBuffer.empty())
    send();
  if (OnDone && Ready.Readable)
    receive();
}

void http_exchange::send() {
  ssize_t Count =
      ::send(Socket, OutBuffer.data(), OutBuffer.size(), MSG_NOSIGNAL);
  if (Count < 0 && errno != EAGAIN && errno != EINTR)
    return finish(std::nullopt, std::strerror(errno));
  if (Count > 0)
    OutBuffer.erase(0, static_cast<std::size_t>(Count));
  Watch.setInterest({true, !OutBuffer.empty()});
}

void http_exchange::receive() {
  char Buffer[ReadBufferBytes];
  ssize_t Count = ::recv(Socket, Buffer, sizeof(Buffer), 0);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (Count < 0)
    return finish(std::nullopt, std::strerror(errno));
  http_parser_settings Events = {};
  Events.on_message_complete = [](http_parser *Parser) {
    static_cast<http_exchange *>(Parser->data)->IsComplete = true;
    return 0;
  };
  // A count of zero signals the end of the stream to the parser.
  http_parser_execute(&Parser, &Events, Buffer,
                      static_cast<std::size_t>(Count));
  if (IsComplete)
    return finish(static_cast<int>(Parser.status_code), "");
  if (Count == 0 || HTTP_PARSER_ERRNO(&Parser) != HPE_OK)
    finish(std::nullopt, "the response is truncated or malformed");
}

void http_exchange::finish(std::optional<int> Status,
                           const std::string &Reason) {
  auto Callback = std::exchange(OnDone, nullptr);
  if (!Callback)
    return;
  if (!Status)
    event("http.call_failed", severity::Warning)
        .with("server", toString(Call.Server))
        .with("path", Call.Path)
        .with("reason", Reason);
  auto KeepAlive = shared_from_this();
  Watch = descriptor_watch();
  TimeoutTimer.cancel();
  Context.Loop.post([KeepAlive, Callback, Status] { Callback(Status); });
}

} // namespace

void callHttp(daemon_context &Context, http_call Call,
              std::function<void(std::optional<int> Status)> OnDone) {
  std::make_shared<http_exchange>(Context, std::move(Call), std::move(OnDone))
      ->start();
}

} // namespace teasellock
