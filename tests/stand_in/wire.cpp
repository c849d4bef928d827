#include "tests/stand_in/wire.h"

#include <sstream>

namespace teasellock::stand_in {

namespace {

constexpr std::int32_t MaximumMessageBytes = 64 * 1024 * 1024;

template <typename Number> void putNumber(std::string &Out, Number Value) {
  for (int Shift = static_cast<int>(sizeof(Number)) * 8 - 8; Shift >= 0;
       Shift -= 8)
    Out.push_back(static_cast<char>(Value >> Shift));
}

template <typename Number> Number getNumber(std::string_view Bytes) {
  std::uint64_t Value = 0;
  for (char Byte : Bytes.substr(0, sizeof(Number)))
    Value = (Value << 8) | static_cast<std::uint8_t>(Byte);
  return static_cast<Number>(Value);
}

std::string binaryOf(const value &Value, sql_type Type) {
  std::string Bytes;
  if (Type == sql_type::Bigint)
    putNumber(Bytes, toInteger(Value));
  else if (Type == sql_type::Integer)
    putNumber(Bytes, static_cast<std::int32_t>(toInteger(Value)));
  else if (Type == sql_type::Boolean)
    Bytes.push_back(std::get<bool>(Value) ? 1 : 0);
  else
    Bytes = toText(Value);
  return Bytes;
}

std::int16_t typeSize(sql_type Type) {
  switch (Type) {
  case sql_type::Boolean:
    return 1;
  case sql_type::Integer:
    return 4;
  case sql_type::Bigint:
  case sql_type::Timestamptz:
    return 8;
  default:
    return -1;
  }
}

} // namespace

message_writer::message_writer(std::string &Buffer, char Type)
    : Buffer(Buffer) {
  Buffer.push_back(Type);
  LengthAt = Buffer.size();
  Buffer.append(sizeof(std::int32_t), '\0');
}

message_writer::~message_writer() {
  auto Length = static_cast<std::uint32_t>(Buffer.size() - LengthAt);
  for (std::size_t Index = 0; Index < sizeof(Length); ++Index)
    Buffer[LengthAt + Index] = static_cast<char>(Length >> (24 - 8 * Index));
}

void message_writer::int16(std::int16_t Number) { putNumber(Buffer, Number); }

void message_writer::int32(std::int32_t Number) { putNumber(Buffer, Number); }

void message_writer::int64(std::int64_t Number) { putNumber(Buffer, Number); }

void message_writer::text(std::string_view Text) {
  Buffer.append(Text).push_back('\0');
}

std::string_view message_reader::bytes(std::size_t Size) {
  if (Left.size() < Size)
    throw sql_error("08P01", "message ends early");
  std::string_view Part = Left.substr(0, Size);
  Left.remove_prefix(Size);
  return Part;
}

char message_reader::byte() { return bytes(1).front(); }

std::int16_t message_reader::int16() {
  return getNumber<std::int16_t>(bytes(sizeof(std::int16_t)));
}

std::int32_t message_reader::int32() {
  return getNumber<std::int32_t>(bytes(sizeof(std::int32_t)));
}

std::int64_t message_reader::int64() {
  return getNumber<std::int64_t>(bytes(sizeof(std::int64_t)));
}

std::string message_reader::text() {
  std::size_t End = Left.find('\0');
  if (End == std::string_view::npos)
    throw sql_error("08P01", "text without end in a message");
  std::string Text(Left.substr(0, End));
  Left.remove_prefix(End + 1);
  return Text;
}

std::optional<message> extractMessage(std::string_view Buffer,
                                      std::size_t &Offset, bool Startup) {
  std::string_view Left = Buffer.substr(Offset);
  std::size_t TypeBytes = Startup ? 0 : 1;
  std::size_t HeaderBytes = TypeBytes + sizeof(std::int32_t);
  if (Left.size() < HeaderBytes)
    return std::nullopt;
  auto Length = getNumber<std::int32_t>(Left.substr(TypeBytes));
  if (Length < static_cast<std::int32_t>(sizeof(Length)) ||
      Length > MaximumMessageBytes)
    throw sql_error("08P01", "invalid message length");
  std::size_t Total = TypeBytes + static_cast<std::size_t>(Length);
  if (Left.size() < Total)
    return std::nullopt;
  Offset += Total;
  return message{Startup ? '\0' : Left.front(),
                 Left.substr(HeaderBytes, Total - HeaderBytes)};
}

std::map<std::string, std::string> startupParameters(message_reader Reader) {
  std::map<std::string, std::string> Parameters;
  while (!Reader.done()) {
    std::string Name = Reader.text();
    if (Name.empty())
      break;
    Parameters[Name] = Reader.text();
  }
  std::istringstream Options(Parameters["options"]);
  std::string Word;
  while (Options >> Word) {
    if (Word == "-c" && !(Options >> Word))
      break;
    std::size_t Equals = Word.find('=');
    std::size_t Start = Word.starts_with("--")   ? 2
                        : Word.starts_with("-c") ? 2
                                                 : 0;
    if (Equals != std::string::npos && Equals > Start)
      Parameters[Word.substr(Start, Equals - Start)] = Word.substr(Equals + 1);
  }
  Parameters.erase("options");
  return Parameters;
}

std::int16_t formatCodeOf(const std::vector<std::int16_t> &Formats,
                          std::size_t Index) {
  if (Formats.empty())
    return 0;
  if (Formats.size() == 1)
    return Formats.front();
  return Index < Formats.size() ? Formats[Index] : std::int16_t(0);
}

void writeRowDescription(std::string &Out,
                         const std::vector<output_column> &Columns,
                         const std::vector<std::int16_t> &Formats) {
  message_writer Message(Out, 'T');
  Message.int16(static_cast<std::int16_t>(Columns.size()));
  for (std::size_t Index = 0; Index < Columns.size(); ++Index) {
    Message.text(Columns[Index].Name);
    Message.int32(0); // table
    Message.int16(0); // column of the table
    Message.int32(static_cast<std::int32_t>(Columns[Index].Type));
    Message.int16(typeSize(Columns[Index].Type));
    Message.int32(-1); // type modifier
    Message.int16(formatCodeOf(Formats, Index));
  }
}

void writeDataRow(std::string &Out, const row &Row,
                  const std::vector<output_column> &Columns,
                  const std::vector<std::int16_t> &Formats) {
  message_writer Message(Out, 'D');
  Message.int16(static_cast<std::int16_t>(Row.size()));
  for (std::size_t Index = 0; Index < Row.size(); ++Index) {
    if (isNull(Row[Index])) {
      Message.int32(-1);
      continue;
    }
    bool Binary = formatCodeOf(Formats, Index) == 1;
    std::string Bytes = Binary ? binaryOf(Row[Index], Columns.at(Index).Type)
                               : toText(Row[Index]);
    Message.int32(static_cast<std::int32_t>(Bytes.size()));
    Message.bytes(Bytes);
  }
}

void writeError(std::string &Out, const std::string &SqlState,
                const std::string &Text, bool Fatal) {
  message_writer Message(Out, 'E');
  const char *Severity = Fatal ? "FATAL" : "ERROR";
  Message.byte('S');
  Message.text(Severity);
  Message.byte('V');
  Message.text(Severity);
  Message.byte('C');
  Message.text(SqlState);
  Message.byte('M');
  Message.text(Text);
  Message.byte('\0');
}

void writeParameterStatus(std::string &Out, std::string_view Name,
                          std::string_view Value) {
  message_writer Message(Out, 'S');
  Message.text(Name);
  Message.text(Value);
}

value readParameter(sql_type Type, std::int16_t Format,
                    std::string_view Bytes) {
  if (Format == 0)
    return fromText(Type, std::string(Bytes));
  message_reader Reader(Bytes);
  if (Type == sql_type::Bigint)
    return Reader.int64();
  if (Type == sql_type::Integer)
    return std::int64_t(Reader.int32());
  if (Type == sql_type::Boolean)
    return Reader.byte() != 0;
  if (Type == sql_type::Timestamptz)
    throw sql_error("0A000", "binary timestamps are not supported");
  return std::string(Bytes);
}

} // namespace teasellock::stand_in
