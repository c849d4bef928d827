/// Reads, writes and compares CSV files of the operators' table. Operators keep
/// such a file in version control.
#pragma once

#include "modules/table/table_row.h"

#include <string>
#include <vector>

namespace teasellock {

/// A problem found in a file. Row and Column are numbered from 1, as in a
/// spreadsheet, and the header is row 1. Zero means that the problem concerns
/// the whole file or row.
struct table_problem {
  std::size_t Row = 0;
  std::size_t Column = 0;
  std::string ColumnName;
  std::string Value;
  std::string Reason;
};

/// Formats a problem as "row 3, column 5 (queue_ms), value "x": must be …".
std::string toString(const table_problem &Problem);

/// A parsed file. Rows may only be used if there are no problems.
struct table_file {
  std::vector<table_row> Rows;
  std::vector<table_problem> Problems;
};

/// Parses CSV with a header line. Reports all problems, not only the first.
table_file parseTable(const std::string &Text);

/// Formats rows as CSV that parseTable() reads back to equal rows.
std::string formatTable(const std::vector<table_row> &Rows);

/// A row that differs between two tables, with the changed cells. Rows added or
/// removed have no cells.
struct table_difference {
  enum class kind { Added, Removed, Changed };
  struct cell {
    std::string Column;
    std::string Before;
    std::string After;
  };

  kind Kind = kind::Changed;
  group_id Group;
  std::vector<cell> Cells;
};

/// Returns the changes that turn Before into After. Removed and changed rows
/// come first, then added ones, each in order of group name.
std::vector<table_difference> diffTables(const std::vector<table_row> &Before,
                                         const std::vector<table_row> &After);

} // namespace teasellock
