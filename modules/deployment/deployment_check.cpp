#include "modules/deployment/deployment_check.h"

#include "modules/limits/limit_bucket.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace teasellock {

namespace {

using problems = std::vector<deployment_problem>;

std::string locationOf(const route &Route) { return "route " + Route.Name; }

std::string locationOf(const group_limits &Limits) {
  return "group " + Limits.Group.Value;
}

std::string locationOf(const organisation &Organisation) {
  return "organisation " + Organisation.Name.Value;
}

std::string toText(duration Span) {
  return std::to_string(toMilliseconds(Span)) + " ms";
}

std::string toText(double Number) {
  std::ostringstream Text;
  Text << Number;
  return Text.str();
}

/// Returns the routes that statements use: the first of each database.
std::map<database_id, const route *> firstRoutes(const deployment &Deployment) {
  std::map<database_id, const route *> Result;
  for (const auto &Route : Deployment.Routes)
    Result.emplace(Route.Database, &Route);
  return Result;
}

void findHiddenRoutes(const deployment &Deployment, problems &Problems) {
  auto First = firstRoutes(Deployment);
  for (const auto &Route : Deployment.Routes) {
    const auto *Used = First.at(Route.Database);
    if (Used != &Route)
      Problems.push_back({locationOf(Route),
                          "is hidden by route " + Used->Name +
                              ", the first route of " + Route.Database.Value});
  }
}

void findUnusedGroups(const deployment_proposal &Proposal, problems &Problems) {
  std::set<group_id> Named;
  for (const auto &Route : Proposal.Deployment.Routes)
    Named.insert(Route.Group);
  std::set<group_id> Used;
  for (const auto &[Database, Route] : firstRoutes(Proposal.Deployment))
    Used.insert(Route->Group);
  for (const auto &Group : Proposal.Groups)
    if (!Used.contains(Group.Group))
      Problems.push_back({locationOf(Group), Named.contains(Group.Group)
                                                 ? "only hidden routes use it"
                                                 : "no route uses it"});
}

void findUnusableOrganisation(const organisation &Organisation,
                              problems &Problems) {
  std::string Location = locationOf(Organisation);
  if (Organisation.Keys.empty())
    Problems.push_back({Location, "has no keys: no caller can act for it"});
  if (!Organisation.Limit)
    return;
  const auto &Limit = *Organisation.Limit;
  if (Limit.RatePerSecond == 0)
    Problems.push_back(
        {Location, "the rate is 0: its limit is never refilled"});
  // A bucket that never holds a whole token grants nothing.
  if (Limit.Burst < 1)
    Problems.push_back({Location, "the burst of " + toText(Limit.Burst) +
                                      " is below 1: all its operations are "
                                      "refused"});
}

void findTimeoutConflicts(const route &Route, duration IdleTimeout,
                          problems &Problems) {
  std::string Location = locationOf(Route);
  // Without an idle timeout, transactions are not ended.
  if (IdleTimeout > duration::zero() && Route.StatementTimeout > IdleTimeout)
    Problems.push_back({Location, "the statement timeout of " +
                                      toText(Route.StatementTimeout) +
                                      " is above the idle transaction "
                                      "timeout of " +
                                      toText(IdleTimeout)});
  if (Route.TargetLatency > Route.StatementTimeout)
    Problems.push_back({Location, "the target latency of " +
                                      toText(Route.TargetLatency) +
                                      " is above the statement timeout of " +
                                      toText(Route.StatementTimeout)});
  if (Route.Consistency == consistency::BoundedStaleness &&
      Route.MaxStaleness == duration::zero())
    Problems.push_back(
        {Location, "its reads are of bounded staleness, with a bound of 0"});
}

std::size_t limitedOrganisations(const deployment &Deployment) {
  if (!Deployment.Organisations)
    return 0;
  return static_cast<std::size_t>(std::count_if(
      Deployment.Organisations->begin(), Deployment.Organisations->end(),
      [](const organisation &Organisation) {
        return Organisation.Limit && Organisation.Limit->RatePerSecond > 0;
      }));
}

void findConnectionConflicts(const group_limits &Limits,
                             std::size_t Organisations, problems &Problems) {
  // 0: as many as the upstreams announce, which is not known here.
  if (Limits.MaxConnections == 0)
    return;
  if (Limits.MaxConnections < Organisations)
    Problems.push_back(
        {locationOf(Limits), "the connections to each upstream (" +
                                 std::to_string(Limits.MaxConnections) +
                                 ") are fewer than the " +
                                 std::to_string(Organisations) +
                                 " organisations with a limit above 0"});
}

void findBurstConflict(const organisation &Organisation, problems &Problems) {
  if (!Organisation.Limit)
    return;
  const auto &Limit = *Organisation.Limit;
  double Batch = Limit.RatePerSecond *
                 std::chrono::duration<double>(BatchValidity).count();
  if (Limit.Burst < Batch)
    Problems.push_back({locationOf(Organisation),
                        "the burst of " + toText(Limit.Burst) +
                            " is below the " + toText(Batch) +
                            " operations of one batch (" +
                            toText(BatchValidity) + " at its rate)"});
}

} // namespace

std::vector<deployment_problem>
findUnusedEntries(const deployment_proposal &Proposal) {
  problems Problems;
  findHiddenRoutes(Proposal.Deployment, Problems);
  findUnusedGroups(Proposal, Problems);
  if (const auto &Organisations = Proposal.Deployment.Organisations)
    for (const auto &Organisation : *Organisations)
      findUnusableOrganisation(Organisation, Problems);
  return Problems;
}

std::vector<deployment_problem>
findLimitConflicts(const deployment_proposal &Proposal) {
  const auto &Deployment = Proposal.Deployment;
  problems Problems;
  for (const auto &Route : Deployment.Routes)
    findTimeoutConflicts(Route, Deployment.IdleTransactionTimeout, Problems);
  std::size_t Organisations = limitedOrganisations(Deployment);
  for (const auto &Limits : Proposal.Groups)
    findConnectionConflicts(Limits, Organisations, Problems);
  if (Deployment.Organisations)
    for (const auto &Organisation : *Deployment.Organisations)
      findBurstConflict(Organisation, Problems);
  return Problems;
}

} // namespace teasellock
