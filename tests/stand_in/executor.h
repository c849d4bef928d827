#pragma once

#include "tests/stand_in/evaluator.h"

namespace teasellock::stand_in {

/// Name and type of a result's column.
struct output_column {
  std::string Name;
  sql_type Type = sql_type::Text;
};

/// The answer to one statement.
struct result {
  bool HasRows = false;
  std::vector<output_column> Columns;
  std::vector<row> Rows;
  std::string Tag;
};

/// How far a statement came: done, or waiting for another owner's lock. A
/// waiting statement has changed nothing and is run again from its start.
struct execution {
  result Result;
  std::optional<std::uint32_t> WaitsFor;
};

/// A table that is made up on each read, such as pg_stat_activity.
struct virtual_table {
  table_layout Layout;
  std::vector<row> Rows;
};

/// What the tables' statements need from the server around them.
struct execution_environment {
  std::function<value(const std::string &, const std::vector<value> &)>
      CallFunction;
  std::function<std::optional<virtual_table>(const std::string &)>
      FindVirtualTable;
  /// Told of each INSERT of a key that ran, whether it conflicted or not.
  std::function<void(const std::string &, const std::string &)> InsertRan;
  /// Whether writes are refused because this is a replica.
  bool ReadOnly = false;
};

/// Runs a statement on tables within a transaction. Throws sql_error.
execution executeStatement(store &Store, transaction &Transaction,
                           const statement &Statement,
                           const std::vector<value> &Parameters,
                           execution_environment &Environment);

/// The columns that SELECT or RETURNING yields. Throws sql_error 42703.
std::vector<output_column> outputColumns(const std::vector<selected> &Outputs,
                                         const table_layout *Layout);

/// What a statement needs and returns.
struct statement_description {
  std::vector<sql_type> Parameters;
  bool HasRows = false;
  std::vector<output_column> Columns;
};

/// Describes a statement without running it. Throws sql_error.
statement_description describeStatement(const store &Store,
                                        const statement &Statement,
                                        execution_environment &Environment,
                                        std::vector<sql_type> Declared);

} // namespace teasellock::stand_in
