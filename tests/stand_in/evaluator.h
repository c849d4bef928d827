#pragma once

#include "tests/stand_in/statement.h"
#include "tests/stand_in/store.h"

#include <functional>

namespace teasellock::stand_in {

/// The context in which an expression is evaluated: the row and its table,
/// bound parameters, and functions of the server. Null members aren't
/// available.
struct evaluation_scope {
  const table_layout *Layout = nullptr;
  const row *Row = nullptr;
  const std::vector<value> *Parameters = nullptr;
  /// Calls a function of the server. Throws sql_error 42883 if unknown.
  std::function<value(const std::string &, const std::vector<value> &)>
      *CallFunction = nullptr;
};

/// Evaluates an expression. Throws sql_error.
value evaluate(const expression &Expression, const evaluation_scope &Scope);

/// Reports whether the value is the boolean true.
bool isTrue(const value &Value);

/// Returns the type of an expression's result.
sql_type typeOf(const expression &Expression, const table_layout *Layout);

/// Reports whether the expression is a call of count, sum, min or max.
bool isAggregate(const expression &Expression);

/// Infers the types of parameters that are still Unknown.
void inferParameters(const statement &Statement, const table_layout *Layout,
                     std::vector<sql_type> &Types);

} // namespace teasellock::stand_in
