#include "modules/limits/limit_holdings.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

time_point timeAt(std::int64_t Milliseconds) {
  return time_point(fromMilliseconds(Milliseconds));
}

/// The holdings of one organisation and what their last function asked for.
struct holdings_harness {
  limit_holdings Holdings;
  limit_effects Effects;
  std::uint64_t LastTicket = 0;

  void call(std::int64_t At) {
    Effects = {};
    handleCaller(Holdings,
                 {limit_ticket(++LastTicket), timeAt(At) + LimitWaitTimeout},
                 timeAt(At), Effects);
  }
  void answer(std::uint32_t Granted, std::int64_t At, bool IsLimiter = true) {
    Effects = {};
    auto SentAt = Holdings.InFlight ? Holdings.InFlight->SentAt : timeAt(0);
    handleAnswer(Holdings, {Granted, IsLimiter, SentAt}, timeAt(At), Effects);
  }
  void pass(std::int64_t At) {
    Effects = {};
    handleDue(Holdings, timeAt(At), Effects);
  }
  std::size_t count(limit_verdict Verdict) const {
    std::size_t Count = 0;
    for (const auto &Resolution : Effects.Resolved)
      Count += Resolution.Verdict == Verdict ? 1 : 0;
    return Count;
  }
};

} // namespace

TEST_CASE("limits: one request is in flight, for all that wait") {
  holdings_harness Entry;
  Entry.call(1000);
  REQUIRE(Entry.Effects.Send.size() == 1);
  CHECK(Entry.Effects.Send[0].Wanted == 1);
  Entry.call(1001);
  Entry.call(1002);
  CHECK(Entry.Effects.Send.empty());
  Entry.answer(1, 1003);
  CHECK(Entry.count(limit_verdict::Granted) == 1);
  REQUIRE(Entry.Effects.Send.size() == 1);
  CHECK(Entry.Effects.Send[0].Waiting == 2);
  Entry.answer(2, 1005);
  CHECK(Entry.count(limit_verdict::Granted) == 2);
}

TEST_CASE("limits: callers beyond the granted operations are refused at once") {
  holdings_harness Entry;
  Entry.call(1000);
  Entry.answer(0, 1002);
  CHECK(Entry.count(limit_verdict::LimitReached) == 1);
  // A caller that came after the request is not refused for it.
  Entry.call(1010);
  Entry.call(1011);
  Entry.answer(0, 1012);
  CHECK(Entry.count(limit_verdict::LimitReached) == 1);
  CHECK(Entry.Effects.Send.size() == 1);
}

TEST_CASE("limits: without an answer a caller is refused after 300 ms") {
  holdings_harness Entry;
  Entry.call(1000);
  Entry.pass(1299);
  CHECK(Entry.Effects.Resolved.empty());
  Entry.pass(1300);
  CHECK(Entry.count(limit_verdict::Unavailable) == 1);
  // Also while another process than the limiter answers.
  Entry.call(2000);
  Entry.answer(0, 2001, false);
  CHECK(Entry.Effects.Resolved.empty());
  CHECK(nextDue(Entry.Holdings) == timeAt(2021));
  Entry.pass(2021);
  CHECK(Entry.Effects.Send.size() == 1);
  Entry.pass(2300);
  CHECK(Entry.count(limit_verdict::Unavailable) == 1);
}

TEST_CASE("limits: operations are valid from when they were asked for") {
  holdings_harness Entry;
  Entry.call(1000);
  // The process was suspended before it received the answer.
  Entry.answer(1, 1251);
  CHECK(Entry.count(limit_verdict::Granted) == 0);
  CHECK(Entry.Effects.Expired == 1);
  CHECK(Entry.Effects.Send.size() == 1);
}

TEST_CASE("limits: an operation given back serves the next caller, but not "
          "beyond its validity") {
  holdings_harness Entry;
  Entry.call(1000);
  Entry.answer(1, 1002);
  auto ValidUntil = Entry.Effects.Resolved.at(0).ValidUntil;
  CHECK(ValidUntil == timeAt(1250));
  handleGivenBack(Entry.Holdings, ValidUntil, timeAt(1100), Entry.Effects);
  Entry.call(1110);
  CHECK(Entry.count(limit_verdict::Granted) == 1);
  handleGivenBack(Entry.Holdings, ValidUntil, timeAt(1260), Entry.Effects);
  Entry.call(1270);
  CHECK(Entry.count(limit_verdict::Granted) == 0);
}

TEST_CASE("limits: at a high rate operations are in hand, and are returned "
          "before they expire") {
  holdings_harness Entry;
  std::size_t Waited = 0;
  std::int64_t At = 1000;
  for (; At < 3000; At += 20) {
    Entry.call(At);
    std::size_t Granted = Entry.count(limit_verdict::Granted);
    while (Entry.Holdings.InFlight)
      Entry.answer(Entry.Holdings.InFlight->Wanted, At + 2);
    Waited += Granted == 0 ? 1 : 0;
  }
  CHECK(Waited < 10);
  // Callers stop.
  std::uint32_t Returned = 0;
  for (; At < 3300; At += 10) {
    Entry.pass(At);
    for (const auto &Demand : Entry.Effects.Send)
      Returned += Demand.Returned;
    CHECK(Entry.Effects.Expired == 0);
  }
  CHECK(Returned > 0);
}

TEST_CASE("limits: a new limiter is asked at once") {
  holdings_harness Entry;
  Entry.call(1000);
  Entry.Effects = {};
  handleLimiterChanged(Entry.Holdings, timeAt(1010), Entry.Effects);
  REQUIRE(Entry.Effects.Send.size() == 1);
  CHECK(Entry.Effects.Send[0].Wanted == 1);
}

// Guards against a request after every answer when the limiter has nothing to
// spare beyond the callers that wait.
TEST_CASE("limits: requests ahead of demand pause after the limiter granted "
          "less") {
  holdings_harness Entry;
  std::size_t Requests = 0;
  for (std::int64_t At = 1000; At < 3000; At += 20) {
    Entry.call(At);
    while (Entry.Holdings.InFlight) {
      ++Requests;
      Entry.answer(Entry.Holdings.InFlight->Waiting, At + 2);
    }
  }
  // One for each caller, and at most one ahead of demand in 50 ms.
  CHECK(Requests <= 100 + 40);
}
