#include "modules/link/link_hub.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace teasellock;

namespace {

/// A VM with a hub on a free loopback port. VMs share an event loop.
struct test_vm {
  metrics Metrics;
  tracer Tracer;
  daemon_context Context;
  link_hub Hub;

  test_vm(event_loop &Loop, timer_service &Timers, const std::string &Name)
      : Context{Loop, Timers, Metrics, Tracer,
                vm_identity{vm_id(Name),
                            incarnation(7),
                            {},
                            {},
                            endpoint{"127.0.0.1", 0}}},
        Hub(Context, settings()) {}

  static link_settings settings() {
    link_settings Settings;
    Settings.Heartbeat.Interval = fromMilliseconds(20);
    Settings.Heartbeat.Timeout = fromMilliseconds(150);
    return Settings;
  }
};

constexpr int MaxTurns = 5000;

template <typename Condition> bool runUntil(event_loop &Loop, Condition Done) {
  for (int Turn = 0; Turn < MaxTurns && !Done(); ++Turn)
    Loop.runOnce();
  return Done();
}

int connectTo(const endpoint &Endpoint) {
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address = toSocketAddress(Endpoint);
  REQUIRE(::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address)) == 0);
  return Socket;
}

} // namespace

TEST_CASE("link: messages reach the receiver of their kind with the peer's "
          "name") {
  event_loop Loop;
  timer_service Timers(Loop);
  test_vm Left(Loop, Timers, "left");
  test_vm Right(Loop, Timers, "right");
  endpoint Address = Right.Hub.listen();
  std::string ReceivedBody;
  std::string From;
  Right.Hub.registerReceiver(message_kind(100), message_kind(199),
                             [&](link_id Link, link_message &&Message) {
                               ReceivedBody = Message.Body;
                               From = Right.Hub.peerOf(Link)->Vm.Value;
                             });
  link_id Link = Left.Hub.linkTo(Address);
  CHECK_FALSE(Left.Hub.send(Link, {message_kind(100), {}, "early", ""}));
  REQUIRE(runUntil(Loop, [&] { return Left.Hub.isOpen(Link); }));
  CHECK(Left.Hub.send(Link, {message_kind(100), {}, "hello", ""}));
  REQUIRE(runUntil(Loop, [&] { return !ReceivedBody.empty(); }));
  CHECK(ReceivedBody == "hello");
  CHECK(From == "left");
}

TEST_CASE("link: a kind has one receiver") {
  event_loop Loop;
  timer_service Timers(Loop);
  test_vm Vm(Loop, Timers, "vm");
  auto Ignore = [](link_id, link_message &&) {};
  Vm.Hub.registerReceiver(message_kind(300), message_kind(301), Ignore);
  CHECK_THROWS_AS(
      Vm.Hub.registerReceiver(message_kind(301), message_kind(399), Ignore),
      error);
  CHECK_NOTHROW(
      Vm.Hub.registerReceiver(message_kind(302), message_kind(302), Ignore));
}

TEST_CASE("link: the connection to a peer that stays silent is closed") {
  event_loop Loop;
  timer_service Timers(Loop);
  test_vm Vm(Loop, Timers, "vm");
  // A listener without a process that accepts: the kernel completes the
  // connection, but no hello arrives.
  int Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  sockaddr_in Address = toSocketAddress({"127.0.0.1", 0});
  socklen_t Length = sizeof(Address);
  REQUIRE(::bind(Listener, reinterpret_cast<sockaddr *>(&Address), Length) ==
          0);
  REQUIRE(::listen(Listener, 8) == 0);
  ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Length);
  Vm.Hub.linkTo({"127.0.0.1", ntohs(Address.sin_port)});
  // A second connection in the backlog means that the first one was closed.
  int Accepted = 0;
  REQUIRE(runUntil(Loop, [&] {
    if (::accept(Listener, nullptr, nullptr) >= 0)
      ++Accepted;
    return Accepted >= 2;
  }));
  ::close(Listener);
}

TEST_CASE(
    "link: bytes that are not a frame close the connection, not the hub") {
  event_loop Loop;
  timer_service Timers(Loop);
  test_vm Vm(Loop, Timers, "vm");
  endpoint Address = Vm.Hub.listen();
  for (std::string Bad : {std::string("\xff\xff\xff\xff garbage"),
                          std::string("\0\0\0\4\x7f\x7f\x7f\x7f", 8)}) {
    int Socket = connectTo(Address);
    REQUIRE(::send(Socket, Bad.data(), Bad.size(), 0) ==
            static_cast<ssize_t>(Bad.size()));
    bool Ended = runUntil(Loop, [&] {
      char Buffer[256];
      return ::recv(Socket, Buffer, sizeof(Buffer), MSG_DONTWAIT) == 0;
    });
    CHECK(Ended);
    ::close(Socket);
  }
  test_vm Other(Loop, Timers, "other");
  link_id Link = Other.Hub.linkTo(Address);
  CHECK(runUntil(Loop, [&] { return Other.Hub.isOpen(Link); }));
}

TEST_CASE("link: a retained link ends with its last user, a permanent one does "
          "not") {
  event_loop Loop;
  timer_service Timers(Loop);
  test_vm Left(Loop, Timers, "left");
  test_vm Right(Loop, Timers, "right");
  endpoint Address = Right.Hub.listen();
  int Closed = 0;
  link_events Events;
  Events.Closed = [&](link_id, const error &) { ++Closed; };
  Right.Hub.subscribe(std::move(Events));
  link_id Link = Left.Hub.retainLink(Address);
  CHECK((Left.Hub.retainLink(Address) == Link));
  REQUIRE(runUntil(Loop, [&] { return Left.Hub.isOpen(Link); }));
  Left.Hub.releaseLink(Link);
  CHECK(Left.Hub.isOpen(Link));
  Left.Hub.releaseLink(Link);
  CHECK_FALSE(Left.Hub.isOpen(Link));
  REQUIRE(runUntil(Loop, [&] { return Closed == 1; }));
  // A new user dials again.
  link_id Again = Left.Hub.retainLink(Address);
  CHECK((Left.Hub.linkTo(Address) == Again));
  REQUIRE(runUntil(Loop, [&] { return Left.Hub.isOpen(Again); }));
  Left.Hub.releaseLink(Again);
  CHECK(Left.Hub.isOpen(Again));
}

TEST_CASE("link: without a free descriptor a dial is repeated, not fatal") {
  event_loop Loop;
  timer_service Timers(Loop);
  test_vm Left(Loop, Timers, "left");
  test_vm Right(Loop, Timers, "right");
  endpoint Address = Right.Hub.listen();
  rlimit Before = {};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &Before) == 0);
  // No descriptor above those in use can be opened.
  int Highest = ::dup(0);
  ::close(Highest);
  rlimit Low = Before;
  Low.rlim_cur = static_cast<rlim_t>(Highest);
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &Low) == 0);
  link_id Link;
  CHECK_NOTHROW(Link = Left.Hub.linkTo(Address));
  for (int Turn = 0; Turn < 20; ++Turn)
    Loop.runOnce();
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &Before) == 0);
  CHECK(runUntil(Loop, [&] { return Left.Hub.isOpen(Link); }));
}

TEST_CASE("link: a receiver that fails on a message ends that link only") {
  event_loop Loop;
  timer_service Timers(Loop);
  test_vm Left(Loop, Timers, "left");
  test_vm Right(Loop, Timers, "right");
  endpoint Address = Right.Hub.listen();
  int Received = 0;
  Right.Hub.registerReceiver(message_kind(100), message_kind(100),
                             [&](link_id, link_message &&) {
                               if (++Received == 1)
                                 throw std::out_of_range("map::at");
                             });
  int Closed = 0;
  link_events Events;
  Events.Closed = [&](link_id, const error &) { ++Closed; };
  Left.Hub.subscribe(std::move(Events));
  link_id Link = Left.Hub.linkTo(Address);
  REQUIRE(runUntil(Loop, [&] { return Left.Hub.isOpen(Link); }));
  CHECK(Left.Hub.send(Link, {message_kind(100), {}, "bad", ""}));
  REQUIRE(runUntil(Loop, [&] { return Closed == 1; }));
  REQUIRE(runUntil(Loop, [&] { return Left.Hub.isOpen(Link); }));
  CHECK(Left.Hub.send(Link, {message_kind(100), {}, "good", ""}));
  CHECK(runUntil(Loop, [&] { return Received == 2; }));
}
