#include "tests/line_group_fixture.h"

using namespace teasellock;

namespace {

constexpr std::size_t Replica = 1;
constexpr duration ShortTimeout = std::chrono::milliseconds(300);

void announceLeaving(line_group_fixture &Fixture, std::size_t Upstream) {
  Fixture.View.Upstreams[Upstream].Leaving = true;
  Fixture.View.Revision = revision(Fixture.View.Revision.Value + 1);
}

/// The group is assigned to other gateways, and to this one again later.
void reassign(line_group_fixture &Fixture) {
  auto Gateways = std::exchange(Fixture.View.Gateways, {});
  Fixture.Gateway->apply(Fixture.View);
  Fixture.View.Gateways = Gateways;
}

} // namespace

TEST_CASE(
    "line: a leaving primary is used for a while by gateways that knew it "
    "before") {
  line_group_fixture Fixture;
  announceLeaving(Fixture, 0);
  Fixture.Gateway->apply(Fixture.View);
  CHECK(Fixture.succeeded(
      Fixture.finish({"w1", wire::line_verb::write, "WRITE item a"})));
}

// Guards against statements for an upstream that announced long ago that it is
// leaving: a gateway that took over late counted the grace period from then on.
TEST_CASE(
    "line: a gateway that takes over sends nothing to a leaving upstream") {
  line_group_fixture Fixture;
  REQUIRE(Fixture.succeeded(
      Fixture.finish({"w0", wire::line_verb::write, "WRITE item a"})));
  Fixture.run(fromMilliseconds(100));
  reassign(Fixture);
  SUBCASE("a primary") {
    announceLeaving(Fixture, 0);
    Fixture.Gateway->apply(Fixture.View);
    auto Write = Fixture.finish({"w1",
                                 wire::line_verb::write,
                                 "WRITE item b",
                                 0,
                                 false,
                                 {},
                                 ShortTimeout});
    CHECK(Write.outcome == wire::statement_outcome::not_run);
  }
  SUBCASE("the replicas") {
    announceLeaving(Fixture, Replica);
    announceLeaving(Fixture, Replica + 1);
    Fixture.Gateway->apply(Fixture.View);
    Fixture.run(fromMilliseconds(150));
    for (int Number = 0; Number < 4; ++Number) {
      line_group_fixture::statement Read{"r" + std::to_string(Number),
                                         wire::line_verb::read, "READ item"};
      Read.MaxStaleness = fromMilliseconds(5000);
      auto Reply = Fixture.finish(Read);
      CHECK(Fixture.succeeded(Reply));
      CHECK(Reply.upstream == "g-1");
    }
  }
}
