#include "modules/caller/row_format.h"

#include "core/error.h"
#include "modules/caller/wire_format.h"

#include <bit>
#include <charconv>
#include <chrono>
#include <cmath>
#include <cstdio>

namespace teasellock::pg {

namespace {

/// OIDs of built-in types, which are the same in all versions of PostgreSQL.
namespace oid {
constexpr std::int32_t Bool = 16;
constexpr std::int32_t Char = 18;
constexpr std::int32_t Name = 19;
constexpr std::int32_t Int8 = 20;
constexpr std::int32_t Int2 = 21;
constexpr std::int32_t Int4 = 23;
constexpr std::int32_t Text = 25;
constexpr std::int32_t Oid = 26;
constexpr std::int32_t Json = 114;
constexpr std::int32_t Xml = 142;
constexpr std::int32_t Float4 = 700;
constexpr std::int32_t Float8 = 701;
constexpr std::int32_t Unknown = 705;
constexpr std::int32_t Bpchar = 1042;
constexpr std::int32_t Varchar = 1043;
constexpr std::int32_t Date = 1082;
constexpr std::int32_t Jsonb = 3802;
} // namespace oid

std::uint64_t parseUnsigned(std::string_view Value, std::size_t Size) {
  if (Value.size() != Size)
    throw protocol_error{"a binary value has an unexpected size"};
  std::uint64_t Number = 0;
  for (unsigned char Byte : Value)
    Number = Number << 8 | Byte;
  return Number;
}

template <typename Float> std::string floatText(Float Number) {
  if (std::isnan(Number))
    return "NaN";
  if (std::isinf(Number))
    return Number > 0 ? "Infinity" : "-Infinity";
  char Text[64];
  auto Result = std::to_chars(Text, Text + sizeof(Text), Number);
  return std::string(Text, Result.ptr);
}

/// Returns a date, given in days since 2000-01-01, in ISO format. Throws error
/// for dates before year 1.
std::string dateText(std::int32_t Days) {
  using namespace std::chrono;
  if (Days == INT32_MAX)
    return "infinity";
  if (Days == INT32_MIN)
    return "-infinity";
  year_month_day Date(sys_days(year(2000) / 1 / 1) + days(Days));
  if (!Date.ok() || int(Date.year()) < 1)
    throw error("0A000", "caller",
                "the date is outside the range that can be converted to text");
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%04d-%02u-%02u", int(Date.year()),
                unsigned(Date.month()), unsigned(Date.day()));
  return Text;
}

} // namespace

std::string binaryToText(std::int32_t Type, std::string_view Value) {
  switch (Type) {
  case oid::Char:
  case oid::Name:
  case oid::Text:
  case oid::Json:
  case oid::Xml:
  case oid::Unknown:
  case oid::Bpchar:
  case oid::Varchar:
    return std::string(Value);
  case oid::Jsonb:
    // A version byte precedes the text.
    return std::string(Value.substr(Value.empty() ? 0 : 1));
  case oid::Bool:
    return parseUnsigned(Value, 1) != 0 ? "t" : "f";
  case oid::Int2:
    return std::to_string(static_cast<std::int16_t>(parseUnsigned(Value, 2)));
  case oid::Int4:
    return std::to_string(static_cast<std::int32_t>(parseUnsigned(Value, 4)));
  case oid::Int8:
    return std::to_string(static_cast<std::int64_t>(parseUnsigned(Value, 8)));
  case oid::Oid:
    return std::to_string(parseUnsigned(Value, 4));
  case oid::Float4:
    return floatText(std::bit_cast<float>(
        static_cast<std::uint32_t>(parseUnsigned(Value, 4))));
  case oid::Float8:
    return floatText(std::bit_cast<double>(parseUnsigned(Value, 8)));
  case oid::Date:
    return dateText(static_cast<std::int32_t>(parseUnsigned(Value, 4)));
  default:
    throw error(
        "0A000", "caller",
        "a column of type " + std::to_string(Type) +
            " can't be converted to text in a result with binary columns");
  }
}

std::string buildRowDescription(std::string_view Description,
                                const std::vector<std::int16_t> &Formats) {
  field_reader Fields(Description);
  message_writer Message('T');
  auto Count = static_cast<std::size_t>(Fields.count16());
  Message.int16(static_cast<std::int16_t>(Count));
  if (Formats.size() > 1 && Formats.size() != Count)
    throw protocol_error{"result formats don't match the columns"};
  constexpr std::size_t BytesBeforeFormat = 16;
  for (std::size_t I = 0; I < Count; ++I) {
    Message.cString(Fields.cString());
    Message.bytes(Fields.bytes(BytesBeforeFormat));
    Fields.int16();
    Message.int16(Formats.empty() ? std::int16_t(0)
                                  : Formats[Formats.size() == 1 ? 0 : I]);
  }
  std::string RowDescription;
  Message.append(RowDescription);
  return RowDescription;
}

row_converter::row_converter(std::string_view Description,
                             const std::vector<std::int16_t> &Formats)
    : RowDescription(buildRowDescription(Description, Formats)) {
  field_reader Fields(Description);
  auto Count = static_cast<std::size_t>(Fields.count16());
  for (std::size_t I = 0; I < Count; ++I) {
    Fields.cString();
    Fields.int32();
    Fields.int16();
    column Column;
    Column.Type = Fields.int32();
    Column.Format = Formats[Formats.size() == 1 ? 0 : I];
    Fields.int16();
    Fields.int32();
    Fields.int16();
    Columns.push_back(Column);
  }
}

std::string row_converter::convert(std::string_view Row) const {
  field_reader Fields(Row);
  message_writer Message('D');
  auto Count = static_cast<std::size_t>(Fields.count16());
  if (Count != Columns.size())
    throw protocol_error{
        "the number of columns in a row differs from the description"};
  Message.int16(static_cast<std::int16_t>(Count));
  for (const auto &Column : Columns) {
    auto Length = Fields.int32();
    if (Length < 0) {
      Message.int32(-1);
      continue;
    }
    auto Value = Fields.bytes(static_cast<std::size_t>(Length));
    std::string Encoded = Column.Format == 1 ? std::string(Value)
                                             : binaryToText(Column.Type, Value);
    Message.int32(static_cast<std::int32_t>(Encoded.size())).bytes(Encoded);
  }
  std::string Converted;
  Message.append(Converted);
  return Converted;
}

} // namespace teasellock::pg
