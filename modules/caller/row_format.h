/// Rows as a caller asked for them: result columns of different formats, which
/// gateways can't ask an upstream for.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace teasellock::pg {

/// The columns of a result that arrives in binary and leaves in the formats
/// that the caller asked for.
class row_converter {
public:
  /// Takes the body of a RowDescription. Throws malformed, also when the
  /// formats don't match the columns.
  row_converter(std::string_view Description,
                const std::vector<std::int16_t> &Formats);

  /// The RowDescription with the caller's formats.
  std::string description() const { return Described; }

  /// A DataRow with the caller's formats, from the body of one in binary.
  /// Throws malformed, and error when a column's type can't be converted.
  std::string convert(std::string_view Row) const;

private:
  struct column {
    std::int32_t Type = 0;
    std::int16_t Format = 0;
  };
  std::vector<column> Columns;
  std::string Described;
};

/// The body of a RowDescription with other formats: one for all columns, or
/// one for each.
std::string describeWith(std::string_view Description,
                         const std::vector<std::int16_t> &Formats);

/// A value of a type's binary format as text. Throws error with the SQLSTATE
/// as step when the type is not known.
std::string binaryToText(std::int32_t Type, std::string_view Value);

} // namespace teasellock::pg
