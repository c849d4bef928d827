#include "modules/control/table_edit.h"

#include "modules/table/table_json.h"
#include "modules/table/table_schema.h"

#include <nlohmann/json.hpp>
#include <set>

namespace teasellock {

namespace {

using nlohmann::json;

constexpr std::size_t MaxTableRows = 10000;
constexpr std::size_t MaxEditIdLength = 200;

std::string groupNameOf(const json &Row) {
  if (!Row.is_object() || !Row.contains("group") || !Row["group"].is_string())
    return "";
  return Row["group"].get<std::string>();
}

std::string valueText(const json &Row, const std::string &Field) {
  if (!Row.is_object() || !Row.contains(Field))
    return "";
  return Row[Field].dump();
}

void parseRow(const json &Json, std::set<group_id> &Seen,
              submitted_edit &Result) {
  std::string Name = groupNameOf(Json);
  try {
    table_row Row = rowFromJson(Json);
    std::string Problem = checkRow(Row);
    if (!Problem.empty())
      Result.Problems.push_back({Name, "", "", Problem});
    else if (!Seen.insert(Row.Group).second)
      Result.Problems.push_back({Name, "group", Name, "duplicate group"});
    else
      Result.Rows.push_back(std::move(Row));
  } catch (const error &Problem) {
    Result.Problems.push_back({Name, Problem.peer(),
                               valueText(Json, Problem.peer()),
                               Problem.reason()});
  } catch (const json::exception &Problem) {
    Result.Problems.push_back({Name, "", "", Problem.what()});
  }
}

void parseHeader(const json &Json, submitted_edit &Result) {
  auto Edit = Json.find("edit_id");
  if (Edit == Json.end() || !Edit->is_string() ||
      Edit->get<std::string>().empty() ||
      Edit->get<std::string>().size() > MaxEditIdLength)
    Result.Problems.push_back({"", "edit_id", valueText(Json, "edit_id"),
                               "must be text of 1 to 200 bytes"});
  else
    Result.Edit = edit_id(Edit->get<std::string>());
  auto Base = Json.find("base_version");
  if (Base == Json.end() || !Base->is_number_unsigned())
    Result.Problems.push_back({"", "base_version",
                               valueText(Json, "base_version"),
                               "must be a non-negative integer"});
  else
    Result.Base = table_version(Base->get<std::uint64_t>());
}

} // namespace

submitted_edit parseEdit(const std::string &Body) {
  submitted_edit Result;
  json Json = json::parse(Body, nullptr, false);
  if (!Json.is_object()) {
    Result.Problems.push_back({"", "", "", "the body must be a JSON object"});
    return Result;
  }
  parseHeader(Json, Result);
  auto Rows = Json.find("rows");
  if (Rows == Json.end() || !Rows->is_array() || Rows->size() > MaxTableRows) {
    Result.Problems.push_back(
        {"", "rows", "", "must be a list of at most 10000 rows"});
    return Result;
  }
  std::set<group_id> Seen;
  for (const auto &Row : *Rows)
    parseRow(Row, Seen, Result);
  return Result;
}

std::string problemsJson(const std::vector<field_problem> &Problems) {
  json Errors = json::array();
  for (const auto &Problem : Problems)
    Errors.push_back({{"group", Problem.Group},
                      {"field", Problem.Field},
                      {"value", Problem.Value},
                      {"reason", Problem.Reason}});
  // Invalid UTF-8 in a name is replaced; by default, dump would throw.
  return json{{"errors", Errors}}.dump(-1, ' ', false,
                                       json::error_handler_t::replace);
}

} // namespace teasellock
