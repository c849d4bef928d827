#include "core/endpoint.h"
#include "modules/control/message_kinds.h"
#include "modules/deployment/key_digest.h"
#include "modules/line/line_listener.h"
#include "modules/link/codec.h"
#include "platform/line_codec.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace teasellock;

namespace {

constexpr int MaxTurns = 5000;

/// One process of a deployment on the test's event loop.
struct test_process {
  metrics Metrics;
  tracer Tracer;
  daemon_context Context;
  link_hub Hub;

  test_process(event_loop &Loop, timer_service &Timers, const std::string &Name)
      : Context{Loop,
                Timers,
                Metrics,
                Tracer,
                {vm_id(Name), incarnation(1), availability_zone_id("z"),
                 region_id("r"), endpoint{"127.0.0.1", 0}}},
        Hub(Context, link_settings()) {
    Context.Self.InternalEndpoint = Hub.listen();
  }
};

/// An entry that gets its deployment from a simulated control process.
struct listener_fixture {
  event_loop Loop;
  timer_service Timers{Loop};
  test_process Control{Loop, Timers, "control"};
  test_process Entry{Loop, Timers, "entry"};
  deployment Deployment;
  std::unique_ptr<member_agent> Member;
  std::unique_ptr<statement_router> Router;
  limit_service Limits{
      Entry.Context,
      Entry.Hub,
      {[this]() -> const limiter_view & { return Member->limiters(); },
       [this]() -> const deployment & { return Member->currentDeployment(); }}};
  std::unique_ptr<line_listener> Listener;
  endpoint Address;

  listener_fixture() {
    Deployment.Version = deployment_version(1);
    auto &Route = Deployment.Routes.emplace_back();
    Route.Database = database_id("db");
    Route.Group = group_id("g");
    setKeys({"k1", "k2"});
    Control.Hub.registerReceiver(
        message_kind(RenewalKind), message_kind(RenewalKind),
        [this](link_id Link, link_message &&Message) {
          wire::renewal_reply Reply;
          Reply.granted = true;
          auto Renewal = decode<wire::renewal>(Message.Body, "entry");
          if (deployment_version(static_cast<std::uint64_t>(
                  Renewal.deployment_version)) < Deployment.Version)
            Reply.__set_newer_deployment(toWire(Deployment));
          Control.Hub.send(Link, {message_kind(RenewalReplyKind),
                                  Message.Request, encode(Reply), "", false});
        });
    membership_settings Membership;
    Membership.ControlEndpoints = {Control.Context.Self.InternalEndpoint};
    Membership.RenewalPeriod = fromMilliseconds(40);
    Member =
        std::make_unique<member_agent>(Entry.Context, Entry.Hub, Membership);
    Router = std::make_unique<statement_router>(
        Entry.Context, Entry.Hub, *Member, nullptr, routing_settings());
    line_listener_settings Settings;
    Settings.Listen = {"127.0.0.1", 0};
    Settings.Protocol = &platform::lineProtocol();
    Listener = std::make_unique<line_listener>(Entry.Context, *Member, *Router,
                                               Limits, Settings);
    Member->start();
    Router->start();
    Limits.start(true);
    Address = Listener->start();
  }

  void setKeys(const std::vector<std::string> &Keys) {
    Deployment.Version.Value += 1;
    organisation Organisation;
    Organisation.Name = organisation_id("o1");
    for (const auto &Key : Keys)
      Organisation.Keys.push_back(digestOf(Key));
    Deployment.Organisations = {Organisation};
  }

  template <typename Condition> bool runUntil(Condition Done) {
    auto Tick = Timers.every(fromMilliseconds(1), [] {});
    for (int Turn = 0; Turn < MaxTurns && !Done(); ++Turn)
      Loop.runOnce();
    return Done();
  }
};

/// A caller's connection.
struct caller {
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  std::string Received;
  bool IsClosed = false;

  explicit caller(const endpoint &Address) {
    auto Target = toSocketAddress(Address);
    REQUIRE(::connect(Socket, reinterpret_cast<sockaddr *>(&Target),
                      sizeof(Target)) == 0);
  }
  ~caller() { ::close(Socket); }
  caller(const caller &) = delete;
  caller &operator=(const caller &) = delete;

  void send(const std::string &Text) const {
    REQUIRE(::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(Text.size()));
  }

  const std::string &receive() {
    char Buffer[1024];
    ssize_t Count = ::recv(Socket, Buffer, sizeof(Buffer), MSG_DONTWAIT);
    if (Count > 0)
      Received.append(Buffer, static_cast<std::size_t>(Count));
    IsClosed = IsClosed || Count == 0;
    return Received;
  }
};

} // namespace

// Guards against sessions that stay open after their key was removed, and
// against sessions of other keys that are closed with them.
TEST_CASE("line listener: idle sessions of a removed key are closed, open "
          "transactions are refused") {
  listener_fixture Fixture;
  caller Removed(Fixture.Address);
  caller InTransaction(Fixture.Address);
  caller Kept(Fixture.Address);
  const std::string Ready = "READY I -\r\n";
  const std::string Open = Ready + "DONE -\r\nREADY T -\r\n";
  Removed.send("START db k1\r\n");
  InTransaction.send("START db k1\r\nQUERY 1 BEGIN\r\n");
  Kept.send("START db k2\r\n");
  REQUIRE(Fixture.runUntil([&] { return Removed.receive() == Ready; }));
  REQUIRE(Fixture.runUntil([&] { return InTransaction.receive() == Open; }));
  REQUIRE(Fixture.runUntil([&] { return Kept.receive() == Ready; }));
  Fixture.setKeys({"k2"});
  REQUIRE(Fixture.runUntil([&] {
    Removed.receive();
    return Removed.IsClosed;
  }));
  CHECK(Removed.Received == Ready);
  InTransaction.receive();
  CHECK_FALSE(InTransaction.IsClosed);
  InTransaction.send("QUERY 2 COMMIT\r\n");
  REQUIRE(Fixture.runUntil([&] {
    InTransaction.receive();
    return InTransaction.IsClosed;
  }));
  CHECK(InTransaction.Received ==
        Open + "ERR NOAUTH the key is not known\r\n" + Ready);
  caller Late(Fixture.Address);
  Late.send("START db k1\r\n");
  REQUIRE(Fixture.runUntil([&] {
    Late.receive();
    return Late.IsClosed;
  }));
  CHECK(Late.Received == "ERR NOAUTH the key is not known\r\n");
  Kept.send("QUERY 1 BEGIN\r\n");
  CHECK(Fixture.runUntil([&] { return Kept.receive() == Open; }));
  CHECK_FALSE(Kept.IsClosed);
}
