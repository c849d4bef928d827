#include "core/error.h"
#include "ctl/commands.h"
#include "ctl/text_file.h"
#include "ctl/text_table.h"
#include "modules/table/table_file.h"
#include "modules/table/table_json.h"

#include <fstream>
#include <iostream>
#include <random>

namespace teasellock {

namespace {

constexpr int StatusConflict = 409;
constexpr int StatusBadRequest = 400;
constexpr int StatusOk = 200;

/// Reads and validates a file and prints all problems. Returns whether the file
/// is valid.
bool loadValidTable(const std::string &Name, std::vector<table_row> &Rows) {
  table_file File = parseTable(readTextFile("table.read", Name));
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
  api_response Response = Context.Client.call("GET", "/v1/table");
  if (Response.Status != StatusOk)
    throw error("table.get", "control", Response.Body.dump());
  remote_table Table;
  Table.Version = Response.Body.at("version").get<std::uint64_t>();
  for (const auto &Row : Response.Body.at("rows"))
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

std::string randomEditId() {
  std::random_device Random;
  char Text[33];
  std::snprintf(Text, sizeof(Text), "%08x%08x%08x%08x", Random(), Random(),
                Random(), Random());
  return Text;
}

int reportApply(const api_response &Response, const std::string &EditId) {
  if (Response.Status == StatusOk) {
    std::cout << "applied as version " << Response.Body.at("version") << "\n";
    return Succeeded;
  }
  std::cerr << "edit " << EditId << ": " << Response.Body.dump() << "\n";
  if (Response.Status == StatusConflict)
    return Conflict;
  return Response.Status == StatusBadRequest ? BadInput : Failed;
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
  if (!loadValidTable(File, Rows))
    return BadInput;
  std::cout << Rows.size() << " rows are valid\n";
  return Succeeded;
}

int tableDiff(command_context &Context, const std::string &File) {
  std::vector<table_row> Rows;
  if (!loadValidTable(File, Rows))
    return BadInput;
  auto Differences = diffTables(fetchTable(Context).Rows, Rows);
  for (const auto &Difference : Differences)
    printDifference(Difference);
  return Differences.empty() ? Succeeded : Different;
}

int tableApply(command_context &Context, const std::string &File,
               std::uint64_t BaseVersion, std::string EditId) {
  std::vector<table_row> Rows;
  if (!loadValidTable(File, Rows))
    return BadInput;
  remote_table Current = fetchTable(Context);
  if (BaseVersion == 0)
    BaseVersion = Current.Version;
  if (EditId.empty())
    EditId = randomEditId();
  for (const auto &Difference : diffTables(Current.Rows, Rows))
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
    std::cerr << "no response was received; retry with --edit-id " << EditId
              << " --base-version " << BaseVersion << "\n";
    throw;
  }
}

int tableStatus(command_context &Context) {
  api_response Response = Context.Client.call("GET", "/v1/table/status");
  std::cout << Response.Body.dump(2) << "\n";
  if (Response.Status != StatusOk)
    return Failed;
  return Response.Body.at("behind").empty() ? Succeeded : Different;
}

} // namespace teasellock
