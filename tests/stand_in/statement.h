#pragma once

#include "tests/stand_in/value.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teasellock::stand_in {

/// The kind of an expression node.
enum class expression_kind {
  Literal,
  Parameter,
  Column,
  Call,   // Name(Arguments)
  Case,   // condition, result, condition, result, …, otherwise
  Binary, // Name is the operator
  Not,
  IsNull,
  In // first argument among the others
};

/// A node of an expression tree.
struct expression {
  expression_kind Kind = expression_kind::Literal;
  std::string Name;
  value Literal;
  int Parameter = 0; // from 1
  std::vector<expression> Arguments;
  /// The type of a cast around it, or Unknown.
  sql_type Cast = sql_type::Unknown;
};

/// One item of a select list or of RETURNING.
struct select_item {
  expression Value;
  std::string Name;
  bool IsStar = false;
};

/// One column of CREATE TABLE.
struct column {
  std::string Name;
  sql_type Type = sql_type::Text;
};

/// The kind of a statement.
enum class statement_kind {
  Empty,
  Begin,
  Commit,
  Rollback,
  CreateTable,
  DropTable,
  Insert,
  Select,
  Update,
  Delete,
  Set,
  Show,
  Reset,
  DiscardAll,
  Deallocate,
  AlterSystem
};

/// "SET column = expression" of an UPDATE.
struct assignment {
  std::string Column;
  expression Value;
};

/// A parsed statement. Kind determines which members are used.
struct statement {
  statement_kind Kind = statement_kind::Empty;
  /// The table, the setting of SET, SHOW, RESET and ALTER SYSTEM, or the
  /// prepared statement of DEALLOCATE.
  std::string Name;
  std::string Text; // value of SET and ALTER SYSTEM
  bool IfExists = false;
  std::vector<column> Columns;
  std::string PrimaryKey;
  std::vector<std::string> InsertColumns;
  std::vector<std::vector<expression>> Rows;
  bool OnConflictDoNothing = false;
  std::vector<select_item> Outputs; // of SELECT and RETURNING
  std::optional<expression> Where;
  std::vector<assignment> Assignments;
  std::string OrderBy;
  bool Descending = false;
  std::optional<expression> Limit;
  bool ForUpdate = false;
};

/// Parses all statements of a text. Throws sql_error 42601, 0A000 or 42704.
std::vector<statement> parseStatements(std::string_view Sql);

} // namespace teasellock::stand_in
