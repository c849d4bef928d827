#include "modules/line/statement_check.h"

#include <doctest/doctest.h>
#include <functional>

using namespace teasellock;

// Guards against a forwarded statement that can't be encoded, and would stop
// the queue of its group, or would carry another statement.
TEST_CASE("line: a forwarded statement whose texts don't fit into a line is "
          "not encodable") {
  wire::statement_request Request;
  Request.line.id = "5c";
  Request.line.text = "READ 1a4 with data";
  Request.settings["tag"] = "any text";
  CHECK(isEncodable(Request));
  Request.organisation = "o1";
  CHECK(isEncodable(Request));
  const std::vector<std::function<void(wire::statement_request &)>> Changes = {
      [](auto &R) { R.line.id = ""; },
      [](auto &R) { R.line.id = "5 c"; },
      [](auto &R) { R.line.text += "\n"; },
      [](auto &R) { R.line.shape = "\r\n"; },
      [](auto &R) { R.line.arguments = "a\rb"; },
      [](auto &R) { R.settings["a b"] = ""; },
      [](auto &R) { R.settings["a"] = "\r\nQUERY 1 WRITE i0 forged"; },
      [](auto &R) { R.organisation = "o 1"; }};
  for (const auto &Change : Changes) {
    auto Changed = Request;
    Change(Changed);
    CHECK_FALSE(isEncodable(Changed));
  }
}
