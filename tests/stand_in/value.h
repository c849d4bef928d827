#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

namespace teasellock::stand_in {

/// One SQL value: NULL, a truth value, a whole number or a text.
using value = std::variant<std::monostate, bool, std::int64_t, std::string>;

/// The fields of one row, in the order of the table's columns.
using row = std::vector<value>;

/// Types of columns and parameters, numbered as PostgreSQL's catalogue does.
enum class sql_type : std::int32_t {
  Unknown = 0,
  Boolean = 16,
  Bigint = 20,
  Integer = 23,
  Text = 25,
  Varchar = 1043,
  Timestamptz = 1184,
  Void = 2278
};

/// An error that is sent to the caller with its SQLSTATE.
class sql_error : public std::runtime_error {
public:
  sql_error(std::string SqlState, const std::string &What)
      : std::runtime_error(What), SqlState(std::move(SqlState)) {}

  /// The five characters of the SQLSTATE.
  const std::string &sqlState() const { return SqlState; }

private:
  std::string SqlState;
};

/// Whether the value is NULL.
inline bool isNull(const value &Value) { return Value.index() == 0; }

/// The value in PostgreSQL's text format; empty for NULL.
std::string toText(const value &Value);

/// Reads the text format of a type. Throws sql_error 22P02 on bad input.
value fromText(sql_type Type, const std::string &Text);

/// The value as a whole number. Throws sql_error when it is none.
std::int64_t toInteger(const value &Value);

/// Whether the type is one of the whole numbers.
inline bool isInteger(sql_type Type) {
  return Type == sql_type::Bigint || Type == sql_type::Integer;
}

/// Less, equal or greater as -1, 0 or 1. Neither may be NULL.
int compareValues(const value &Left, const value &Right);

/// The type of a name such as "bigint". Throws sql_error 42704.
sql_type typeOfName(const std::string &Name);

} // namespace teasellock::stand_in
