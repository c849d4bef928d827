#include "modules/line/connection_choice.h"

#include "core/time.h"

#include <deque>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

constexpr std::uint32_t OrganisationCount = 83;
constexpr std::uint32_t Limit = 10;
constexpr std::uint32_t MaxConcurrentConnects = 2;
/// Steps of one millisecond that opening a connection and a statement take.
constexpr int OpenSteps = 12;
constexpr int StatementSteps = 30;

organisation_id organisationOf(std::uint32_t Number) {
  return organisation_id("o" + std::to_string(Number));
}

/// One gateway's connections to one upstream, and the statements that wait.
struct pool_model {
  struct connection {
    organisation_id Organisation;
    int StepsLeft = 0;
    bool IsUnused = true;
  };
  struct waiting_statement {
    organisation_id Organisation;
    int Since = 0;
  };

  std::vector<connection> Idle;
  std::vector<connection> Opening;
  std::vector<connection> Executing;
  std::deque<waiting_statement> Queue;
  int Now = 0;
  std::uint32_t Opened = 0;
  std::uint32_t Started = 0;
  std::uint32_t ClosedUnused = 0;
  int LongestWait = 0;
  std::map<organisation_id, std::uint32_t> StartedOf;
  std::map<organisation_id, connection_use> Uses;

  connection_pool pool() {
    Uses.clear();
    for (const auto &Connection : Opening)
      ++Uses[Connection.Organisation].Opening;
    for (const auto &Connection : Executing)
      ++Uses[Connection.Organisation].InUse;
    for (const auto &Statement : Queue)
      ++Uses[Statement.Organisation].Waiting;
    connection_pool Pool;
    Pool.Limit = Limit;
    Pool.OpensEnough = Opening.size() >= MaxConcurrentConnects;
    Pool.Held = static_cast<std::uint32_t>(Opening.size() + Executing.size());
    for (const auto &Connection : Idle)
      Pool.Idle.push_back({Connection.Organisation, Connection.IsUnused});
    Pool.Uses = &Uses;
    return Pool;
  }

  void add(std::uint32_t Number) {
    Queue.push_back({organisationOf(Number), Now});
  }

  void useIdle(const waiting_statement &Statement) {
    auto Found = Idle.end();
    for (auto Entry = Idle.begin(); Entry != Idle.end(); ++Entry)
      if (Entry->Organisation == Statement.Organisation &&
          (Found == Idle.end() || Entry->IsUnused))
        Found = Entry;
    RC_ASSERT(Found != Idle.end());
    Executing.push_back({Statement.Organisation, StatementSteps, false});
    Idle.erase(Found);
    ++Started;
    ++StartedOf[Statement.Organisation];
    LongestWait = std::max(LongestWait, Now - Statement.Since);
  }

  /// Returns whether the statement has left the queue.
  bool tryStart(const waiting_statement &Statement) {
    auto Decision = decideConnection(pool(), Statement.Organisation);
    if (Decision.Action == connection_action::Use) {
      useIdle(Statement);
      return true;
    }
    if (Decision.Action == connection_action::Replace) {
      const auto &Victim = Idle.at(Decision.Victim);
      auto IsOfVictim = [&](const auto &Entry) {
        return Entry.Organisation == Victim.Organisation;
      };
      auto Unused = std::count_if(Idle.begin(), Idle.end(), [&](auto &Entry) {
        return Entry.IsUnused && IsOfVictim(Entry);
      });
      bool IsAwaited =
          Unused <= std::count_if(Queue.begin(), Queue.end(), IsOfVictim);
      ClosedUnused += Victim.IsUnused && IsAwaited;
      Idle.erase(Idle.begin() + static_cast<std::ptrdiff_t>(Decision.Victim));
    }
    if (Decision.Action != connection_action::Wait) {
      Opening.push_back({Statement.Organisation, OpenSteps, true});
      ++Opened;
    }
    RC_ASSERT(Idle.size() + Opening.size() + Executing.size() <= Limit);
    return false;
  }

  void startQueued() {
    for (std::size_t Index = 0; Index < Queue.size();) {
      auto Statement = Queue[Index];
      if (tryStart(Statement))
        Queue.erase(Queue.begin() + static_cast<std::ptrdiff_t>(Index));
      else
        ++Index;
    }
  }

  void moveFinished(std::vector<connection> &From) {
    for (std::size_t Index = 0; Index < From.size();) {
      if (--From[Index].StepsLeft > 0) {
        ++Index;
        continue;
      }
      Idle.push_back(From[Index]);
      From.erase(From.begin() + static_cast<std::ptrdiff_t>(Index));
      startQueued();
    }
  }

  void step() {
    ++Now;
    moveFinished(Executing);
    moveFinished(Opening);
    startQueued();
  }

  void finish() {
    for (int Steps = 0; Steps < 100000 && !Queue.empty(); ++Steps)
      step();
    RC_ASSERT(Queue.empty());
  }
};

} // namespace

// Guards against a connection for every statement although an idle one of the
// organisation exists.
TEST_CASE("line: 83 organisations in random turns open at most 950 connections "
          "for 1000 statements") {
  bool Passed = rc::check("turns", [] {
    pool_model Model;
    for (int Statement = 0; Statement < 1000; ++Statement) {
      Model.add(*rc::gen::inRange<std::uint32_t>(0, OrganisationCount));
      Model.finish();
      while (!Model.Executing.empty())
        Model.step();
    }
    RC_ASSERT(Model.Opened <= 950U);
  });
  CHECK(Passed);
}

// Guards against idle connections that are closed although there is room.
TEST_CASE("line: organisations that fit into the limit keep their "
          "connections") {
  bool Passed = rc::check("working set", [] {
    pool_model Model;
    for (int Statement = 0; Statement < 1000; ++Statement) {
      Model.add(*rc::gen::inRange<std::uint32_t>(0, Limit));
      Model.finish();
      while (!Model.Executing.empty())
        Model.step();
    }
    RC_ASSERT(Model.Opened <= 20U);
  });
  CHECK(Passed);
}

// Guards against an organisation that keeps all connections because it always
// has statements waiting.
TEST_CASE("line: a hot organisation leaves connections to others that wait") {
  pool_model Model;
  for (int Statement = 0; Statement < 200; ++Statement)
    Model.add(0);
  // Until all its connections are open.
  for (int Step = 0; Step < 100; ++Step)
    Model.step();
  REQUIRE(Model.Executing.size() == Limit);
  // Behind the waiting statements of the hot organisation.
  while (Model.Queue.size() < 200)
    Model.add(0);
  for (std::uint32_t Other = 1; Other <= 4; ++Other)
    Model.add(Other);
  // A statement of each ends, then each other organisation needs a connection
  // of its own; two are opened at once.
  for (int Step = 0; Step < StatementSteps + 2 * OpenSteps + 2; ++Step)
    Model.step();
  for (std::uint32_t Other = 1; Other <= 4; ++Other)
    CHECK(Model.StartedOf[organisationOf(Other)] == 1);
}

// Guards against organisations that close each other's new connections without
// executing anything, and against statements that never start.
TEST_CASE("line: all organisations that are new at once are served, with one "
          "connection for each statement at most") {
  pool_model Model;
  for (std::uint32_t Number = 0; Number < OrganisationCount; ++Number)
    Model.add(Number);
  // All connections are idle ones of an organisation without statements.
  for (std::uint32_t Number = 0; Number < Limit; ++Number)
    Model.Idle.push_back({organisationOf(900), 0, false});
  Model.finish();
  CHECK(Model.Started == OrganisationCount);
  CHECK(Model.Opened == OrganisationCount);
  CHECK(Model.ClosedUnused == 0);
  // Two connections are opened at once.
  CHECK(Model.LongestWait <=
        static_cast<int>(OrganisationCount) * OpenSteps / 2 + StatementSteps);
}

// Guards against deadlocks and circles under mixes of all kinds.
TEST_CASE("line: every statement starts, and no connection is opened twice for "
          "one") {
  bool Passed = rc::check("mixes", [] {
    pool_model Model;
    auto Organisations = *rc::gen::inRange<std::uint32_t>(1, 40);
    std::uint32_t Added = 0;
    for (int Step = 0; Step < 400; ++Step) {
      for (int New = *rc::gen::inRange(0, 3); New > 1; --New, ++Added)
        // The lower numbers have more of the load.
        Model.add(*rc::gen::inRange<std::uint32_t>(
            0, *rc::gen::inRange<std::uint32_t>(1, Organisations + 1)));
      Model.step();
    }
    Model.finish();
    RC_ASSERT(Model.Started == Added);
    RC_ASSERT(Model.Opened <= Added);
    RC_ASSERT(Model.ClosedUnused == 0U);
  });
  CHECK(Passed);
}
