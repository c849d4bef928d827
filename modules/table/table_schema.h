#pragma once

#include "modules/table/table_row.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace teasellock {

/// One column of the table. The schema is the only place that knows names,
/// bounds and meaning; parsing, checks, help and JSON follow from it.
struct table_column {
  std::string Name;
  /// What operators read in the help.
  std::string Meaning;
  /// Sets the field. Throws error with the column's name as the peer and the
  /// reason when the text is no valid value.
  std::function<void(table_row &, const std::string &Text)> Set;
  /// The field as it is written in CSV.
  std::function<std::string(const table_row &)> Get;
};

/// Columns named "age.<kind>" hold the tolerated age of one read kind, in
/// milliseconds.
constexpr std::string_view AgeColumnPrefix = "age.";

/// The fixed columns, in the order of a written file; "group" comes first.
const std::vector<table_column> &tableColumns();

/// Sets one field, an age column too. Throws error when the column is unknown
/// or the value is out of bounds.
void setField(table_row &Row, const std::string &Column,
              const std::string &Text);

/// Checks what no single column can tell. Empty when the row is sound.
std::string checkRow(const table_row &Row);

} // namespace teasellock
