#include "tests/soak/http_endpoints.h"

#include "core/error.h"

#include <algorithm>
#include <unistd.h>
#include <utility>

namespace teasellock::soak {

namespace {

constexpr duration CallTimeout = std::chrono::milliseconds(1000);
constexpr std::string_view HeaderEnd = "\r\n\r\n";

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Char) { return std::tolower(Char); });
  return Text;
}

} // namespace

int http_message::statusCode() const {
  std::size_t Blank = StartLine.find(' ');
  return Blank == std::string::npos ? 0 : std::atoi(StartLine.c_str() + Blank);
}

std::optional<http_message> parseHttpMessage(std::string_view Bytes) {
  std::size_t End = Bytes.find(HeaderEnd);
  if (End == std::string_view::npos)
    return std::nullopt;
  http_message Text;
  std::string_view Head = Bytes.substr(0, End + 2);
  std::size_t Start = Head.find("\r\n");
  Text.StartLine = Head.substr(0, Start);
  for (Start += 2; Start < Head.size();) {
    std::size_t LineEnd = Head.find("\r\n", Start);
    std::string Line(Head.substr(Start, LineEnd - Start));
    Start = LineEnd + 2;
    if (std::size_t Colon = Line.find(": "); Colon != std::string::npos)
      Text.Headers[lowerCase(Line.substr(0, Colon))] = Line.substr(Colon + 2);
  }
  std::size_t Length = 0;
  if (auto Found = Text.Headers.find("content-length");
      Found != Text.Headers.end())
    Length = std::stoul(Found->second);
  std::string_view Body = Bytes.substr(End + HeaderEnd.size());
  if (Body.size() < Length)
    return std::nullopt;
  Text.Body = Body.substr(0, Length);
  return Text;
}

http_call::http_call(event_loop &Loop, timer_service &Timers,
                     const endpoint &Server, const std::string &Method,
                     const std::string &Path, const std::string &Body,
                     std::function<void(std::optional<http_message>)> Done)
    : Loop(Loop), Done(std::move(Done)) {
  Timeout = Timers.after(CallTimeout, [this] { finish(std::nullopt); });
  try {
    Connection = std::make_unique<stand_in::connection>(
        Loop, stand_in::connectTo(Server));
  } catch (const error &) {
    // The timeout reports the failure, as for a lost packet.
    return;
  }
  Connection->start(
      [this] {
        if (auto Response = parseHttpMessage(Connection->input()))
          finish(std::move(Response));
      },
      [this] { finish(std::nullopt); });
  Connection->output() += Method + " " + Path +
                          " HTTP/1.1\r\nHost: " + toString(Server) +
                          "\r\nContent-Type: application/json\r\n"
                          "Content-Length: " +
                          std::to_string(Body.size()) + "\r\n\r\n" + Body;
  Connection->flush();
}

void http_call::finish(std::optional<http_message> Response) {
  Timeout.cancel();
  if (auto Callback = std::exchange(Done, nullptr))
    Loop.post([Callback = std::move(Callback), Response = std::move(Response)] {
      Callback(Response);
    });
}

http_responder::http_responder(
    event_loop &Loop, const endpoint &Listen,
    std::function<std::optional<int>(const http_message &)> Handler)
    : Loop(Loop), Listener(stand_in::listenOn(Listen)),
      Handler(std::move(Handler)) {
  Watch = Loop.watch(Listener, {true, false}, [this](readiness) { accept(); });
}

http_responder::~http_responder() {
  Watch = descriptor_watch();
  ::close(Listener);
}

void http_responder::accept() {
  int Descriptor = stand_in::acceptFrom(Listener);
  if (Descriptor < 0)
    return;
  auto Connection = std::make_shared<stand_in::connection>(Loop, Descriptor);
  std::weak_ptr<stand_in::connection> Weak = Connection;
  auto Close = [this, Weak] {
    Loop.post([this, LockedConnection = Weak.lock()] {
      std::erase(Connections, LockedConnection);
    });
  };
  Connection->start(
      [this, Weak] {
        auto LockedConnection = Weak.lock();
        auto Request = LockedConnection
                           ? parseHttpMessage(LockedConnection->input())
                           : std::nullopt;
        if (!Request)
          return;
        LockedConnection->consume(LockedConnection->input().size());
        auto Status = Handler(*Request);
        if (!Status)
          return;
        LockedConnection->output() += "HTTP/1.1 " + std::to_string(*Status) +
                                      " Status\r\nContent-Length: 0\r\n\r\n";
        LockedConnection->flush();
      },
      Close);
  Connections.push_back(std::move(Connection));
}

} // namespace teasellock::soak
