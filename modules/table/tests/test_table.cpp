#include "core/error.h"
#include "modules/table/table_file.h"
#include "modules/table/table_json.h"
#include "modules/table/table_schema.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

std::string formatProblems(const std::string &Text) {
  std::string Result;
  for (const auto &Problem : parseTable(Text).Problems)
    Result += toString(Problem) + "\n";
  return Result;
}

table_row arbitraryRow(const std::string &Name) {
  table_row Row;
  Row.Group = group_id(Name);
  Row.Mode = *rc::gen::element(operating_mode::Auto, operating_mode::Manual);
  Row.AckReplicas = *rc::gen::inRange(0u, 5u);
  Row.GatewayCount = *rc::gen::inRange(1u, 9u);
  Row.QueueTimeout = fromMilliseconds(*rc::gen::inRange(1, 100000));
  Row.ReadWeights["zocalo"] = *rc::gen::inRange(0, 4000) / 4.0;
  for (const auto &Kind : *rc::gen::container<std::vector<std::string>>(
           rc::gen::element<std::string>("stock", "invoice", "a.b")))
    Row.MaxReadAges[read_kind(Kind)] =
        fromMilliseconds(*rc::gen::inRange(0, 100000));
  return Row;
}

} // namespace

TEST_CASE("table: rows round-trip through CSV and JSON") {
  CHECK(rc::check("formatted rows parse to equal rows", [] {
    std::vector<table_row> Rows = {arbitraryRow("despacho-1"),
                                   arbitraryRow("despacho-2")};
    auto File = parseTable(formatTable(Rows));
    RC_ASSERT(File.Problems.empty());
    RC_ASSERT(File.Rows == Rows);
    RC_ASSERT(rowFromJson(toJson(Rows[0])) == Rows[0]);
  }));
}

TEST_CASE("table: any text is parsed without an exception") {
  CHECK(rc::check("parseTable never throws", [](const std::string &Text) {
    parseTable(Text);
    parseTable("group,mode\n" + Text);
  }));
}

TEST_CASE("table: every problem is reported with row, column and value") {
  std::string Problems = formatProblems("group,mode,queue_ms,age.stock\n"
                                        "a,auto,x,5\n"
                                        "b,maybe,7,-1\n"
                                        "a,auto,7,\n"
                                        "c,auto\n");
  CHECK(Problems.find("row 2, column 3 (queue_ms), value \"x\"") !=
        std::string::npos);
  CHECK(Problems.find("row 3, column 2 (mode), value \"maybe\"") !=
        std::string::npos);
  CHECK(Problems.find("row 3, column 4 (age.stock), value \"-1\"") !=
        std::string::npos);
  CHECK(Problems.find("row 4, column 1 (group), value \"a\"") !=
        std::string::npos);
  CHECK(Problems.find("row 5, has 2 cells") != std::string::npos);
  CHECK(formatProblems("group,colour\na,red\n").find("colour") !=
        std::string::npos);
  CHECK_FALSE(formatProblems("").empty());
  CHECK_FALSE(formatProblems("group\n\"a").empty());
}

TEST_CASE("table: a difference lists each changed cell") {
  auto Before = parseTable("group,queue_ms\na,5\nb,5\n").Rows;
  auto After = parseTable("group,queue_ms\na,6\nc,5\n").Rows;
  auto Differences = diffTables(Before, After);
  REQUIRE(Differences.size() == 3);
  CHECK(Differences[0].Cells.size() == 1);
  CHECK(Differences[0].Cells[0].Column == "queue_ms");
  CHECK(Differences[0].Cells[0].After == "6");
  CHECK(Differences[1].Kind == table_difference::kind::Removed);
  CHECK(Differences[2].Kind == table_difference::kind::Added);
}

TEST_CASE("table: JSON rows with an invalid field are rejected") {
  using nlohmann::json;
  for (const char *Bad :
       {R"({"group":"a","queue_ms":-1})", R"({"group":"a","queue_ms":{}})",
        R"({"group":"a","age":7})", R"({"group":"a","age":{"x":"y"}})"}) {
    CAPTURE(Bad);
    CHECK_THROWS_AS(rowFromJson(json::parse(Bad)), error);
  }
  CHECK_THROWS_AS(rowFromJson(json::parse("[]")), error);
}
