#include "modules/line/even_load.h"

#include "core/error.h"

#include <doctest/doctest.h>

using namespace teasellock;

// Guards against deployments that don't ask for even load and are served
// differently.
TEST_CASE("line: without names no measure for even load is on") {
  CHECK_FALSE(parseEvenLoad("").LearnPositions);
  CHECK_FALSE(parseEvenLoad("").SpreadReads);
  CHECK_FALSE(parseEvenLoad("").AvoidUnreliable);
  CHECK_FALSE(parseEvenLoad("").AdaptLimit);
}

TEST_CASE("line: measures for even load are turned on by name") {
  CHECK(parseEvenLoad("positions").LearnPositions);
  CHECK_FALSE(parseEvenLoad("positions").SpreadReads);
  CHECK(parseEvenLoad("spread").SpreadReads);
  CHECK_FALSE(parseEvenLoad("spread").LearnPositions);
  CHECK(parseEvenLoad("spread,positions").LearnPositions);
  CHECK(parseEvenLoad("spread,positions").SpreadReads);
  CHECK_FALSE(parseEvenLoad("spread,positions").AvoidUnreliable);
  CHECK(parseEvenLoad("reliability,spread").AvoidUnreliable);
  CHECK(parseEvenLoad("reliability,spread").SpreadReads);
  CHECK_FALSE(parseEvenLoad("reliability,spread").AdaptLimit);
  CHECK(parseEvenLoad("limit").AdaptLimit);
  CHECK_FALSE(parseEvenLoad("limit").SpreadReads);
}

// Guards against a misspelt name that turns nothing on without notice.
TEST_CASE("line: unknown names of measures for even load are rejected") {
  CHECK_THROWS_AS(parseEvenLoad("position"), error);
  CHECK_THROWS_AS(parseEvenLoad("positions,,"), error);
  CHECK_THROWS_AS(parseEvenLoad(" positions"), error);
}

// Guards against a measure that is on without the one that it builds on.
TEST_CASE("line: reliability without spread is rejected") {
  CHECK_THROWS_AS(parseEvenLoad("reliability"), error);
  CHECK_THROWS_AS(parseEvenLoad("positions,reliability"), error);
}
