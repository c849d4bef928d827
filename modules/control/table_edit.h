/// Parsing and validation of an edit of the whole table.
#pragma once

#include "core/error.h"
#include "modules/table/table_row.h"

#include <string>
#include <vector>

namespace teasellock {

/// An invalid field of a submitted table. Group and Field are empty if the
/// problem concerns the whole edit or row.
struct field_problem {
  std::string Group;
  std::string Field;
  std::string Value;
  std::string Reason;

  bool operator==(const field_problem &) const = default;
};

/// A submitted table; valid if Problems is empty.
struct submitted_edit {
  edit_id Edit;
  table_version Base;
  std::vector<table_row> Rows;
  std::vector<field_problem> Problems;
};

/// Parses the JSON object {edit_id, base_version, rows}. Lists all problems
/// instead of throwing.
submitted_edit parseEdit(const std::string &Body);

/// Returns the problems as the JSON body of a response with status 400.
std::string problemsJson(const std::vector<field_problem> &Problems);

} // namespace teasellock
