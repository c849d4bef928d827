#include "core/error.h"
#include "ctl/commands.h"
#include "ctl/text_file.h"
#include "modules/admin/deployment_json.h"
#include "modules/admin/http_server.h"
#include "modules/deployment/deployment_check.h"
#include "platform/configuration_check.h"
#include "platform/configuration_json.h"

#include <iostream>

namespace teasellock {

namespace {

using nlohmann::json;
using problems = std::vector<deployment_problem>;

constexpr int StatusOk = 200;

/// What the check of a configuration has found.
struct configuration_report {
  problems Errors;
  problems Warnings;
  std::vector<deployment_difference> Differences;
  bool DifferencesKnown = false;
  /// Why a part of the check could not be made.
  std::string Failure;
};

void append(problems &Problems, const problems &Added) {
  Problems.insert(Problems.end(), Added.begin(), Added.end());
}

deployment_summary fetchDeployment(command_context &Context) {
  api_response Response = Context.Client.call("GET", "/v1/deployment");
  if (Response.Status != StatusOk)
    throw error(
        "deployment.get", "status " + std::to_string(Response.Status),
        Response.Body.dump(-1, ' ', false, json::error_handler_t::replace));
  return parseDeploymentInForce(Response.Body);
}

void compareToCurrent(command_context &Context,
                      const deployment_proposal &Proposal,
                      configuration_report &Report) {
  auto Current = fetchDeployment(Context);
  Report.Differences = diffDeployments(Current, summaryOf(Proposal));
  Report.DifferencesKnown = true;
  if (auto Problem = checkVersion(Current.Version, Proposal.Deployment.Version))
    Report.Warnings.push_back(*Problem);
}

void checkProposal(command_context &Context,
                   const deployment_proposal &Proposal, bool AgainstCurrent,
                   configuration_report &Report) {
  append(Report.Errors, checkDeployment(Proposal));
  append(Report.Warnings, findUnusedEntries(Proposal));
  append(Report.Warnings, findLimitConflicts(Proposal));
  try {
    if (AgainstCurrent)
      compareToCurrent(Context, Proposal, Report);
  } catch (const std::exception &Problem) {
    Report.Failure = Problem.what();
  }
}

configuration_report makeReport(command_context &Context,
                                const std::string &File, bool AgainstCurrent) {
  configuration_report Report;
  try {
    std::string Text = readTextFile("configuration.read", File);
    if (Text.size() > MaxRequestBodyBytes)
      Report.Errors.push_back(
          {"file",
           "is longer than " + std::to_string(MaxRequestBodyBytes) + " bytes"});
    auto FormatErrors = platform::findFormatErrors(Text);
    append(Report.Errors, FormatErrors);
    append(Report.Warnings, platform::findUnknownFields(Text));
    if (FormatErrors.empty())
      checkProposal(Context, platform::parseConfiguration(Text), AgainstCurrent,
                    Report);
  } catch (const std::exception &Problem) {
    Report.Failure = Problem.what();
  }
  return Report;
}

json toJson(const problems &Problems) {
  json Result = json::array();
  for (const auto &Problem : Problems)
    Result.push_back(
        {{"location", Problem.Location}, {"reason", Problem.Reason}});
  return Result;
}

json toJson(const std::optional<std::string> &Value) {
  return Value ? json(*Value) : json();
}

json toJson(const configuration_report &Report) {
  json Differences = json::array();
  for (const auto &Difference : Report.Differences)
    Differences.push_back({{"location", Difference.Location},
                           {"before", toJson(Difference.Before)},
                           {"after", toJson(Difference.After)}});
  json Result = {{"errors", toJson(Report.Errors)},
                 {"warnings", toJson(Report.Warnings)},
                 {"differences", Differences},
                 {"differences_known", Report.DifferencesKnown}};
  if (!Report.Failure.empty())
    Result["failure"] = Report.Failure;
  return Result;
}

void printProblems(const char *Kind, const problems &Problems) {
  for (const auto &Problem : Problems)
    std::cout << Kind << ": " << Problem.Location << ": " << Problem.Reason
              << "\n";
}

void printDifference(const deployment_difference &Difference) {
  const auto &[Location, Before, After] = Difference;
  if (!Before)
    std::cout << "+ " << Location << ": " << *After << "\n";
  else if (!After)
    std::cout << "- " << Location << ": " << *Before << "\n";
  else
    std::cout << "~ " << Location << ": " << *Before << " -> " << *After
              << "\n";
}

void print(const configuration_report &Report, bool AgainstCurrent) {
  printProblems("error", Report.Errors);
  printProblems("warning", Report.Warnings);
  for (const auto &Difference : Report.Differences)
    printDifference(Difference);
  if (Report.Errors.empty() && Report.Warnings.empty() &&
      Report.Failure.empty())
    std::cout << "nothing found\n";
  if (!Report.Failure.empty())
    std::cerr << "teasellock: " << Report.Failure << "\n";
  if (AgainstCurrent && !Report.DifferencesKnown)
    std::cerr << "the differences from the version in force are not known\n";
}

int exitCodeOf(const configuration_report &Report) {
  if (!Report.Failure.empty())
    return NotChecked;
  if (!Report.Errors.empty())
    return ErrorsFound;
  return Report.Warnings.empty() ? NothingFound : OnlyWarnings;
}

} // namespace

int checkConfiguration(command_context &Context, const std::string &File,
                       bool AgainstCurrent) {
  auto Report = makeReport(Context, File, AgainstCurrent);
  if (Context.Json)
    std::cout << toJson(Report).dump(2, ' ', false,
                                     json::error_handler_t::replace)
              << "\n";
  else
    print(Report, AgainstCurrent);
  return exitCodeOf(Report);
}

} // namespace teasellock
