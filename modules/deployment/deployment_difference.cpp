#include "modules/deployment/deployment_difference.h"

#include "modules/deployment/consistency_name.h"
#include "modules/deployment/key_digest.h"

#include <array>
#include <charconv>
#include <map>
#include <set>
#include <utility>

namespace teasellock {

namespace {

using differences = std::vector<deployment_difference>;
/// Names and values of an entry's fields, in the order they are shown.
using field_list = std::vector<std::pair<std::string, std::string>>;

struct entry {
  std::string Location;
  field_list Fields;
};

std::string toText(bool Flag) { return Flag ? "true" : "false"; }

std::string toText(duration Span) {
  return std::to_string(toMilliseconds(Span));
}

/// Returns the shortest text that is read as the same number.
std::string toText(double Number) {
  std::array<char, 32> Buffer{};
  auto Result =
      std::to_chars(Buffer.data(), Buffer.data() + Buffer.size(), Number);
  return {Buffer.data(), Result.ptr};
}

std::string describe(const field_list &Fields) {
  std::string Text;
  for (const auto &[Name, Value] : Fields)
    Text += (Text.empty() ? "" : " ") + Name + "=" + Value;
  return Text;
}

field_list fieldsOf(const route &Route, bool IsFirst) {
  return {{"database", Route.Database.Value},
          {"group", Route.Group.Value},
          {"consistency", nameOf(Route.Consistency)},
          {"max_staleness_ms", toText(Route.MaxStaleness)},
          {"timeout_ms", toText(Route.StatementTimeout)},
          {"target_ms", toText(Route.TargetLatency)},
          {"priority", std::to_string(Route.Priority)},
          {"public", toText(Route.IsPublic)},
          // The other routes of a database are not used.
          {"first_of_database", toText(IsFirst)}};
}

std::vector<entry> routeEntries(const deployment_summary &Deployment) {
  std::vector<entry> Entries;
  std::set<database_id> Seen;
  for (const auto &Route : Deployment.Routes)
    Entries.push_back({"route " + Route.Name,
                       fieldsOf(Route, Seen.insert(Route.Database).second)});
  return Entries;
}

std::vector<entry> groupEntries(const deployment_summary &Deployment) {
  std::vector<entry> Entries;
  for (const auto &Limits : Deployment.Groups)
    Entries.push_back(
        {"group " + Limits.Group.Value,
         {{"max_connections", std::to_string(Limits.MaxConnections)},
          {"ack_replicas", std::to_string(Limits.AckReplicas)}}});
  return Entries;
}

std::vector<entry> organisationEntries(const deployment_summary &Deployment) {
  std::vector<entry> Entries;
  if (!Deployment.Organisations)
    return Entries;
  for (const auto &Organisation : *Deployment.Organisations) {
    const auto &Limit = Organisation.Limit;
    Entries.push_back(
        {"organisation " + Organisation.Name.Value,
         {{"rate_per_s", Limit ? toText(Limit->RatePerSecond) : "unlimited"},
          {"burst", Limit ? toText(Limit->Burst) : "unlimited"},
          {"priority", std::to_string(Organisation.Priority)}}});
  }
  return Entries;
}

/// Returns the organisations that hold each key, by fingerprint. Different keys
/// with the same fingerprint may have several holders.
std::vector<entry> keyEntries(const deployment_summary &Deployment) {
  std::map<std::string, std::set<std::string>> Holders;
  if (Deployment.Organisations)
    for (const auto &Organisation : *Deployment.Organisations)
      for (const auto &Key : Organisation.Keys)
        Holders[Key].insert(Organisation.Name.Value);
  std::vector<entry> Entries;
  for (const auto &[Key, Names] : Holders) {
    std::string Text;
    for (const auto &Name : Names)
      Text += (Text.empty() ? "" : ", ") + Name;
    Entries.push_back({"key " + Key, {{"organisation", Text}}});
  }
  return Entries;
}

std::vector<entry> settingEntries(const deployment_summary &Deployment) {
  return {
      {"deployment",
       {{"version", toString(Deployment.Version)},
        {"idle_transaction_ms", toText(Deployment.IdleTransactionTimeout)},
        {"callers_need_keys", toText(Deployment.Organisations.has_value())}}}};
}

/// Entries by location and by their order among those with the same one.
using entry_index =
    std::map<std::pair<std::string, std::size_t>, const field_list *>;

entry_index indexEntries(const std::vector<entry> &Entries) {
  entry_index Index;
  std::map<std::string, std::size_t> Counts;
  for (const auto &Entry : Entries)
    Index[{Entry.Location, Counts[Entry.Location]++}] = &Entry.Fields;
  return Index;
}

void diffFields(const std::string &Location, const field_list &Before,
                const field_list &After, differences &Differences) {
  for (std::size_t I = 0; I < After.size(); ++I)
    if (Before[I].second != After[I].second)
      Differences.push_back(
          {Location + " " + After[I].first, Before[I].second, After[I].second});
}

void diffEntries(const std::vector<entry> &Before,
                 const std::vector<entry> &After, differences &Differences) {
  auto BeforeIndex = indexEntries(Before);
  auto AfterIndex = indexEntries(After);
  for (const auto &[Key, Fields] : BeforeIndex)
    if (!AfterIndex.contains(Key))
      Differences.push_back({Key.first, describe(*Fields), std::nullopt});
  for (const auto &[Key, Fields] : AfterIndex) {
    auto Known = BeforeIndex.find(Key);
    if (Known == BeforeIndex.end())
      Differences.push_back({Key.first, std::nullopt, describe(*Fields)});
    else
      diffFields(Key.first, *Known->second, *Fields, Differences);
  }
}

} // namespace

deployment_summary summaryOf(const deployment_proposal &Proposal) {
  const auto &Deployment = Proposal.Deployment;
  deployment_summary Summary;
  Summary.Version = Deployment.Version;
  Summary.Routes = Deployment.Routes;
  for (auto &Route : Summary.Routes)
    Route.PathPrefix.clear();
  Summary.Groups = Proposal.Groups;
  Summary.IdleTransactionTimeout = Deployment.IdleTransactionTimeout;
  if (!Deployment.Organisations)
    return Summary;
  auto &Organisations = Summary.Organisations.emplace();
  for (const auto &Organisation : *Deployment.Organisations) {
    auto &Added = Organisations.emplace_back();
    Added.Name = Organisation.Name;
    for (const auto &Key : Organisation.Keys)
      Added.Keys.push_back(fingerprintOf(Key));
    Added.Limit = Organisation.Limit;
    Added.Priority = Organisation.Priority;
  }
  return Summary;
}

std::vector<deployment_difference>
diffDeployments(const deployment_summary &Before,
                const deployment_summary &After) {
  differences Differences;
  diffEntries(settingEntries(Before), settingEntries(After), Differences);
  diffEntries(routeEntries(Before), routeEntries(After), Differences);
  diffEntries(groupEntries(Before), groupEntries(After), Differences);
  diffEntries(organisationEntries(Before), organisationEntries(After),
              Differences);
  diffEntries(keyEntries(Before), keyEntries(After), Differences);
  return Differences;
}

std::optional<deployment_problem> checkVersion(deployment_version InForce,
                                               deployment_version Next) {
  if (Next > InForce)
    return std::nullopt;
  return deployment_problem{
      "version", toString(Next) + " is not above the version in force, " +
                     toString(InForce) + ": control would ignore it"};
}

} // namespace teasellock
