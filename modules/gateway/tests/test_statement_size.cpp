#include "modules/gateway/statement_size.h"

#include <doctest/doctest.h>

using namespace teasellock;

// Guards against parts of a statement that occupy memory and are not counted.
TEST_CASE("statement size: all parts that a caller determines are counted") {
  wire::statement_request Request;
  CHECK(sizeOf(Request) == 0);
  Request.line.text = "1";
  Request.line.shape = "22";
  Request.line.arguments = "4444";
  Request.steps.resize(2);
  Request.steps[0].sql = std::string(8, 's');
  Request.steps[1].sql = std::string(16, 's');
  Request.settings = {{std::string(32, 'n'), std::string(64, 'v')}};
  CHECK(sizeOf(Request) == 127);
}

// Guards against ordinary statements that are refused because of long ones, and
// against long ones beyond the limit.
TEST_CASE("statement size: only long statements need room beside others") {
  constexpr std::size_t Max = 1024 * 1024;
  CHECK(fitsBeside(Max, OrdinaryStatementBytes, Max));
  CHECK_FALSE(fitsBeside(Max, OrdinaryStatementBytes + 1, Max));
  CHECK(fitsBeside(Max / 2, Max / 2, Max));
  CHECK_FALSE(fitsBeside(Max / 2, Max / 2 + 1, Max));
  CHECK_FALSE(fitsBeside(0, Max + 1, Max));
}
