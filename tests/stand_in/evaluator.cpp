#include "tests/stand_in/evaluator.h"

#include <cstdint>
#include <limits>

namespace teasellock::stand_in {

namespace {

bool matchesPattern(std::string_view Text, std::string_view Pattern) {
  // Greedy matching that backtracks to the last wildcard, as for shell
  // patterns.
  std::size_t At = 0, In = 0, Resume = 0;
  std::size_t Star = std::string_view::npos;
  while (At < Text.size()) {
    bool Escaped = In + 1 < Pattern.size() && Pattern[In] == '\\';
    if (In < Pattern.size() && Pattern[In] == '%') {
      Star = In++;
      Resume = At;
    } else if (Escaped && Pattern[In + 1] == Text[At]) {
      In += 2;
      ++At;
    } else if (In < Pattern.size() && !Escaped &&
               (Pattern[In] == '_' || Pattern[In] == Text[At])) {
      ++In;
      ++At;
    } else if (Star != std::string_view::npos) {
      In = Star + 1;
      At = ++Resume;
    } else {
      return false;
    }
  }
  while (In < Pattern.size() && Pattern[In] == '%')
    ++In;
  return In == Pattern.size();
}

value arithmetic(char Operator, const value &Left, const value &Right) {
  std::int64_t Result = 0;
  std::int64_t First = toInteger(Left);
  std::int64_t Second = toInteger(Right);
  bool Overflow = Operator == '+'
                      ? __builtin_add_overflow(First, Second, &Result)
                      : __builtin_sub_overflow(First, Second, &Result);
  if (Overflow)
    throw sql_error("22003", "bigint out of range");
  return Result;
}

bool holds(const std::string &Operator, int Order) {
  if (Operator == "=")
    return Order == 0;
  if (Operator == "<>" || Operator == "!=")
    return Order != 0;
  if (Operator == "<")
    return Order < 0;
  if (Operator == ">")
    return Order > 0;
  return Operator == "<=" ? Order <= 0 : Order >= 0;
}

value evaluateLogic(const expression &Expression,
                    const evaluation_scope &Scope) {
  bool IsAnd = Expression.Name == "and";
  value Left = evaluate(Expression.Arguments[0], Scope);
  if (!isNull(Left) && isTrue(Left) != IsAnd)
    return !IsAnd;
  value Right = evaluate(Expression.Arguments[1], Scope);
  if (!isNull(Right) && isTrue(Right) != IsAnd)
    return !IsAnd;
  if (isNull(Left) || isNull(Right))
    return {};
  return IsAnd;
}

value evaluateBinary(const expression &Expression,
                     const evaluation_scope &Scope) {
  if (Expression.Name == "and" || Expression.Name == "or")
    return evaluateLogic(Expression, Scope);
  value Left = evaluate(Expression.Arguments[0], Scope);
  value Right = evaluate(Expression.Arguments[1], Scope);
  if (isNull(Left) || isNull(Right))
    return {};
  if (Expression.Name == "like")
    return matchesPattern(toText(Left), toText(Right));
  if (Expression.Name == "||")
    return toText(Left) + toText(Right);
  if (Expression.Name == "+" || Expression.Name == "-")
    return arithmetic(Expression.Name[0], Left, Right);
  return holds(Expression.Name, compareValues(Left, Right));
}

value evaluateCase(const expression &Expression,
                   const evaluation_scope &Scope) {
  const auto &Arguments = Expression.Arguments;
  for (std::size_t Index = 0; Index + 1 < Arguments.size(); Index += 2)
    if (isTrue(evaluate(Arguments[Index], Scope)))
      return evaluate(Arguments[Index + 1], Scope);
  return evaluate(Arguments.back(), Scope);
}

value evaluateIn(const expression &Expression, const evaluation_scope &Scope) {
  value Left = evaluate(Expression.Arguments[0], Scope);
  if (isNull(Left))
    return {};
  for (std::size_t Index = 1; Index < Expression.Arguments.size(); ++Index) {
    value Right = evaluate(Expression.Arguments[Index], Scope);
    if (!isNull(Right) && compareValues(Left, Right) == 0)
      return true;
  }
  return false;
}

value evaluateColumn(const expression &Expression,
                     const evaluation_scope &Scope) {
  int Index = Scope.Layout ? Scope.Layout->indexOf(Expression.Name) : -1;
  if (Index < 0 || !Scope.Row)
    throw sql_error("42703",
                    "column \"" + Expression.Name + "\" does not exist");
  return Scope.Row->at(static_cast<std::size_t>(Index));
}

value evaluateParameter(const expression &Expression,
                        const evaluation_scope &Scope) {
  auto Index = static_cast<std::size_t>(Expression.Parameter);
  if (!Scope.Parameters || Index == 0 || Index > Scope.Parameters->size())
    throw sql_error("42P02", "there is no parameter $" + std::to_string(Index));
  return (*Scope.Parameters)[Index - 1];
}

value evaluateCall(const expression &Expression,
                   const evaluation_scope &Scope) {
  std::vector<value> Arguments;
  for (const expression &Argument : Expression.Arguments)
    Arguments.push_back(evaluate(Argument, Scope));
  if (Expression.Name == "coalesce") {
    for (value &Argument : Arguments)
      if (!isNull(Argument))
        return std::move(Argument);
    return {};
  }
  if (!Scope.CallFunction)
    throw sql_error("0A000", "no functions here");
  return (*Scope.CallFunction)(Expression.Name, Arguments);
}

value cast(sql_type Type, value Value) {
  if (isNull(Value) || Type == sql_type::Unknown)
    return Value;
  if (isInteger(Type) && !std::holds_alternative<std::int64_t>(Value))
    return fromText(Type, toText(Value));
  if (Type == sql_type::Boolean && !std::holds_alternative<bool>(Value))
    return fromText(Type, toText(Value));
  if (Type == sql_type::Text && !std::holds_alternative<std::string>(Value))
    return toText(Value);
  return Value;
}

value evaluateUncast(const expression &Expression,
                     const evaluation_scope &Scope) {
  switch (Expression.Kind) {
  case expression_kind::Literal:
    return Expression.Literal;
  case expression_kind::Parameter:
    return evaluateParameter(Expression, Scope);
  case expression_kind::Column:
    return evaluateColumn(Expression, Scope);
  case expression_kind::Call:
    return evaluateCall(Expression, Scope);
  case expression_kind::Case:
    return evaluateCase(Expression, Scope);
  case expression_kind::Binary:
    return evaluateBinary(Expression, Scope);
  case expression_kind::Not: {
    value Inner = evaluate(Expression.Arguments[0], Scope);
    return isNull(Inner) ? value{} : value{!isTrue(Inner)};
  }
  case expression_kind::IsNull:
    return isNull(evaluate(Expression.Arguments[0], Scope));
  case expression_kind::In:
    return evaluateIn(Expression, Scope);
  }
  return {};
}

sql_type typeOfCall(const expression &Expression, const table_layout *Layout) {
  const std::string &Name = Expression.Name;
  if (Name == "count" || Name == "sum" || Name == "pg_wal_lsn_diff")
    return sql_type::Bigint;
  if (Name == "min" || Name == "max" || Name == "coalesce")
    return Expression.Arguments.empty()
               ? sql_type::Text
               : typeOf(Expression.Arguments[0], Layout);
  if (Name == "pg_is_in_recovery" || Name == "pg_promote" ||
      Name == "pg_reload_conf" || Name == "pg_terminate_backend" ||
      Name == "pg_cancel_backend")
    return sql_type::Boolean;
  if (Name == "pg_backend_pid")
    return sql_type::Integer;
  return Name == "pg_sleep" ? sql_type::Void : sql_type::Text;
}

sql_type typeOfLiteral(const value &Value) {
  if (std::holds_alternative<bool>(Value))
    return sql_type::Boolean;
  if (const auto *Number = std::get_if<std::int64_t>(&Value)) {
    bool Small = *Number <= std::numeric_limits<std::int32_t>::max() &&
                 *Number >= std::numeric_limits<std::int32_t>::min();
    return Small ? sql_type::Integer : sql_type::Bigint;
  }
  return sql_type::Text;
}

void setType(const expression &Parameter, sql_type Type,
             std::vector<sql_type> &Types) {
  auto Index = static_cast<std::size_t>(Parameter.Parameter);
  constexpr std::size_t MaximumParameters = 65535;
  if (Index == 0 || Index > MaximumParameters)
    throw sql_error("42P02", "there is no parameter $" + std::to_string(Index));
  if (Types.size() < Index)
    Types.resize(Index, sql_type::Unknown);
  if (Types[Index - 1] == sql_type::Unknown)
    Types[Index - 1] = Type;
}

void inferIn(const expression &Expression, const table_layout *Layout,
             sql_type Expected, std::vector<sql_type> &Types) {
  if (Expression.Kind == expression_kind::Parameter) {
    bool Cast = Expression.Cast != sql_type::Unknown;
    setType(Expression, Cast ? Expression.Cast : Expected, Types);
    return;
  }
  sql_type Inner = sql_type::Unknown;
  if (Expression.Kind == expression_kind::Binary ||
      Expression.Kind == expression_kind::In) {
    for (const expression &Argument : Expression.Arguments)
      if (Argument.Kind != expression_kind::Parameter &&
          Inner == sql_type::Unknown)
        Inner = typeOf(Argument, Layout);
    if (Inner == sql_type::Integer)
      Inner = sql_type::Bigint;
  }
  for (const expression &Argument : Expression.Arguments)
    inferIn(Argument, Layout, Inner, Types);
}

sql_type columnType(const table_layout *Layout, int Index) {
  if (!Layout || Index < 0 ||
      static_cast<std::size_t>(Index) >= Layout->Types.size())
    return sql_type::Unknown;
  return Layout->Types[static_cast<std::size_t>(Index)];
}

void inferRows(const statement &Statement, const table_layout *Layout,
               std::vector<sql_type> &Types) {
  for (const auto &Row : Statement.Rows) {
    for (std::size_t Index = 0; Index < Row.size(); ++Index) {
      int Column = static_cast<int>(Index);
      if (Layout && Index < Statement.InsertColumns.size())
        Column = Layout->indexOf(Statement.InsertColumns[Index]);
      inferIn(Row[Index], Layout, columnType(Layout, Column), Types);
    }
  }
}

} // namespace

bool isTrue(const value &Value) {
  const auto *Flag = std::get_if<bool>(&Value);
  return Flag && *Flag;
}

value evaluate(const expression &Expression, const evaluation_scope &Scope) {
  if (Expression.Cast == sql_type::Unknown)
    return evaluateUncast(Expression, Scope);
  return cast(Expression.Cast, evaluateUncast(Expression, Scope));
}

sql_type typeOf(const expression &Expression, const table_layout *Layout) {
  if (Expression.Cast != sql_type::Unknown)
    return Expression.Cast;
  switch (Expression.Kind) {
  case expression_kind::Literal:
    return typeOfLiteral(Expression.Literal);
  case expression_kind::Parameter:
    return sql_type::Text;
  case expression_kind::Column: {
    int Index = Layout ? Layout->indexOf(Expression.Name) : -1;
    if (Index < 0)
      throw sql_error("42703",
                      "column \"" + Expression.Name + "\" does not exist");
    return columnType(Layout, Index);
  }
  case expression_kind::Call:
    return typeOfCall(Expression, Layout);
  case expression_kind::Case:
    return typeOf(Expression.Arguments[1], Layout);
  case expression_kind::Binary:
    if (Expression.Name == "+" || Expression.Name == "-")
      return sql_type::Bigint;
    return Expression.Name == "||" ? sql_type::Text : sql_type::Boolean;
  default:
    return sql_type::Boolean;
  }
}

bool isAggregate(const expression &Expression) {
  return Expression.Kind == expression_kind::Call &&
         (Expression.Name == "count" || Expression.Name == "sum" ||
          Expression.Name == "min" || Expression.Name == "max");
}

void inferParameters(const statement &Statement, const table_layout *Layout,
                     std::vector<sql_type> &Types) {
  for (const select_item &Output : Statement.Outputs)
    if (!Output.IsStar)
      inferIn(Output.Value, Layout, sql_type::Unknown, Types);
  inferRows(Statement, Layout, Types);
  for (const assignment &Assignment : Statement.Assignments) {
    int Column = Layout ? Layout->indexOf(Assignment.Column) : -1;
    inferIn(Assignment.Value, Layout, columnType(Layout, Column), Types);
  }
  if (Statement.Where)
    inferIn(*Statement.Where, Layout, sql_type::Boolean, Types);
  if (Statement.Limit)
    inferIn(*Statement.Limit, Layout, sql_type::Bigint, Types);
  for (sql_type &Type : Types)
    if (Type == sql_type::Unknown)
      Type = sql_type::Text;
}

} // namespace teasellock::stand_in
