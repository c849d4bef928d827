#include "modules/deployment/deployment.h"

#include "core/text_check.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace teasellock {

namespace {

wire::consistency::type toWire(consistency Consistency) {
  switch (Consistency) {
  case consistency::Primary:
    return wire::consistency::primary;
  case consistency::BoundedStaleness:
    return wire::consistency::bounded_staleness;
  case consistency::ReadYourWrites:
    return wire::consistency::read_your_writes;
  }
  return wire::consistency::primary;
}

// An unknown value is treated as the strictest consistency.
consistency fromWire(wire::consistency::type Consistency) {
  if (Consistency == wire::consistency::bounded_staleness)
    return consistency::BoundedStaleness;
  if (Consistency == wire::consistency::read_your_writes)
    return consistency::ReadYourWrites;
  return consistency::Primary;
}

void checkRoute(const route &Route, const std::set<group_id> &Groups,
                std::vector<deployment_problem> &Problems) {
  std::string Location = "route " + Route.Name;
  if (Route.Database.Value.empty())
    Problems.push_back({Location, "the database name is empty"});
  if (!Groups.contains(Route.Group))
    Problems.push_back({Location, "unknown group " + Route.Group.Value});
  if (Route.StatementTimeout <= duration::zero())
    Problems.push_back({Location, "the statement timeout must be above 0"});
  if (Route.MaxStaleness < duration::zero())
    Problems.push_back({Location, "the staleness must not be negative"});
}

bool isValidRate(double Rate) { return std::isfinite(Rate) && Rate >= 0; }

/// Names are fields of the first message to an upstream, so they can't contain
/// a separator.
void checkName(const std::string &Name, const std::string &Location,
               std::vector<deployment_problem> &Problems) {
  if (Name.empty())
    Problems.push_back({Location, "the name is empty"});
  else if (!isLineField(Name))
    Problems.push_back(
        {Location, "the name has a space or a control character"});
}

/// Problems never contain a key: they are logged.
void checkOrganisations(const std::vector<organisation> &Organisations,
                        std::vector<deployment_problem> &Problems) {
  std::set<organisation_id> Names;
  std::map<key_digest, organisation_id> Holders;
  for (const auto &Organisation : Organisations) {
    const auto &Name = Organisation.Name;
    std::string Location = "organisation " + Name.Value;
    checkName(Name.Value, Location, Problems);
    if (!Names.insert(Name).second)
      Problems.push_back({Location, "is named twice"});
    const auto &Limit = Organisation.Limit;
    if (Limit &&
        !(isValidRate(Limit->RatePerSecond) && isValidRate(Limit->Burst)))
      Problems.push_back(
          {Location, "the rate and the burst must be at least 0 and finite"});
    for (const auto &Key : Organisation.Keys) {
      const auto &Holder = Holders.emplace(Key, Name).first->second;
      if (Holder != Name)
        Problems.push_back({Location, "shares a key with " + Holder.Value});
    }
  }
}

} // namespace

std::vector<deployment_problem>
checkDeployment(const deployment_proposal &Proposal) {
  std::vector<deployment_problem> Problems;
  std::set<group_id> Groups;
  for (const auto &Group : Proposal.Groups) {
    if (Group.Group.Value.empty())
      Problems.push_back({"groups", "a group has no name"});
    else
      checkName(Group.Group.Value, "group " + Group.Group.Value, Problems);
    if (!Groups.insert(Group.Group).second)
      Problems.push_back({"group " + Group.Group.Value, "is named twice"});
  }
  std::set<std::pair<database_id, std::string>> SeenKeys;
  for (const auto &Route : Proposal.Deployment.Routes) {
    checkRoute(Route, Groups, Problems);
    if (!SeenKeys.emplace(Route.Database, Route.PathPrefix).second)
      Problems.push_back({"route " + Route.Name,
                          "another route serves " + Route.Database.Value});
  }
  if (const auto &Organisations = Proposal.Deployment.Organisations)
    checkOrganisations(*Organisations, Problems);
  return Problems;
}

std::vector<table_row> toTableRows(const deployment_proposal &Proposal) {
  std::vector<table_row> Rows;
  for (const auto &Group : Proposal.Groups) {
    table_row Row;
    Row.Group = Group.Group;
    Row.AckReplicas = Group.AckReplicas;
    Row.MaxConnections = Group.MaxConnections;
    Row.GatewayCount = 0;
    Rows.push_back(std::move(Row));
  }
  return Rows;
}

const route *findRoute(const deployment &Deployment,
                       const database_id &Database) {
  for (const auto &Route : Deployment.Routes)
    if (Route.Database == Database)
      return &Route;
  return nullptr;
}

wire::organisation_list toWire(const std::vector<organisation> &Organisations) {
  wire::organisation_list Result;
  for (const auto &Organisation : Organisations) {
    auto &Entry = Result.entries.emplace_back();
    Entry.name = Organisation.Name.Value;
    for (const auto &Digest : Organisation.Keys)
      Entry.key_digests.push_back(Digest.Value);
    if (Organisation.Limit) {
      Entry.__set_rate_per_s(Organisation.Limit->RatePerSecond);
      Entry.__set_burst(Organisation.Limit->Burst);
    }
    Entry.priority = static_cast<std::int32_t>(Organisation.Priority);
  }
  return Result;
}

std::vector<organisation>
fromWire(const wire::organisation_list &Organisations) {
  std::vector<organisation> Result;
  for (const auto &Entry : Organisations.entries) {
    auto &Organisation = Result.emplace_back();
    Organisation.Name = organisation_id(Entry.name);
    for (const auto &Digest : Entry.key_digests)
      Organisation.Keys.push_back(key_digest(Digest));
    if (Entry.__isset.rate_per_s)
      Organisation.Limit = {Entry.rate_per_s, Entry.burst};
    Organisation.Priority =
        static_cast<std::uint32_t>(std::max(0, Entry.priority));
  }
  return Result;
}

wire::route toWire(const route &Route) {
  wire::route Result;
  Result.name = Route.Name;
  Result.database = Route.Database.Value;
  Result.group = Route.Group.Value;
  Result.reads = toWire(Route.Consistency);
  Result.max_staleness_ms = toMilliseconds(Route.MaxStaleness);
  Result.statement_ms = toMilliseconds(Route.StatementTimeout);
  Result.target_ms = toMilliseconds(Route.TargetLatency);
  Result.priority = static_cast<std::int32_t>(Route.Priority);
  Result.is_public = Route.IsPublic;
  return Result;
}

route fromWire(const wire::route &Route) {
  route Result;
  Result.Name = Route.name;
  Result.Database = database_id(Route.database);
  Result.Group = group_id(Route.group);
  Result.Consistency = fromWire(Route.reads);
  Result.MaxStaleness = fromMilliseconds(Route.max_staleness_ms);
  Result.StatementTimeout = fromMilliseconds(Route.statement_ms);
  Result.TargetLatency = fromMilliseconds(Route.target_ms);
  Result.Priority = static_cast<std::uint32_t>(std::max(0, Route.priority));
  Result.IsPublic = Route.is_public;
  return Result;
}

wire::deployment toWire(const deployment &Deployment) {
  wire::deployment Result;
  Result.version = static_cast<std::int64_t>(Deployment.Version.Value);
  for (const auto &Route : Deployment.Routes)
    Result.routes.push_back(toWire(Route));
  Result.idle_transaction_ms =
      toMilliseconds(Deployment.IdleTransactionTimeout);
  if (Deployment.Organisations)
    Result.__set_organisations(toWire(*Deployment.Organisations));
  return Result;
}

deployment fromWire(const wire::deployment &Deployment) {
  deployment Result;
  Result.Version =
      deployment_version(static_cast<std::uint64_t>(Deployment.version));
  for (const auto &Route : Deployment.routes)
    Result.Routes.push_back(fromWire(Route));
  Result.IdleTransactionTimeout =
      fromMilliseconds(Deployment.idle_transaction_ms);
  if (Deployment.__isset.organisations)
    Result.Organisations = fromWire(Deployment.organisations);
  return Result;
}

} // namespace teasellock
