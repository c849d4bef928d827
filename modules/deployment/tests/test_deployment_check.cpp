#include "modules/deployment/deployment_check.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

using problems = std::vector<deployment_problem>;

route routeOf(const std::string &Name, const std::string &Database,
              const std::string &Group) {
  route Route;
  Route.Name = Name;
  Route.Database = database_id(Database);
  Route.Group = group_id(Group);
  Route.MaxStaleness = fromMilliseconds(2500);
  Route.StatementTimeout = fromMilliseconds(800);
  Route.TargetLatency = fromMilliseconds(400);
  return Route;
}

organisation organisationOf(const std::string &Name,
                            std::optional<operation_limit> Limit) {
  return {organisation_id(Name), {key_digest("digest of " + Name)}, Limit, 0};
}

/// A deployment without findings.
deployment_proposal makeProposal() {
  deployment_proposal Proposal;
  Proposal.Deployment.Version = deployment_version(7);
  Proposal.Deployment.IdleTransactionTimeout = fromMilliseconds(3000);
  Proposal.Deployment.Routes = {routeOf("r1", "db1", "s1")};
  Proposal.Deployment.Organisations = {
      organisationOf("o1", operation_limit{100, 100}),
      organisationOf("o2", std::nullopt)};
  Proposal.Groups = {{group_id("s1"), 24, 1}};
  return Proposal;
}

std::vector<organisation> &organisationsOf(deployment_proposal &Proposal) {
  return *Proposal.Deployment.Organisations;
}

} // namespace

// Guards against false alarms, which operators would learn to ignore: a public
// route beside organisations, an organisation without a limit, and a group
// whose connections are as its upstreams announce.
TEST_CASE("deployment check: an ordinary deployment has no findings") {
  auto Proposal = makeProposal();
  Proposal.Deployment.Routes[0].IsPublic = true;
  CHECK(checkDeployment(Proposal).empty());
  CHECK(findUnusedEntries(Proposal).empty());
  CHECK(findLimitConflicts(Proposal).empty());
  Proposal.Groups[0].MaxConnections = 0;
  CHECK(findLimitConflicts(Proposal).empty());
  Proposal.Deployment.Organisations.reset();
  CHECK(findUnusedEntries(Proposal).empty());
  CHECK(findLimitConflicts(Proposal).empty());
}

// Guards against a route that an operator adds behind another one of the same
// database, and whose settings never apply.
TEST_CASE("deployment check: a route behind the first of its database is "
          "hidden") {
  auto Proposal = makeProposal();
  auto Hidden = routeOf("r2", "db1", "s1");
  Hidden.PathPrefix = "/reports";
  Proposal.Deployment.Routes.push_back(Hidden);
  CHECK(checkDeployment(Proposal).empty());
  CHECK(
      findUnusedEntries(Proposal) ==
      problems{{"route r2", "is hidden by route r1, the first route of db1"}});
}

// Guards against a missing group that is reported as a mere warning: control
// refuses the deployment.
TEST_CASE("deployment check: a route of an unknown group is an error") {
  auto Proposal = makeProposal();
  Proposal.Deployment.Routes.push_back(routeOf("r2", "db2", "s2"));
  CHECK(checkDeployment(Proposal) ==
        problems{{"route r2", "unknown group s2"}});
  CHECK(findUnusedEntries(Proposal).empty());
}

// Guards against upstreams that run without serving anyone.
TEST_CASE("deployment check: a group that no statement reaches is unused") {
  auto Proposal = makeProposal();
  Proposal.Groups.push_back({group_id("s2"), 24, 1});
  CHECK(findUnusedEntries(Proposal) ==
        problems{{"group s2", "no route uses it"}});
  auto Hidden = routeOf("r2", "db1", "s2");
  Hidden.PathPrefix = "/reports";
  Proposal.Deployment.Routes.push_back(Hidden);
  auto Problems = findUnusedEntries(Proposal);
  REQUIRE(Problems.size() == 2);
  CHECK(Problems[1] ==
        deployment_problem{"group s2", "only hidden routes use it"});
}

// Guards against an organisation whose callers are all refused as unknown.
TEST_CASE("deployment check: an organisation without keys is unused") {
  auto Proposal = makeProposal();
  organisationsOf(Proposal)[1].Keys.clear();
  CHECK(findUnusedEntries(Proposal) ==
        problems{{"organisation o2", "has no keys: no caller can act for it"}});
}

// Guards against an organisation whose operations are all refused as over the
// limit: its bucket gains no tokens, or never holds a whole one.
TEST_CASE("deployment check: an organisation's limit must let operations "
          "through") {
  auto Proposal = makeProposal();
  organisationsOf(Proposal)[0].Limit = {0, 5};
  CHECK(findUnusedEntries(Proposal) ==
        problems{
            {"organisation o1", "the rate is 0: its limit is never refilled"}});
  organisationsOf(Proposal)[0].Limit = {0.5, 0.5};
  CHECK(findUnusedEntries(Proposal) ==
        problems{{"organisation o1", "the burst of 0.5 is below 1: all its "
                                     "operations are refused"}});
  organisationsOf(Proposal)[0].Limit = {0.5, 1};
  CHECK(findUnusedEntries(Proposal).empty());
}

// Guards against transactions that are ended while a statement may still run.
TEST_CASE("deployment check: a statement may not outlast the idle timeout") {
  auto Proposal = makeProposal();
  auto &Deployment = Proposal.Deployment;
  Deployment.IdleTransactionTimeout = fromMilliseconds(800);
  CHECK(findLimitConflicts(Proposal).empty());
  Deployment.IdleTransactionTimeout = fromMilliseconds(799);
  CHECK(findLimitConflicts(Proposal) ==
        problems{{"route r1", "the statement timeout of 800 ms is above the "
                              "idle transaction timeout of 799 ms"}});
  // 0: transactions may stay idle.
  Deployment.IdleTransactionTimeout = duration::zero();
  CHECK(findLimitConflicts(Proposal).empty());
}

// Guards against a target that no statement can miss.
TEST_CASE("deployment check: the target latency is at most the timeout") {
  auto Proposal = makeProposal();
  auto &Route = Proposal.Deployment.Routes[0];
  Route.TargetLatency = fromMilliseconds(800);
  CHECK(findLimitConflicts(Proposal).empty());
  Route.TargetLatency = fromMilliseconds(801);
  CHECK(findLimitConflicts(Proposal) ==
        problems{{"route r1", "the target latency of 801 ms is above the "
                              "statement timeout of 800 ms"}});
}

// Guards against a forgotten bound, which makes the reads as strict as those of
// the primary.
TEST_CASE("deployment check: bounded staleness needs a bound") {
  auto Proposal = makeProposal();
  auto &Route = Proposal.Deployment.Routes[0];
  Route.MaxStaleness = duration::zero();
  for (auto Other : {consistency::Primary, consistency::ReadYourWrites}) {
    Route.Consistency = Other;
    CHECK(findLimitConflicts(Proposal).empty());
  }
  Route.Consistency = consistency::BoundedStaleness;
  CHECK(findLimitConflicts(Proposal) ==
        problems{{"route r1",
                  "its reads are of bounded staleness, with a bound of 0"}});
}

// Guards against connections that are closed and opened all the time: each
// belongs to one organisation.
TEST_CASE("deployment check: connections are compared with organisations that "
          "have a limit above 0") {
  auto Proposal = makeProposal();
  Proposal.Groups[0].MaxConnections = 1;
  CHECK(findLimitConflicts(Proposal).empty());
  organisationsOf(Proposal).push_back(
      organisationOf("o3", operation_limit{0, 1}));
  CHECK(findLimitConflicts(Proposal).empty());
  organisationsOf(Proposal).push_back(
      organisationOf("o4", operation_limit{1, 1}));
  CHECK(
      findLimitConflicts(Proposal) ==
      problems{{"group s1", "the connections to each upstream (1) are fewer "
                            "than the 2 organisations with a limit above 0"}});
}

// Guards against a limiter that can't grant a batch as large as an entry needs
// at the organisation's rate.
TEST_CASE("deployment check: a burst is at least the operations of a batch") {
  auto Proposal = makeProposal();
  organisationsOf(Proposal)[0].Limit = {100, 25};
  CHECK(findLimitConflicts(Proposal).empty());
  organisationsOf(Proposal)[0].Limit = {100, 24.5};
  CHECK(findLimitConflicts(Proposal) ==
        problems{{"organisation o1",
                  "the burst of 24.5 is below the 25 operations of one batch "
                  "(250 ms at its rate)"}});
}
