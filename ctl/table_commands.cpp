#include "core/error.h"
#include "ctl/commands.h"
#include "ctl/text_table.h"
#include "modules/table/table_file.h"
#include "modules/table/table_json.h"

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace teasellock {

namespace {

constexpr int StatusConflict = 409;
constexpr int StatusBadRequest = 400;
constexpr int StatusOk = 200;

std::string readFile(const std::string &Name) {
  if (Name == "-") {
    std::ostringstream Text;
    Text << std::cin.rdbuf();
    return Text.str();
  }
  std::ifstream In(Name, std::ios::binary);
  std::ostringstream Text;
  Text << In.rdbuf();
  if (!In)
    throw error("table.read", Name, "cannot be read");
  return Text.str();
}

/// Reads and checks a file; prints every problem. False: it has some.
bool loadTable(const std::string &Name, std::vector<table_row> &Rows) {
  table_file File = parseTable(readFile(Name));
  for (const auto &Problem : File.Problems)
    std::cerr << Name << ": " << toString(Problem) << "\n";
  Rows = std::move(File.Rows);
  return File.Problems.empty();
}

struct remote_table {
  std::uint64_t Version = 0;
  std::vector<table_row> Rows;
};

remote_table fetchTable(command_context &Context) {
  api_answer Answer = Context.Client.call("GET", "/v1/table");
  if (Answer.Status != StatusOk)
    throw error("table.get", "control", Answer.Body.dump());
  remote_table Table;
  Table.Version = Answer.Body.at("version").get<std::uint64_t>();
  for (const auto &Row : Answer.Body.at("rows"))
    Table.Rows.push_back(rowFromJson(Row));
  return Table;
}

void printDifference(const table_difference &Difference) {
  using kind = table_difference::kind;
  if (Difference.Kind == kind::Added)
    std::cout << "+ " << Difference.Group.Value << "\n";
  if (Difference.Kind == kind::Removed)
    std::cout << "- " << Difference.Group.Value << "\n";
  for (const auto &Cell : Difference.Cells)
    std::cout << "~ " << Difference.Group.Value << " " << Cell.Column << ": \""
              << Cell.Before << "\" -> \"" << Cell.After << "\"\n";
}

std::string randomId() {
  std::random_device Random;
  char Text[33];
  std::snprintf(Text, sizeof(Text), "%08x%08x%08x%08x", Random(), Random(),
                Random(), Random());
  return Text;
}

int reportApply(const api_answer &Answer, const std::string &EditId) {
  if (Answer.Status == StatusOk) {
    std::cout << "applied as version " << Answer.Body.at("version") << "\n";
    return Succeeded;
  }
  std::cerr << "edit " << EditId << ": " << Answer.Body.dump() << "\n";
  if (Answer.Status == StatusConflict)
    return Conflict;
  return Answer.Status == StatusBadRequest ? BadInput : Failed;
}

} // namespace

int tableGet(command_context &Context, const std::string &OutFile) {
  remote_table Table = fetchTable(Context);
  std::string Text = formatTable(Table.Rows);
  if (Context.Json) {
    nlohmann::json Json = {{"version", Table.Version},
                           {"rows", nlohmann::json::array()}};
    for (const auto &Row : Table.Rows)
      Json["rows"].push_back(toJson(Row));
    Text = Json.dump(2) + "\n";
  }
  if (OutFile.empty()) {
    std::cout << Text;
    return Succeeded;
  }
  std::ofstream Out(OutFile, std::ios::binary);
  Out << Text;
  Out.close();
  if (!Out)
    throw error("table.write", OutFile, "cannot be written");
  std::cerr << "version " << Table.Version << "\n";
  return Succeeded;
}

int tableCheck(const std::string &File) {
  std::vector<table_row> Rows;
  if (!loadTable(File, Rows))
    return BadInput;
  std::cout << Rows.size() << " rows are sound\n";
  return Succeeded;
}

int tableDiff(command_context &Context, const std::string &File) {
  std::vector<table_row> Rows;
  if (!loadTable(File, Rows))
    return BadInput;
  auto Differences = diffTables(fetchTable(Context).Rows, Rows);
  for (const auto &Difference : Differences)
    printDifference(Difference);
  return Differences.empty() ? Succeeded : Different;
}

int tableApply(command_context &Context, const std::string &File,
               std::uint64_t BaseVersion, std::string EditId) {
  std::vector<table_row> Rows;
  if (!loadTable(File, Rows))
    return BadInput;
  remote_table Present = fetchTable(Context);
  if (BaseVersion == 0)
    BaseVersion = Present.Version;
  if (EditId.empty())
    EditId = randomId();
  for (const auto &Difference : diffTables(Present.Rows, Rows))
    printDifference(Difference);
  nlohmann::json Body = {{"edit_id", EditId},
                         {"base_version", BaseVersion},
                         {"rows", nlohmann::json::array()}};
  for (const auto &Row : Rows)
    Body["rows"].push_back(toJson(Row));
  try {
    return reportApply(Context.Client.call("PUT", "/v1/table", Body.dump()),
                       EditId);
  } catch (const error &Problem) {
    std::cerr << "the answer was lost; send it again with --edit-id " << EditId
              << " --base-version " << BaseVersion << "\n";
    throw;
  }
}

int tableStatus(command_context &Context) {
  api_answer Answer = Context.Client.call("GET", "/v1/table/status");
  std::cout << Answer.Body.dump(2) << "\n";
  if (Answer.Status != StatusOk)
    return Failed;
  return Answer.Body.at("behind").empty() ? Succeeded : Different;
}

} // namespace teasellock
