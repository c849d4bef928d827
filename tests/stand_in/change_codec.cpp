#include "tests/stand_in/store.h"

#include <cstring>

namespace teasellock::stand_in {

namespace {

class writer {
public:
  void number(std::int64_t Number) {
    char Bytes[sizeof(Number)];
    std::memcpy(Bytes, &Number, sizeof(Number));
    Text.append(Bytes, sizeof(Number));
  }

  void byte(std::uint8_t Byte) { Text.push_back(static_cast<char>(Byte)); }

  void text(std::string_view Part) {
    auto Size = static_cast<std::uint32_t>(Part.size());
    char Bytes[sizeof(Size)];
    std::memcpy(Bytes, &Size, sizeof(Size));
    Text.append(Bytes, sizeof(Size));
    Text.append(Part);
  }

  void field(const value &Value) {
    byte(static_cast<std::uint8_t>(Value.index()));
    if (const auto *Flag = std::get_if<bool>(&Value))
      byte(*Flag);
    else if (const auto *Number = std::get_if<std::int64_t>(&Value))
      number(*Number);
    else if (const auto *Part = std::get_if<std::string>(&Value))
      text(*Part);
  }

  std::string Text;
};

class reader {
public:
  explicit reader(std::string_view Bytes) : Left(Bytes) {}

  bool done() const { return Left.empty(); }

  std::string_view readBytes(std::size_t Size) {
    if (Left.size() < Size)
      throw sql_error("XX001", "malformed log record");
    std::string_view Part = Left.substr(0, Size);
    Left.remove_prefix(Size);
    return Part;
  }

  std::uint8_t byte() {
    return static_cast<std::uint8_t>(readBytes(1).front());
  }

  std::int64_t number() {
    std::int64_t Number = 0;
    std::memcpy(&Number, readBytes(sizeof(Number)).data(), sizeof(Number));
    return Number;
  }

  std::string text() {
    std::uint32_t Size = 0;
    std::memcpy(&Size, readBytes(sizeof(Size)).data(), sizeof(Size));
    return std::string(readBytes(Size));
  }

  value field() {
    switch (byte()) {
    case 0:
      return {};
    case 1:
      return byte() != 0;
    case 2:
      return number();
    case 3:
      return text();
    default:
      throw sql_error("XX001", "malformed value in a log record");
    }
  }

private:
  std::string_view Left;
};

void writeLayout(writer &Writer, const table_layout &Layout) {
  Writer.number(Layout.KeyColumn);
  Writer.number(static_cast<std::int64_t>(Layout.Names.size()));
  for (std::size_t Index = 0; Index < Layout.Names.size(); ++Index) {
    Writer.text(Layout.Names[Index]);
    Writer.number(static_cast<std::int64_t>(Layout.Types[Index]));
  }
}

table_layout readLayout(reader &Reader) {
  table_layout Layout;
  Layout.KeyColumn = static_cast<int>(Reader.number());
  std::int64_t Count = Reader.number();
  for (std::int64_t Index = 0; Index < Count; ++Index) {
    Layout.Names.push_back(Reader.text());
    Layout.Types.push_back(static_cast<sql_type>(Reader.number()));
  }
  if (Layout.KeyColumn >= Count)
    throw sql_error("XX001", "malformed table in a log record");
  return Layout;
}

} // namespace

std::string encodeChanges(const std::vector<change> &Changes) {
  writer Writer;
  for (const change &Change : Changes) {
    Writer.byte(static_cast<std::uint8_t>(Change.Kind));
    Writer.text(Change.Table);
    if (Change.Kind == change::kind::Create)
      writeLayout(Writer, Change.Layout);
    if (Change.Kind == change::kind::Create ||
        Change.Kind == change::kind::Drop)
      continue;
    Writer.text(Change.Key);
    Writer.byte(static_cast<std::uint8_t>(Change.Row.size()));
    for (const value &Field : Change.Row)
      Writer.field(Field);
  }
  return std::move(Writer.Text);
}

std::vector<change> decodeChanges(std::string_view Bytes) {
  reader Reader(Bytes);
  std::vector<change> Changes;
  while (!Reader.done()) {
    change Change;
    std::uint8_t Kind = Reader.byte();
    if (Kind > static_cast<std::uint8_t>(change::kind::Drop))
      throw sql_error("XX001", "malformed change in a log record");
    Change.Kind = static_cast<change::kind>(Kind);
    Change.Table = Reader.text();
    if (Change.Kind == change::kind::Create)
      Change.Layout = readLayout(Reader);
    if (Change.Kind == change::kind::Put ||
        Change.Kind == change::kind::Erase) {
      Change.Key = Reader.text();
      std::uint8_t Fields = Reader.byte();
      for (std::uint8_t Index = 0; Index < Fields; ++Index)
        Change.Row.push_back(Reader.field());
    }
    Changes.push_back(std::move(Change));
  }
  return Changes;
}

} // namespace teasellock::stand_in
