#include "core/compression.h"
#include "core/endpoint.h"
#include "core/error.h"
#include "core/event_log.h"
#include "core/metrics.h"
#include "core/position.h"
#include "core/timer_service.h"
#include "core/trace.h"

#include <chrono>
#include <cstdio>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <thread>
#include <unistd.h>

using namespace teasellock;

TEST_CASE("core: an endpoint is an IPv4 address and a port") {
  CHECK(toString(parseEndpoint("10.0.0.7:5432")) == "10.0.0.7:5432");
  for (const char *Bad : {"", "10.0.0.7", "10.0.0.7:", "10.0.0.7:x",
                          "10.0.0.7:70000", "db.example:5432", "10.0.0:1"}) {
    CAPTURE(Bad);
    CHECK_THROWS_AS(parseEndpoint(Bad), error);
  }
}

TEST_CASE("core: a position of an older term is below any of a newer term") {
  position Old{term(1), 1000};
  position New{term(2), 10};
  CHECK((Old < New));
  CHECK((position{term(2), 9} < New));
}

TEST_CASE("core: a trace context round-trips and any text is parsed safely") {
  trace_context Context;
  Context.TraceId[0] = 0x4b;
  Context.TraceId[15] = 0x36;
  Context.SpanId = 0xf067aa0ba902b7;
  Context.Sampled = true;
  CHECK(parseTraceParent(toTraceParent(Context)) == Context);
  CHECK(toTraceParent(trace_context()).empty());
  CHECK(rc::check("any text is parsed or rejected", [](std::string Text) {
    parseTraceParent(Text);
    Text.resize(55, '0');
    parseTraceParent("00-" + Text.substr(3));
  }));
}

TEST_CASE("core: a quantile is the upper edge of its bin") {
  latency_histogram Histogram;
  CHECK(Histogram.quantile(0.5) == duration::zero());
  for (int I = 0; I < 99; ++I)
    Histogram.observe(fromMilliseconds(1));
  Histogram.observe(fromMilliseconds(100));
  CHECK(Histogram.quantile(0.5) >= fromMilliseconds(1));
  CHECK(Histogram.quantile(0.5) < fromMilliseconds(2));
  CHECK(Histogram.quantile(1) >= fromMilliseconds(100));
  CHECK(Histogram.count() == 100);
}

TEST_CASE("core: label values are escaped in the Prometheus text") {
  metrics Metrics;
  Metrics.counterOf("teasellock_test_total", {{"peer", "a\"b\\c\nd"}}).add(3);
  CHECK(Metrics.prometheusText().find(
            "teasellock_test_total{peer=\"a\\\"b\\\\c d\"} 3") !=
        std::string::npos);
}

TEST_CASE("core: a timer may be cancelled in its own callback") {
  event_loop Loop;
  timer_service Timers(Loop);
  int Calls = 0;
  timer_subscription Subscription;
  Subscription = Timers.every(fromMilliseconds(1), [&] {
    if (++Calls == 3)
      Subscription.cancel();
  });
  bool TimedOut = false;
  auto TimeoutTimer =
      Timers.after(fromMilliseconds(50), [&] { TimedOut = true; });
  while (!TimedOut)
    Loop.runOnce();
  CHECK(Calls == 3);
  CHECK_FALSE(Subscription.isActive());
}

TEST_CASE("core: tasks posted by a task run in the next iteration, in order") {
  event_loop Loop;
  timer_service Timers(Loop);
  // Wakes the loop, which otherwise blocks when no task is queued.
  auto KeepAwake = Timers.every(fromMilliseconds(1), [] {});
  std::string Order;
  Loop.post([&] {
    Order += 'a';
    Loop.post([&] { Order += 'c'; });
  });
  Loop.post([&] { Order += 'b'; });
  while (Order.size() < 3)
    Loop.runOnce();
  CHECK(Order == "abc");
}

// Guards against an abort at exit: queued tasks were destroyed after the loop,
// and one that owned a watch then stopped it on a loop that was gone.
TEST_CASE("core: queued tasks end before the loop, with all that they own") {
  int Pipe[2];
  REQUIRE(::pipe(Pipe) == 0);
  int Ended = 0;
  {
    event_loop Loop;
    timer_service Timers(Loop);
    struct owner {
      event_loop &Loop;
      int &Ended;
      descriptor_watch Watch;
      timer_subscription Timer;
      int Posts;
      ~owner() {
        ++Ended;
        // What ends with a task may post another one.
        if (Posts > 0)
          Loop.post(
              [Next = makeOwner(Loop, Timer, Ended, Watch, Posts - 1)] {});
      }
      static std::shared_ptr<owner>
      makeOwner(event_loop &Loop, timer_subscription &Timer, int &Ended,
                descriptor_watch &Watch, int Posts) {
        return std::shared_ptr<owner>(
            new owner{Loop, Ended, std::move(Watch), std::move(Timer), Posts});
      }
    };
    for (bool FromThread : {false, true}) {
      auto Watch = Loop.watch(Pipe[0], {true, false}, [](readiness) {});
      auto Timer = Timers.after(fromMilliseconds(1000), [] {});
      auto Owner = owner::makeOwner(Loop, Timer, Ended, Watch, 2);
      if (FromThread)
        Loop.postFromThread([Owner] {});
      else
        Loop.post([Owner] {});
    }
    CHECK(Ended == 0);
  }
  CHECK(Ended == 6);
  ::close(Pipe[0]);
  ::close(Pipe[1]);
}

TEST_CASE("core: an exception of a task, a timer or a descriptor's callback "
          "does not end the loop") {
  event_loop Loop;
  timer_service Timers(Loop);
  int Called = 0;
  auto Fail = [&] {
    ++Called;
    throw std::out_of_range("map::at");
  };
  Loop.post(Fail);
  Loop.post(Fail);
  auto Timer = Timers.after(fromMilliseconds(1), Fail);
  int Pipe[2];
  REQUIRE(::pipe(Pipe) == 0);
  descriptor_watch Watch;
  Watch = Loop.watch(Pipe[0], {true, false}, [&](readiness) {
    Watch = descriptor_watch();
    Fail();
  });
  REQUIRE(::write(Pipe[1], "x", 1) == 1);
  for (int Turn = 0; Turn < 100 && Called < 4; ++Turn)
    Loop.runOnce();
  CHECK(Called == 4);
  ::close(Pipe[0]);
  ::close(Pipe[1]);
}

TEST_CASE("core: compression round-trips and malformed input is rejected") {
  rc::check("compress and decompress", [](const std::string &Text) {
    RC_ASSERT(decompress(compress(Text), Text.size()) == Text);
  });
  std::string Routes;
  for (int Route = 0; Route < 350; ++Route)
    Routes += R"({"name":"r-)" + std::to_string(Route * 7919) +
              R"(","path_prefix":"/","route_kind":"read_your_writes"})";
  CHECK(compress(Routes).size() < Routes.size() / 8);
  CHECK_THROWS_AS(decompress(compress(Routes), Routes.size() - 1), error);
  CHECK_THROWS_AS(decompress("", 10), error);
  CHECK_THROWS_AS(decompress(std::string("\x03\0\0\0abc", 7), 10), error);
}

TEST_CASE(
    "core: events of one name are limited and suppressed ones are counted") {
  event_rate_window Window;
  std::uint32_t Suppressed = 0;
  std::uint32_t Written = 0;
  for (int Line = 0; Line < 1000; ++Line)
    Written += allowEvent(Window, 7, Suppressed);
  CHECK(Written == MaxEventsPerSecond);
  CHECK(Suppressed == 0);
  CHECK(allowEvent(Window, 8, Suppressed));
  CHECK(Suppressed == 1000 - MaxEventsPerSecond);
  Suppressed = 0;
  CHECK(allowEvent(Window, 9, Suppressed));
  CHECK(Suppressed == 0);
}

TEST_CASE("core: logging does not block when the reader of the log stalls") {
  int Pipe[2];
  REQUIRE(::pipe(Pipe) == 0);
  int SavedStdout = ::dup(STDOUT_FILENO);
  REQUIRE(SavedStdout >= 0);
  std::fflush(stdout);
  ::dup2(Pipe[1], STDOUT_FILENO);
  startEventLog(severity::Info);
  auto Start = std::chrono::steady_clock::now();
  // A pipe buffers 64 KiB; these events are several times as much.
  std::string LongText(1000, 'x');
  for (int Kind = 0; Kind < 20; ++Kind)
    for (int Line = 0; Line < 40; ++Line)
      event("kind" + std::to_string(Kind)).with("text", LongText);
  auto Elapsed = std::chrono::steady_clock::now() - Start;
  // Reads the pipe again, so that the log's thread can finish.
  std::thread Reader([&] {
    char Buffer[65536];
    while (::read(Pipe[0], Buffer, sizeof(Buffer)) > 0) {
    }
  });
  stopEventLog();
  ::dup2(SavedStdout, STDOUT_FILENO);
  ::close(SavedStdout);
  ::close(Pipe[1]);
  Reader.join();
  ::close(Pipe[0]);
  CHECK(Elapsed < std::chrono::seconds(1));
}
