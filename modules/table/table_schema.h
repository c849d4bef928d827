#pragma once

#include "modules/table/table_row.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace teasellock {

/// Definition of one column. The schema is the only place that defines names,
/// bounds and meanings of columns; CSV, JSON and checks are derived from it.
struct table_column {
  std::string Name;
  /// Description for operators.
  std::string Description;
  /// Parses a value and stores it in the row. Throws error with step
  /// "table.check" and the column name as the peer when the value is invalid.
  std::function<void(table_row &, const std::string &Text)> SetField;
  /// Formats the field as in CSV.
  std::function<std::string(const table_row &)> GetText;
};

/// Prefix of the variable columns: "age.<kind>" holds the tolerated age of one
/// read kind in milliseconds.
constexpr std::string_view AgeColumnPrefix = "age.";

/// The fixed columns, in the order in which they are written; "group" is first.
const std::vector<table_column> &tableColumns();

/// Parses a value and stores it in the field of a fixed or age column. An empty
/// value of an age column removes the read kind. Throws error when the column
/// is unknown or the value is invalid.
void setField(table_row &Row, const std::string &Column,
              const std::string &Text);

/// Validates the row as a whole. Returns the problem; empty when the row is
/// valid.
std::string checkRow(const table_row &Row);

} // namespace teasellock
