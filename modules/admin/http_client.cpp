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

constexpr std::size_t ReadBytes = 4096;

/// A call under way. Owns itself through its callbacks until it ends.
struct exchange : std::enable_shared_from_this<exchange> {
  daemon_context &Context;
  http_call Call;
  std::function<void(std::optional<int>)> Done;
  int Socket = -1;
  descriptor_watch Watch;
  timer_subscription Timeout;
  std::string Out;
  http_parser Parser = {};
  bool Whole = false;

  exchange(daemon_context &Context, http_call Call,
           std::function<void(std::optional<int>)> Done)
      : Context(Context), Call(std::move(Call)), Done(std::move(Done)) {}

  ~exchange() {
    if (Socket >= 0)
      ::close(Socket);
  }

  void start();
  void onReady(readiness Ready);
  void send();
  void receive();
  void end(std::optional<int> Status, const std::string &Reason);
};

std::string textOf(const http_call &Call) {
  std::string Text = Call.Method + " " + Call.Path + " HTTP/1.1\r\n";
  Text += "Host: " + toString(Call.Server) + "\r\n";
  Text += "Connection: close\r\n";
  Text += "Content-Length: " + std::to_string(Call.Body.size()) + "\r\n";
  for (const auto &[Name, Value] : Call.Headers)
    Text += Name + ": " + Value + "\r\n";
  return Text + "\r\n" + Call.Body;
}

void exchange::start() {
  http_parser_init(&Parser, HTTP_RESPONSE);
  Parser.data = this;
  Out = textOf(Call);
  Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return end(std::nullopt, std::strerror(errno));
  sockaddr_in Address = toSocketAddress(Call.Server);
  int Status = ::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                         sizeof(Address));
  if (Status < 0 && errno != EINPROGRESS)
    return end(std::nullopt, std::strerror(errno));
  Watch = Context.Loop.watch(
      Socket, {true, true},
      [Self = shared_from_this()](readiness Ready) { Self->onReady(Ready); });
  Timeout = Context.Timers.after(Call.Timeout, [Self = shared_from_this()] {
    Self->end(std::nullopt, "no answer in time");
  });
}

void exchange::onReady(readiness Ready) {
  auto Keep = shared_from_this();
  if (Ready.Writable && !Out.empty())
    send();
  if (Done && Ready.Readable)
    receive();
}

void exchange::send() {
  ssize_t Count = ::send(Socket, Out.data(), Out.size(), MSG_NOSIGNAL);
  if (Count < 0 && errno != EAGAIN && errno != EINTR)
    return end(std::nullopt, std::strerror(errno));
  if (Count > 0)
    Out.erase(0, static_cast<std::size_t>(Count));
  Watch.want({true, !Out.empty()});
}

void exchange::receive() {
  char Buffer[ReadBytes];
  ssize_t Count = ::recv(Socket, Buffer, sizeof(Buffer), 0);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (Count < 0)
    return end(std::nullopt, std::strerror(errno));
  http_parser_settings Events = {};
  Events.on_message_complete = [](http_parser *Parser) {
    static_cast<exchange *>(Parser->data)->Whole = true;
    return 0;
  };
  // Zero bytes tell the parser that the stream has ended.
  http_parser_execute(&Parser, &Events, Buffer,
                      static_cast<std::size_t>(Count));
  if (Whole)
    return end(static_cast<int>(Parser.status_code), "");
  if (Count == 0 || HTTP_PARSER_ERRNO(&Parser) != HPE_OK)
    end(std::nullopt, "the answer was cut off or can't be read");
}

void exchange::end(std::optional<int> Status, const std::string &Reason) {
  auto Callback = std::exchange(Done, nullptr);
  if (!Callback)
    return;
  if (!Status)
    event("http.call_failed", severity::Warning)
        .with("server", toString(Call.Server))
        .with("path", Call.Path)
        .with("reason", Reason);
  auto Keep = shared_from_this();
  Watch = descriptor_watch();
  Timeout.cancel();
  Context.Loop.post([Keep, Callback, Status] { Callback(Status); });
}

} // namespace

void callHttp(daemon_context &Context, http_call Call,
              std::function<void(std::optional<int> Status)> Done) {
  std::make_shared<exchange>(Context, std::move(Call), std::move(Done))
      ->start();
}

} // namespace teasellock
