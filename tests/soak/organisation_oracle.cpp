#include "tests/soak/organisation_oracle.h"

#include <filesystem>
#include <fstream>

namespace teasellock::soak {

namespace {

/// Name of connections for callers without an organisation: the default of
/// line_group_settings.
constexpr const char *FixedName = "teasellock";

} // namespace

std::set<std::string>
organisation_oracle::possibleNames(const caller_request &Request) const {
  std::set<std::string> Names;
  for (const auto &Holders : Versions) {
    auto Found = Holders.find(Request.Key);
    if (Found != Holders.end())
      Names.insert(Found->second);
    else if (Request.IsPublic)
      Names.insert(FixedName);
  }
  return Names;
}

void organisation_oracle::checkExecution(const std::string &Id,
                                         const std::string &Name) {
  ++Executions[Name];
  auto Found = Requests.find(Id);
  // The general oracle reports statements that nobody sent.
  if (Found == Requests.end())
    return;
  auto Names = possibleNames(Found->second);
  if (Names.empty())
    return Violations.reportViolation(
        "key", Id + " was executed with a key that no version has");
  if (!Names.contains(Name))
    Violations.reportViolation("organisation", Id + " of " + *Names.begin() +
                                                   " was executed for " + Name);
}

void organisation_oracle::checkText(const std::string &Text,
                                    const std::string &Where) {
  if (Text.find(KeyMarker) != std::string::npos)
    Violations.reportViolation("secret", Where + " contains a key");
}

void checkLogs(organisation_oracle &Oracle, const std::string &Folder) {
  for (const auto &Entry : std::filesystem::directory_iterator(Folder)) {
    if (Entry.path().extension() != ".log")
      continue;
    std::ifstream File(Entry.path());
    std::size_t Number = 0;
    for (std::string Line; std::getline(File, Line);)
      Oracle.checkText(Line, Entry.path().filename().string() + ":" +
                                 std::to_string(++Number));
  }
}

} // namespace teasellock::soak
