#include "tests/soak/organisation_oracle.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace teasellock::soak {

namespace {

/// Name of connections for callers without an organisation: the default of
/// line_group_settings.
constexpr const char *FixedName = "teasellock";
/// Stands for "no organisation" among the names that are possible for a key.
constexpr const char *NoName = "";
/// A VM that control reaches acts on a version from this time after its
/// acknowledgement.
constexpr duration MaxApplyTime = std::chrono::seconds(4);
/// Time after a fault in which processes start, control elects a leader and
/// silent links are noticed. Control reaches a VM only after it.
constexpr duration SettleTime = std::chrono::seconds(2);
/// Limits hold in each window of this length, with the tolerances below.
constexpr duration LimitWindow = std::chrono::seconds(5);
constexpr double LimitTolerance = 1.1;
constexpr double LimitSlack = 20;

double limitBound(const organisation_plan &Plan) {
  double Seconds = std::chrono::duration<double>(LimitWindow).count();
  return (Plan.Rate * Seconds + Plan.Burst) * LimitTolerance + LimitSlack;
}

} // namespace

organisation_oracle::organisation_oracle(
    oracle &Violations, const std::vector<organisation_plan> &Organisations)
    : Violations(Violations) {
  for (const auto &Plan : Organisations)
    Executions[Plan.Name].Bound = limitBound(Plan);
}

void organisation_oracle::recordVersion(std::uint64_t Version,
                                        const key_holders &Holders,
                                        time_point Now) {
  Versions.push_back({Version, Holders, Now, std::nullopt});
}

void organisation_oracle::recordAcknowledgement(std::uint64_t Version,
                                                time_point Now) {
  for (auto &Record : Versions)
    if (Record.Version == Version && !Record.AcknowledgedAt)
      Record.AcknowledgedAt = Now;
}

void organisation_oracle::recordDisturbance(std::optional<std::size_t> Entry,
                                            time_point Begin, time_point End) {
  Disturbances.push_back({Entry, Begin, End});
}

/// Reports whether control has reached the VM for long enough that it acts on
/// each version that was acknowledged MaxApplyTime ago.
bool organisation_oracle::isReached(std::size_t Entry, time_point Now) const {
  return std::none_of(
      Disturbances.begin(), Disturbances.end(), [&](const auto &Disturbance) {
        return (!Disturbance.Entry || *Disturbance.Entry == Entry) &&
               Disturbance.Begin <= Now &&
               Disturbance.End + SettleTime + MaxApplyTime > Now;
      });
}

/// Returns the organisations that the key may have at the request's VM between
/// two times, NoName included.
std::set<std::string>
organisation_oracle::possibleNames(const caller_request &Request,
                                   time_point From, time_point Now) const {
  bool Reached = isReached(Request.Entry, From);
  std::set<std::string> Names;
  for (auto Record = Versions.rbegin(); Record != Versions.rend(); ++Record) {
    if (Record->SentAt > Now)
      continue;
    auto Found = Record->Holders.find(Request.Key);
    Names.insert(Found == Record->Holders.end() ? NoName : Found->second);
    if (Reached && Record->AcknowledgedAt &&
        *Record->AcknowledgedAt + MaxApplyTime <= From)
      break;
  }
  return Names;
}

void organisation_oracle::checkExecution(const std::string &Id,
                                         const std::string &Name,
                                         time_point Now) {
  ++Executions[Name].Statements;
  auto Found = Requests.find(Id);
  // The general oracle reports statements that nobody sent.
  if (Found == Requests.end())
    return;
  const auto &Request = Found->second;
  countOperation(Request.Operation, Name, Now);
  if (!Request.IsPublic && possibleNames(Request, Request.Sent, Now) ==
                               std::set<std::string>{NoName})
    return Violations.reportViolation("key", Id + " was executed for " + Name +
                                                 " with an unknown key");
  auto Names = possibleNames(Request, Request.OperationSent, Now);
  if (Request.IsPublic && Names.erase(NoName) > 0)
    Names.insert(FixedName);
  if (!Names.contains(Name))
    Violations.reportViolation("organisation", Id + " was executed for " +
                                                   Name + ", not for " +
                                                   *Names.begin());
}

/// Counts an operation when its first statement is executed.
void organisation_oracle::countOperation(const std::string &Operation,
                                         const std::string &Name,
                                         time_point Now) {
  auto &Executed = Executions[Name];
  if (!Executed.Operations.insert(Operation).second)
    return;
  auto &Recent = Executed.Recent;
  Recent.push_back(Now);
  while (Recent.front() + LimitWindow <= Now)
    Recent.pop_front();
  if (Recent.size() <= Executed.Peak)
    return;
  Executed.Peak = Recent.size();
  // Without a bound: connections for callers without an organisation.
  if (Executed.Bound > 0 && static_cast<double>(Executed.Peak) > Executed.Bound)
    Violations.reportViolation(
        "limit", std::to_string(Executed.Peak) + " operations of " + Name +
                     " within a window, at most " +
                     std::to_string(static_cast<std::size_t>(Executed.Bound)) +
                     " are allowed");
}

void organisation_oracle::checkAnswer(const caller_request &Request,
                                      bool IsAdmitted, time_point Now) {
  auto Names = possibleNames(Request, Request.Sent, Now);
  bool MayAdmit = Request.IsPublic || Names.size() > Names.count(NoName);
  bool MayRefuse = !Request.IsPublic && Names.contains(NoName);
  if (IsAdmitted ? MayAdmit : MayRefuse) {
    bool IsJudged =
        MayAdmit != MayRefuse && !Request.IsPublic && hasChanged(Request.Key);
    auto &Count = IsAdmitted ? JudgedAdmissions : JudgedRefusals;
    Count += IsJudged ? 1 : 0;
    return;
  }
  std::string Entry = "entry " + std::to_string(Request.Entry + 1);
  Violations.reportViolation(IsAdmitted ? "revoked" : "added",
                             IsAdmitted ? Entry + " admitted an unknown key"
                                        : Entry + " refused a known key");
}

bool organisation_oracle::hasChanged(const std::string &Key) const {
  auto IsSame = [&](const version_record &Record) {
    auto First = Versions.front().Holders.find(Key);
    auto Found = Record.Holders.find(Key);
    if (First == Versions.front().Holders.end() ||
        Found == Record.Holders.end())
      return First == Versions.front().Holders.end() &&
             Found == Record.Holders.end();
    return First->second == Found->second;
  };
  return !std::all_of(Versions.begin(), Versions.end(), IsSame);
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
