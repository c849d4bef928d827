#include "core/error.h"
#include "modules/admin/announcement_json.h"
#include "modules/admin/http_server.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace teasellock;

namespace {

const std::string ValidJson =
    R"({"group":"despacho-1","upstream":"u1","address":"10.0.0.1:5432",)"
    R"("availability_zone":"zocalo","region":"centro-historico",)"
    R"("slots":3,"connections":25,"state":"serving"})";

/// ValidJson with From replaced by To.
std::string replaceIn(const std::string &From, const std::string &To) {
  std::string Text = ValidJson;
  Text.replace(Text.find(From), From.size(), To);
  return Text;
}

std::string parseError(const std::string &Json) {
  try {
    parseAnnouncement(Json);
    return "";
  } catch (const error &Problem) {
    return Problem.peer() + ": " + Problem.reason();
  }
}

/// Starts a server on a free port, sends Bytes and returns all bytes received.
std::string
exchangeBytes(event_loop &Loop, const std::string &Bytes,
              const std::function<void(http_request, http_reply)> &Handler) {
  timer_service Timers(Loop);
  metrics Metrics;
  tracer Tracer;
  daemon_context Context{Loop, Timers, Metrics, Tracer, {}};
  http_server Server(Context, {"127.0.0.1", 0}, Handler);
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address = toSocketAddress(Server.boundEndpoint());
  REQUIRE(::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address)) == 0);
  REQUIRE(::send(Socket, Bytes.data(), Bytes.size(), 0) ==
          static_cast<ssize_t>(Bytes.size()));
  std::string Response;
  auto KeepAwake = Timers.every(fromMilliseconds(5), [] {});
  for (int Iteration = 0; Iteration < 400; ++Iteration) {
    Loop.runOnce();
    char Buffer[4096];
    ssize_t Count = ::recv(Socket, Buffer, sizeof(Buffer), MSG_DONTWAIT);
    if (Count == 0)
      break;
    if (Count > 0)
      Response.append(Buffer, static_cast<std::size_t>(Count));
  }
  ::close(Socket);
  return Response;
}

} // namespace

TEST_CASE("admin: an announcement is parsed") {
  auto Announcement = parseAnnouncement(ValidJson);
  CHECK((Announcement.Group == group_id("despacho-1")));
  CHECK(Announcement.Connections == 25);
  CHECK_FALSE(Announcement.Leaving);
  CHECK(parseAnnouncement(replaceIn("serving", "leaving")).Leaving);
}

TEST_CASE("admin: an invalid announcement is rejected with field and value") {
  CHECK(parseError(replaceIn("\"slots\":3", "\"slots\":0")).find("slots: 0") ==
        0);
  CHECK(parseError(replaceIn("\"slots\":3", "\"slots\":\"x\""))
            .find("slots: \"x\"") == 0);
  CHECK(parseError(replaceIn("serving", "asleep")).find("state: \"asleep\"") ==
        0);
  CHECK(parseError(replaceIn("10.0.0.1:5432", "10.0.0.1")) != "");
  CHECK(parseError(replaceIn("\"group\"", "\"grup\"")) == "group: is missing");
  CHECK(parseError("[]").find("body") == 0);
  CHECK(rc::check("any text is rejected without other exceptions",
                  [](const std::string &Text) { parseError(Text); }));
  // Names are fields of messages to upstreams.
  CHECK_THROWS_AS(parseAnnouncement(replaceIn("despacho-1", "a b")), error);
}

TEST_CASE("admin: a handler may reply immediately or later") {
  event_loop Loop;
  std::string Get = "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                    "Authorization: Bearer t0ken\r\n\r\n";
  std::string Immediate =
      exchangeBytes(Loop, Get, [](http_request Request, http_reply Reply) {
        Reply({200, "text/plain", Request.Path + Request.BearerToken});
      });
  CHECK(Immediate.find("200 OK") != std::string::npos);
  CHECK(Immediate.find("/xt0ken") != std::string::npos);
  std::string Post = "POST /y HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                     "Content-Length: 4\r\n\r\nbody";
  std::string Delayed =
      exchangeBytes(Loop, Post, [&](http_request Request, http_reply Reply) {
        // The task runs after the connection has been suspended.
        Loop.post([Body = Request.Body, Reply] {
          Reply({202, "text/plain", Body});
        });
      });
  CHECK(Delayed.find("202 Accepted") != std::string::npos);
  CHECK(Delayed.find("body") != std::string::npos);
}

TEST_CASE("admin: a throwing handler and a malformed request give an error "
          "response") {
  auto Throwing = [](http_request, http_reply) {
    throw error("test.step", "peer", "went wrong");
  };
  event_loop Loop;
  std::string Get = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  CHECK(exchangeBytes(Loop, Get, Throwing).find("400 Bad Request") !=
        std::string::npos);
  CHECK(exchangeBytes(Loop, "\x16\x03\x01 no request\r\n\r\n", Throwing)
            .find("200") == std::string::npos);
}

TEST_CASE("admin: an unexpected exception of a handler is the server's fault "
          "and does not end it") {
  event_loop Loop;
  std::string Get = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  auto Throwing = [](http_request, http_reply) {
    throw std::out_of_range("map::at");
  };
  CHECK(exchangeBytes(Loop, Get, Throwing).find("500 Internal Server Error") !=
        std::string::npos);
}

TEST_CASE("admin: a request counts as in flight until its response is "
          "written, so that a planned stop waits for it") {
  event_loop Loop;
  timer_service Timers(Loop);
  metrics Metrics;
  tracer Tracer;
  daemon_context Context{Loop, Timers, Metrics, Tracer, {}};
  http_reply Reply;
  http_server Server(
      Context, {"127.0.0.1", 0},
      [&](http_request, http_reply Callback) { Reply = std::move(Callback); });
  CHECK(Server.inFlight() == 0u);
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address = toSocketAddress(Server.boundEndpoint());
  REQUIRE(::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address)) == 0);
  std::string Post = "POST /y HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                     "Content-Length: 4\r\n\r\nbody";
  REQUIRE(::send(Socket, Post.data(), Post.size(), 0) ==
          static_cast<ssize_t>(Post.size()));
  auto KeepAwake = Timers.every(fromMilliseconds(5), [] {});
  for (int Turn = 0; Turn < 400 && !Reply; ++Turn)
    Loop.runOnce();
  REQUIRE(Reply);
  CHECK(Server.inFlight() == 1u);
  Reply({200, "text/plain", "done"});
  CHECK(Server.inFlight() == 1u);
  std::string Response;
  for (int Turn = 0; Turn < 400 && Server.inFlight() > 0; ++Turn)
    Loop.runOnce();
  CHECK(Server.inFlight() == 0u);
  char Buffer[4096];
  ssize_t Count = ::recv(Socket, Buffer, sizeof(Buffer), MSG_DONTWAIT);
  REQUIRE(Count > 0);
  CHECK(std::string(Buffer, static_cast<std::size_t>(Count)).find("done") !=
        std::string::npos);
  ::close(Socket);
}
