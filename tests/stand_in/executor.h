#pragma once

#include "tests/stand_in/evaluator.h"

namespace teasellock::stand_in {

/// Name and type of a result column.
struct output_column {
  std::string Name;
  sql_type Type = sql_type::Text;
};

/// The result of one statement.
struct result {
  bool HasRows = false;
  std::vector<output_column> Columns;
  std::vector<row> Rows;
  std::string CommandTag;
};

/// The outcome of an execution: a result, or the transaction whose row lock
/// the statement waits for. A waiting statement has changed nothing and is
/// executed again from the start.
struct execution {
  result Result;
  std::optional<std::uint32_t> LockOwner;
};

/// A system view that is computed on each read, such as pg_stat_activity.
struct virtual_table {
  table_layout Layout;
  std::vector<row> Rows;
};

/// Callbacks into the server, and its state that execution depends on.
struct execution_environment {
  std::function<value(const std::string &, const std::vector<value> &)>
      CallFunction;
  std::function<std::optional<virtual_table>(const std::string &)>
      FindVirtualTable;
  /// Called with table and key for each executed INSERT, conflicting or not.
  std::function<void(const std::string &, const std::string &)> RecordInsert;
  /// Whether writes are rejected because the server is a replica.
  bool ReadOnly = false;
};

/// Executes a statement on tables within a transaction. Throws sql_error.
execution executeStatement(store &Store, transaction &Transaction,
                           const statement &Statement,
                           const std::vector<value> &Parameters,
                           execution_environment &Environment);

/// Returns the result columns of SELECT or RETURNING. Throws sql_error 42703.
std::vector<output_column>
outputColumns(const std::vector<select_item> &Outputs,
              const table_layout *Layout);

/// Parameter types and result columns of a statement.
struct statement_description {
  std::vector<sql_type> Parameters;
  bool HasRows = false;
  std::vector<output_column> Columns;
};

/// Describes a statement without executing it. Throws sql_error.
statement_description describeStatement(const store &Store,
                                        const statement &Statement,
                                        execution_environment &Environment,
                                        std::vector<sql_type> Declared);

} // namespace teasellock::stand_in
