/// Reading and checking an edit of the whole table.
#pragma once

#include "core/error.h"
#include "modules/table/table_row.h"

#include <string>
#include <vector>

namespace teasellock {

/// What is wrong with one field of a submitted table.
struct field_problem {
  std::string Group;
  std::string Field;
  std::string Value;
  std::string Reason;

  bool operator==(const field_problem &) const = default;
};

/// A submitted table, or what is wrong with it.
struct submitted_edit {
  edit_id Edit;
  table_version Base;
  std::vector<table_row> Rows;
  std::vector<field_problem> Problems;
};

/// Reads {edit_id, base_version, rows}. Never throws: every problem found is
/// listed.
submitted_edit readEdit(const std::string &Body);

/// The problems as the body of a 400 answer.
std::string problemsJson(const std::vector<field_problem> &Problems);

} // namespace teasellock
