#include "core/event_loop.h"
#include "modules/line/caller_usage.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

const time_point Start(std::chrono::seconds(1000));
constexpr int NoSocket = -1;

/// A connection that was accepted at Start and sent its first message.
struct started_connection : line_caller_connection {
  explicit started_connection(std::uint64_t Id = 1)
      : line_caller_connection(line_caller_id(Id), NoSocket, Start) {
    Caller.Phase = line_caller_state::phase::Ready;
  }
};

struct usage_fixture {
  event_loop Loop;
  timer_service Timers{Loop};
  metrics Metrics;
  tracer Tracer;
  daemon_context Context{Loop, Timers, Metrics, Tracer, {}};
  caller_limits Limits;

  usage_fixture() {
    Limits.MaxBufferedBytes = 10000;
    Limits.MaxInFlightBytes = 10000;
  }
};

} // namespace

// Guards against connections that are kept although they never send a complete
// message, and against callers closed while the entry has to answer.
TEST_CASE("line caller connection: messages must be complete in time") {
  caller_limits Limits;
  started_connection Connection;
  Connection.Input = "QUERY 1 READ";
  removeInput(Connection, 0, Start);
  auto Late = Start + Limits.MessageTimeout + duration(1);
  CHECK_FALSE(isInputOverdue(Connection, Limits, Late - duration(1)));
  CHECK(isInputOverdue(Connection, Limits, Late));
  Connection.Caller.Phase = line_caller_state::phase::Busy;
  CHECK_FALSE(isInputOverdue(Connection, Limits, Late));
  Connection.Caller.Phase = line_caller_state::phase::Ready;
  // More of the same message does not extend its time, another message does.
  Connection.Input += " x\r\nQ";
  removeInput(Connection, 0, Late);
  CHECK(isInputOverdue(Connection, Limits, Late));
  removeInput(Connection, Connection.Input.size() - 1, Late);
  CHECK_FALSE(isInputOverdue(Connection, Limits, Late));
  removeInput(Connection, 1, Late);
  CHECK_FALSE(isInputOverdue(Connection, Limits, Late + Limits.MessageTimeout));
}

// Guards against connections without a first message that are never closed.
TEST_CASE("line caller connection: the first message must come in time") {
  caller_limits Limits;
  line_caller_connection Connection(line_caller_id(1), NoSocket, Start);
  auto Late = Start + Limits.StartTimeout + duration(1);
  CHECK_FALSE(isInputOverdue(Connection, Limits, Late - duration(1)));
  CHECK(isInputOverdue(Connection, Limits, Late));
}

// Guards against callers that read nothing and are never closed.
TEST_CASE("line caller connection: output must be read in time") {
  caller_limits Limits;
  started_connection Connection;
  auto Late = Start + Limits.WriteTimeout + duration(1);
  CHECK_FALSE(isOutputOverdue(Connection, Limits, Late));
  Connection.UnreadSince = Start;
  CHECK_FALSE(isOutputOverdue(Connection, Limits, Late - duration(1)));
  CHECK(isOutputOverdue(Connection, Limits, Late));
}

// Guards against bytes that stay counted for connections that were closed, so
// that later callers are refused.
TEST_CASE("caller usage: what a closed connection occupied is free again") {
  usage_fixture Fixture;
  caller_usage Usage(Fixture.Context, Fixture.Limits);
  started_connection First(1);
  started_connection Second(2);
  First.Input = Second.Input =
      std::string(FreeBytesPerCaller + Fixture.Limits.MaxBufferedBytes, 'x');
  CHECK(Usage.recordBuffers(First));
  CHECK_FALSE(Usage.recordBuffers(Second));
  CHECK(Second.Closing);
  CHECK_FALSE(First.Closing);
  CHECK(Usage.beginStatement(First, Fixture.Limits.MaxInFlightBytes));
  CHECK_FALSE(Usage.beginStatement(Second, Fixture.Limits.MaxInFlightBytes));
  Usage.remove(First);
  CHECK(Usage.recordBuffers(Second));
  CHECK(Usage.beginStatement(Second, Fixture.Limits.MaxInFlightBytes));
  Usage.endStatement(Second);
  CHECK(Usage.beginStatement(First, Fixture.Limits.MaxInFlightBytes));
}
