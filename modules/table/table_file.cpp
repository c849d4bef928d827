#include "modules/table/table_file.h"

#include "core/error.h"
#include "modules/table/table_schema.h"

#include <csv.h>
#include <map>
#include <set>

namespace teasellock {

namespace {

using csv_line = std::vector<std::string>;

struct csv_collector {
  std::vector<csv_line> Lines;
  csv_line Current;
};

/// Splits CSV into lines of cells. Sets Problem if the text is malformed.
std::vector<csv_line> splitCsv(const std::string &Text, std::string &Problem) {
  csv_collector Collector;
  csv_parser Parser;
  csv_init(&Parser, CSV_STRICT | CSV_STRICT_FINI);
  auto OnCell = [](void *Cell, size_t Length, void *Data) {
    static_cast<csv_collector *>(Data)->Current.emplace_back(
        static_cast<char *>(Cell), Length);
  };
  auto OnLine = [](int, void *Data) {
    auto *Collector = static_cast<csv_collector *>(Data);
    Collector->Lines.push_back(std::move(Collector->Current));
    Collector->Current.clear();
  };
  size_t Read =
      csv_parse(&Parser, Text.data(), Text.size(), OnCell, OnLine, &Collector);
  if (Read != Text.size() || csv_fini(&Parser, OnCell, OnLine, &Collector) != 0)
    Problem = std::string("is malformed CSV after byte ") +
              std::to_string(Read) + ": " + csv_strerror(csv_error(&Parser));
  csv_free(&Parser);
  return Collector.Lines;
}

bool isKnownColumn(const std::string &Name) {
  if (Name.starts_with(AgeColumnPrefix))
    return Name.size() > AgeColumnPrefix.size();
  for (const auto &Column : tableColumns())
    if (Column.Name == Name)
      return true;
  return false;
}

void checkHeader(const csv_line &Header, table_file &File) {
  std::set<std::string> SeenNames;
  for (std::size_t I = 0; I < Header.size(); ++I) {
    const std::string &Name = Header[I];
    if (!isKnownColumn(Name))
      File.Problems.push_back({1, I + 1, Name, Name, "is not a column"});
    else if (!SeenNames.insert(Name).second)
      File.Problems.push_back({1, I + 1, Name, Name, "is named twice"});
  }
  if (!SeenNames.count("group"))
    File.Problems.push_back({1, 0, "group", "", "the column is missing"});
}

void readRow(const csv_line &Header, const csv_line &Line, std::size_t Number,
             table_file &File) {
  if (Line.size() != Header.size()) {
    File.Problems.push_back({Number, 0, "", "",
                             "has " + std::to_string(Line.size()) +
                                 " cells, the header has " +
                                 std::to_string(Header.size())});
    return;
  }
  table_row Row;
  for (std::size_t I = 0; I < Line.size(); ++I) {
    // An empty cell keeps the default, except for the group name.
    if (Line[I].empty() && Header[I] != "group")
      continue;
    try {
      setField(Row, Header[I], Line[I]);
    } catch (const error &Problem) {
      File.Problems.push_back(
          {Number, I + 1, Header[I], Line[I], Problem.reason()});
    }
  }
  if (std::string Problem = checkRow(Row); !Problem.empty())
    File.Problems.push_back({Number, 0, "", Row.Group.Value, Problem});
  File.Rows.push_back(std::move(Row));
}

std::string quoteCell(const std::string &Cell) {
  if (Cell.find_first_of(",\"\n\r") == std::string::npos)
    return Cell;
  std::string Result = "\"";
  for (char Char : Cell)
    Result += Char == '"' ? std::string("\"\"") : std::string(1, Char);
  return Result + "\"";
}

/// Formats all cells of a row, by column name.
std::map<std::string, std::string> formatCells(const table_row &Row) {
  std::map<std::string, std::string> Cells;
  for (const auto &Column : tableColumns())
    Cells[Column.Name] = Column.GetText(Row);
  for (const auto &[Kind, Age] : Row.MaxReadAges)
    Cells[std::string(AgeColumnPrefix) + Kind.Value] =
        std::to_string(toMilliseconds(Age));
  return Cells;
}

std::map<group_id, table_row> indexByGroup(const std::vector<table_row> &Rows) {
  std::map<group_id, table_row> Result;
  for (const auto &Row : Rows)
    Result[Row.Group] = Row;
  return Result;
}

table_difference compareRows(const table_row &Before, const table_row &After) {
  table_difference Difference;
  Difference.Group = Before.Group;
  auto Old = formatCells(Before);
  auto New = formatCells(After);
  std::set<std::string> Names;
  for (const auto &[Name, Text] : Old)
    Names.insert(Name);
  for (const auto &[Name, Text] : New)
    Names.insert(Name);
  for (const auto &Name : Names)
    if (Old[Name] != New[Name])
      Difference.Cells.push_back({Name, Old[Name], New[Name]});
  return Difference;
}

} // namespace

std::string toString(const table_problem &Problem) {
  std::string Text;
  if (Problem.Row != 0)
    Text += "row " + std::to_string(Problem.Row) + ", ";
  if (Problem.Column != 0)
    Text += "column " + std::to_string(Problem.Column) + " (" +
            Problem.ColumnName + "), ";
  if (!Problem.Value.empty())
    Text += "value \"" + Problem.Value + "\": ";
  return Text + Problem.Reason;
}

table_file parseTable(const std::string &Text) {
  table_file File;
  std::string SyntaxProblem;
  auto Lines = splitCsv(Text, SyntaxProblem);
  if (!SyntaxProblem.empty())
    File.Problems.push_back({0, 0, "", "", "the file " + SyntaxProblem});
  if (Lines.empty()) {
    File.Problems.push_back({0, 0, "", "", "the file has no header line"});
    return File;
  }
  checkHeader(Lines[0], File);
  if (!File.Problems.empty())
    return File;
  std::set<group_id> SeenNames;
  for (std::size_t I = 1; I < Lines.size(); ++I) {
    readRow(Lines[0], Lines[I], I + 1, File);
    if (!File.Rows.empty() && !File.Rows.back().Group.Value.empty() &&
        Lines[I].size() == Lines[0].size() &&
        !SeenNames.insert(File.Rows.back().Group).second)
      File.Problems.push_back({I + 1, 1, "group", File.Rows.back().Group.Value,
                               "already appears in an earlier row"});
  }
  return File;
}

std::string formatTable(const std::vector<table_row> &Rows) {
  std::vector<std::string> Names;
  for (const auto &Column : tableColumns())
    Names.push_back(Column.Name);
  std::set<std::string> Ages;
  for (const auto &Row : Rows)
    for (const auto &[Kind, Age] : Row.MaxReadAges)
      Ages.insert(std::string(AgeColumnPrefix) + Kind.Value);
  Names.insert(Names.end(), Ages.begin(), Ages.end());
  std::string Text;
  for (std::size_t I = 0; I < Names.size(); ++I)
    Text += (I == 0 ? "" : ",") + Names[I];
  Text += "\n";
  for (const auto &Row : Rows) {
    auto Cells = formatCells(Row);
    for (std::size_t I = 0; I < Names.size(); ++I)
      Text += (I == 0 ? "" : ",") + quoteCell(Cells[Names[I]]);
    Text += "\n";
  }
  return Text;
}

std::vector<table_difference> diffTables(const std::vector<table_row> &Before,
                                         const std::vector<table_row> &After) {
  std::vector<table_difference> Differences;
  auto Old = indexByGroup(Before);
  auto New = indexByGroup(After);
  for (const auto &[Group, Row] : Old) {
    auto Found = New.find(Group);
    if (Found == New.end())
      Differences.push_back({table_difference::kind::Removed, Group, {}});
    else if (Row != Found->second)
      Differences.push_back(compareRows(Row, Found->second));
  }
  for (const auto &[Group, Row] : New)
    if (!Old.count(Group))
      Differences.push_back({table_difference::kind::Added, Group, {}});
  return Differences;
}

} // namespace teasellock
