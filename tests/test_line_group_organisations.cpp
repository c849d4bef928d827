#include "tests/line_group_fixture.h"

using namespace teasellock;

namespace {

struct organisations_fixture : line_group_fixture {
  organisations_fixture() : line_group_fixture(3, true) {}

  statement makeStatement(const std::string &Id, wire::line_verb::type Verb,
                          const std::string &Organisation) {
    statement Statement;
    Statement.Id = Id;
    Statement.Verb = Verb;
    Statement.Text =
        Verb == wire::line_verb::write ? "WRITE item " + Id : "READ item";
    Statement.Organisation = Organisation;
    Statement.MaxStaleness = fromMilliseconds(5000);
    return Statement;
  }
};

std::string organisationOf(int Number) {
  return Number == 0 ? std::string() : "o" + std::to_string(Number);
}

} // namespace

// Guards against statements that execute on a connection of another
// organisation, and against organisations that are never served because all
// connections are idle ones of others.
TEST_CASE(
    "line group: statements execute on connections of their organisation") {
  organisations_fixture Fixture;
  constexpr int OrganisationCount = 40;
  constexpr int Rounds = 3;
  std::map<std::string, std::string> Expected;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::vector<std::shared_ptr<line_group_fixture::collected_reply>> Replies;
    for (int Number = 0; Number < OrganisationCount; ++Number) {
      auto Organisation = organisationOf(Number);
      auto Suffix = std::to_string(Round) + "." + std::to_string(Number);
      Expected["w" + Suffix] = Expected["r" + Suffix] =
          Organisation.empty() ? "teasellock" : Organisation;
      Replies.push_back(Fixture.start(Fixture.makeStatement(
          "w" + Suffix, wire::line_verb::write, Organisation)));
      Replies.push_back(Fixture.start(Fixture.makeStatement(
          "r" + Suffix, wire::line_verb::read, Organisation)));
    }
    for (const auto &Reply : Replies) {
      REQUIRE(Fixture.runUntil([&] { return Reply->Done; }));
      CAPTURE(Reply->Reply.problem);
      CHECK(line_group_fixture::succeeded(Reply->Reply));
    }
  }
  for (const auto &Entry : Expected) {
    CAPTURE(Entry.first);
    CHECK((Fixture.Upstreams.usersOf(Entry.first) ==
           std::set<std::string>{Entry.second}));
  }
}

// Guards against a transaction whose later statements use another connection,
// and against a commit on a connection of another organisation.
TEST_CASE("line group: a transaction stays on its organisation's connection") {
  organisations_fixture Fixture;
  using wire::line_verb;
  for (int Number = 1; Number <= 20; ++Number) {
    auto Suffix = std::to_string(Number);
    auto First = Fixture.makeStatement("a" + Suffix, line_verb::write,
                                       organisationOf(Number));
    First.Transaction = Number;
    First.OpensTransaction = true;
    CHECK(line_group_fixture::succeeded(Fixture.finish(First)));
    auto Commit = Fixture.makeStatement("c" + Suffix, line_verb::commit,
                                        organisationOf(Number));
    Commit.Text = "COMMIT";
    Commit.Transaction = Number;
    CHECK(line_group_fixture::succeeded(Fixture.finish(Commit)));
    for (const char *Prefix : {"a", "c"})
      CHECK((Fixture.Upstreams.usersOf(Prefix + Suffix) ==
             std::set<std::string>{organisationOf(Number)}));
  }
}

// Guards against an organisation that starves behind one that always has
// statements waiting.
TEST_CASE("line group: a hot organisation does not hold up another one") {
  organisations_fixture Fixture;
  std::vector<std::shared_ptr<line_group_fixture::collected_reply>> Hot;
  for (int Number = 0; Number < 200; ++Number)
    Hot.push_back(Fixture.start(Fixture.makeStatement(
        "h" + std::to_string(Number), wire::line_verb::write, "hot")));
  REQUIRE(Fixture.runUntil([&] { return Hot[20]->Done; }));
  auto Other = Fixture.start(
      Fixture.makeStatement("x", wire::line_verb::write, "other"));
  REQUIRE(Fixture.runUntil([&] { return Other->Done; }));
  CHECK(line_group_fixture::succeeded(Other->Reply));
  auto Waiting = std::count_if(Hot.begin(), Hot.end(),
                               [](const auto &Reply) { return !Reply->Done; });
  CHECK(Waiting > 0);
  for (const auto &Reply : Hot)
    REQUIRE(Fixture.runUntil([&] { return Reply->Done; }));
}

// Guards against connections that are opened in advance for no organisation,
// and against a new connection for every statement.
TEST_CASE("line group: connections of organisations are opened on demand and "
          "kept") {
  organisations_fixture Fixture;
  Fixture.run(fromMilliseconds(100));
  // One probe connection to each upstream.
  CHECK(Fixture.Upstreams.sessionsOf("teasellock") == 3);
  constexpr int Organisations = 8;
  for (int Statement = 0; Statement < 10 * Organisations; ++Statement)
    CHECK(line_group_fixture::succeeded(Fixture.finish(Fixture.makeStatement(
        "w" + std::to_string(Statement), wire::line_verb::write,
        organisationOf(1 + Statement % Organisations)))));
  for (int Number = 1; Number <= Organisations; ++Number)
    CHECK(Fixture.Upstreams.sessionsOf(organisationOf(Number)) == 1);
}

// Guards against statements whose new connection is closed for others of higher
// priority before it was used.
TEST_CASE(
    "line group: each statement that waits opens one connection at most") {
  organisations_fixture Fixture;
  constexpr int OrganisationCount = 40;
  std::vector<std::shared_ptr<line_group_fixture::collected_reply>> Replies;
  for (int Number = 1; Number <= OrganisationCount; ++Number) {
    auto Waiting =
        Fixture.makeStatement("w" + std::to_string(Number),
                              wire::line_verb::write, organisationOf(Number));
    Waiting.Priority = 1;
    Replies.push_back(Fixture.start(Waiting));
  }
  for (int Number = 1; Number <= 2 * OrganisationCount; ++Number) {
    Fixture.run(fromMilliseconds(1));
    Replies.push_back(Fixture.start(Fixture.makeStatement(
        "p" + std::to_string(Number), wire::line_verb::write,
        "p" + std::to_string(Number))));
  }
  for (const auto &Reply : Replies) {
    REQUIRE(Fixture.runUntil([&] { return Reply->Done; }));
    CAPTURE(Reply->Reply.problem);
    CHECK(line_group_fixture::succeeded(Reply->Reply));
  }
  for (int Number = 1; Number <= OrganisationCount; ++Number)
    CHECK(Fixture.Upstreams.sessionsOf(organisationOf(Number)) <= 1);
}
