#include "modules/table/table_json.h"

#include "core/error.h"
#include "modules/table/table_schema.h"

#include <nlohmann/json.hpp>

namespace teasellock {

namespace {

constexpr const char *AgeField = "age";

std::string valueText(const std::string &Field, const nlohmann::json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  if (Value.is_number_integer())
    return Value.dump();
  throw error("table.check", Field, "must be a string or a whole number");
}

bool isNumberColumn(const std::string &Column) {
  return Column != "group" && Column != "mode" && Column != "weights";
}

} // namespace

nlohmann::json toJson(const table_row &Row) {
  nlohmann::json Json = nlohmann::json::object();
  for (const auto &Column : tableColumns()) {
    std::string Text = Column.GetText(Row);
    if (isNumberColumn(Column.Name))
      Json[Column.Name] = std::stoll(Text);
    else
      Json[Column.Name] = Text;
  }
  Json[AgeField] = nlohmann::json::object();
  for (const auto &[Kind, Age] : Row.MaxReadAges)
    Json[AgeField][Kind.Value] = toMilliseconds(Age);
  return Json;
}

table_row rowFromJson(const nlohmann::json &Json) {
  if (!Json.is_object())
    throw error("table.check", "row", "must be a JSON object");
  table_row Row;
  for (const auto &[Field, Value] : Json.items()) {
    if (Field != AgeField) {
      setField(Row, Field, valueText(Field, Value));
      continue;
    }
    if (!Value.is_object())
      throw error("table.check", AgeField, "must be an object of read kinds");
    for (const auto &[Kind, Age] : Value.items()) {
      std::string Column = std::string(AgeColumnPrefix) + Kind;
      setField(Row, Column, valueText(Column, Age));
    }
  }
  if (std::string Problem = checkRow(Row); !Problem.empty())
    throw error("table.check", Row.Group.Value, Problem);
  return Row;
}

} // namespace teasellock
