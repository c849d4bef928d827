/// Conversion of result rows whose columns have different formats. A gateway
/// requests one format for all columns of a result, so the entry requests
/// binary and converts the text columns itself.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace teasellock::pg {

/// Converts the rows of one result from binary to the formats that the caller
/// requested for each column.
class row_converter {
public:
  /// Description: the body of a RowDescription. Formats: format codes (0 text,
  /// 1 binary), one for all columns or one for each. Throws protocol_error when
  /// the body is invalid or the formats don't match the columns.
  row_converter(std::string_view Description,
                const std::vector<std::int16_t> &Formats);

  /// Returns the RowDescription message with the caller's formats.
  std::string description() const { return RowDescription; }

  /// Converts the body of a binary DataRow. Returns a DataRow message with the
  /// caller's formats. Throws protocol_error when the row is invalid, and error
  /// with step 0A000 when a column's type can't be converted.
  std::string convert(std::string_view Row) const;

private:
  struct column {
    std::int32_t Type = 0;
    std::int16_t Format = 0;
  };
  std::vector<column> Columns;
  std::string RowDescription;
};

/// Returns a RowDescription message made from the body of another one with its
/// format codes replaced: by one for all columns, or one for each.
std::string buildRowDescription(std::string_view Description,
                                const std::vector<std::int16_t> &Formats);

/// Returns a value in binary format as text. Type: the OID of the value's type.
/// Throws error with the SQLSTATE 0A000 as step when the type is not supported,
/// and protocol_error when the value's size does not fit the type.
std::string binaryToText(std::int32_t Type, std::string_view Value);

} // namespace teasellock::pg
