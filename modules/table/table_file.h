/// The table as a CSV file kept in version control.
#pragma once

#include "modules/table/table_row.h"

#include <string>
#include <vector>

namespace teasellock {

/// One thing wrong with a file. Row and Column count from 1 as in a
/// spreadsheet; 0 where the problem is of the whole file or row.
struct table_problem {
  std::size_t Row = 0;
  std::size_t Column = 0;
  std::string ColumnName;
  std::string Value;
  std::string Reason;
};

/// "row 3, column 5 (queue_ms), value "x": must be …".
std::string toString(const table_problem &Problem);

/// What a file holds. Rows are only to be used when there is no problem.
struct table_file {
  std::vector<table_row> Rows;
  std::vector<table_problem> Problems;
};

/// Reads CSV with a header line. Reports every problem, not just the first.
table_file parseTable(const std::string &Text);

/// Writes CSV that parseTable reads back to equal rows.
std::string formatTable(const std::vector<table_row> &Rows);

/// One row that differs between two tables, cell by cell.
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

/// What has to change to come from one table to the other, by group name.
std::vector<table_difference> diffTables(const std::vector<table_row> &Before,
                                         const std::vector<table_row> &After);

} // namespace teasellock
