#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

namespace teasellock::stand_in {

/// One SQL value: NULL, a boolean, an integer or a text.
using value = std::variant<std::monostate, bool, std::int64_t, std::string>;

/// The fields of one row, in the order of the table's columns.
using row = std::vector<value>;

/// Types of columns and parameters. The numbers are PostgreSQL's type OIDs.
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

/// An error that is sent to the client with its SQLSTATE.
class sql_error : public std::runtime_error {
public:
  sql_error(std::string SqlState, const std::string &What)
      : std::runtime_error(What), SqlState(std::move(SqlState)) {}

  /// Returns the five-character SQLSTATE.
  const std::string &sqlState() const { return SqlState; }

private:
  std::string SqlState;
};

/// Reports whether the value is NULL.
inline bool isNull(const value &Value) { return Value.index() == 0; }

/// Returns the value in PostgreSQL's text format; empty for NULL.
std::string toText(const value &Value);

/// Parses the text format of a type. Throws sql_error 22P02 on invalid input.
value fromText(sql_type Type, const std::string &Text);

/// Returns the value as an integer. Throws sql_error if it isn't one.
std::int64_t toInteger(const value &Value);

/// Reports whether the type is an integer type.
inline bool isInteger(sql_type Type) {
  return Type == sql_type::Bigint || Type == sql_type::Integer;
}

/// Returns -1, 0 or 1 if Left is less than, equal to or greater than Right.
/// Neither may be NULL.
int compareValues(const value &Left, const value &Right);

/// Returns the type of a name such as "bigint". Throws sql_error 42704.
sql_type typeOfName(const std::string &Name);

} // namespace teasellock::stand_in
