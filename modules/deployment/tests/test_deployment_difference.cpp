#include "modules/deployment/consistency_name.h"
#include "modules/deployment/deployment_difference.h"
#include "modules/deployment/key_digest.h"

#include <doctest/doctest.h>
#include <functional>

using namespace teasellock;

namespace {

using differences = std::vector<deployment_difference>;

route routeOf(const std::string &Name, const std::string &Database) {
  route Route;
  Route.Name = Name;
  Route.Database = database_id(Database);
  Route.Group = group_id("s1");
  Route.Consistency = consistency::ReadYourWrites;
  Route.MaxStaleness = fromMilliseconds(2500);
  Route.StatementTimeout = fromMilliseconds(800);
  Route.TargetLatency = fromMilliseconds(400);
  Route.Priority = 2;
  return Route;
}

deployment_summary makeSummary() {
  deployment_summary Summary;
  Summary.Version = deployment_version(7);
  Summary.IdleTransactionTimeout = fromMilliseconds(3000);
  Summary.Routes = {routeOf("r1", "db1")};
  Summary.Groups = {{group_id("s1"), 24, 1}};
  Summary.Organisations = {
      {organisation_id("o1"), {"6ab9f1eb"}, operation_limit{242.5, 10}, 1}};
  return Summary;
}

} // namespace

TEST_CASE("deployment difference: equal deployments do not differ") {
  CHECK(diffDeployments(makeSummary(), makeSummary()).empty());
  CHECK(diffDeployments({}, {}).empty());
}

// Guards against a field that is forgotten, so that its change goes unnoticed.
TEST_CASE("deployment difference: every field of a route is compared") {
  using change = std::function<void(route &)>;
  const std::vector<std::pair<change, deployment_difference>> Cases = {
      {[](route &R) { R.Database = database_id("db2"); },
       {"route r1 database", "db1", "db2"}},
      {[](route &R) { R.Group = group_id("s2"); },
       {"route r1 group", "s1", "s2"}},
      {[](route &R) { R.Consistency = consistency::Primary; },
       {"route r1 consistency", "read_your_writes", "primary"}},
      {[](route &R) { R.MaxStaleness = fromMilliseconds(1); },
       {"route r1 max_staleness_ms", "2500", "1"}},
      {[](route &R) { R.StatementTimeout = fromMilliseconds(900); },
       {"route r1 timeout_ms", "800", "900"}},
      {[](route &R) { R.TargetLatency = fromMilliseconds(0); },
       {"route r1 target_ms", "400", "0"}},
      {[](route &R) { R.Priority = 0; }, {"route r1 priority", "2", "0"}},
      {[](route &R) { R.IsPublic = true; },
       {"route r1 public", "false", "true"}}};
  for (const auto &Case : Cases) {
    const auto &[Change, Difference] = Case;
    std::string Location = Difference.Location;
    auto After = makeSummary();
    Change(After.Routes[0]);
    CAPTURE(Location);
    CHECK(diffDeployments(makeSummary(), After) == differences{Difference});
  }
}

TEST_CASE("deployment difference: every other field is compared") {
  using change = std::function<void(deployment_summary &)>;
  const std::vector<std::pair<change, deployment_difference>> Cases = {
      {[](auto &S) { S.Version = deployment_version(8); },
       {"deployment version", "7", "8"}},
      {[](auto &S) { S.IdleTransactionTimeout = duration::zero(); },
       {"deployment idle_transaction_ms", "3000", "0"}},
      {[](auto &S) { S.Groups[0].MaxConnections = 12; },
       {"group s1 max_connections", "24", "12"}},
      {[](auto &S) { S.Groups[0].AckReplicas = 2; },
       {"group s1 ack_replicas", "1", "2"}},
      {[](auto &S) { (*S.Organisations)[0].Limit->RatePerSecond = 0.1; },
       {"organisation o1 rate_per_s", "242.5", "0.1"}},
      {[](auto &S) { (*S.Organisations)[0].Limit->Burst = 1e6; },
       {"organisation o1 burst", "10", "1e+06"}},
      {[](auto &S) { (*S.Organisations)[0].Priority = 0; },
       {"organisation o1 priority", "1", "0"}}};
  for (const auto &Case : Cases) {
    const auto &[Change, Difference] = Case;
    std::string Location = Difference.Location;
    auto After = makeSummary();
    Change(After);
    CAPTURE(Location);
    CHECK(diffDeployments(makeSummary(), After) == differences{Difference});
  }
}

// Guards against an entry whose loss or arrival is not reported.
TEST_CASE("deployment difference: entries are added and removed") {
  auto Large = makeSummary();
  Large.Routes.push_back(routeOf("r2", "db2"));
  Large.Groups.push_back({group_id("s2"), 0, 0});
  Large.Organisations->push_back(
      {organisation_id("o2"), {"af316ecb"}, std::nullopt, 0});
  const std::vector<std::pair<std::string, std::string>> Expected = {
      {"route r2",
       "database=db2 group=s1 consistency=read_your_writes "
       "max_staleness_ms=2500 timeout_ms=800 target_ms=400 priority=2 "
       "public=false first_of_database=true"},
      {"group s2", "max_connections=0 ack_replicas=0"},
      {"organisation o2", "rate_per_s=unlimited burst=unlimited priority=0"},
      {"key af316ecb", "organisation=o2"}};
  differences Added;
  differences Removed;
  for (const auto &[Location, Text] : Expected) {
    Added.push_back({Location, std::nullopt, Text});
    Removed.push_back({Location, Text, std::nullopt});
  }
  CHECK(diffDeployments(makeSummary(), Large) == Added);
  CHECK(diffDeployments(Large, makeSummary()) == Removed);
}

// Guards against a key that silently acts for another organisation.
TEST_CASE("deployment difference: a key moves to another organisation") {
  auto Before = makeSummary();
  Before.Organisations->push_back({organisation_id("o2"), {}, std::nullopt, 0});
  auto After = Before;
  std::swap((*After.Organisations)[0].Keys, (*After.Organisations)[1].Keys);
  CHECK(diffDeployments(Before, After) ==
        differences{{"key 6ab9f1eb organisation", "o1", "o2"}});
}

// Guards against a deployment that no longer asks callers for keys, although
// its organisations are the same: none.
TEST_CASE("deployment difference: callers need keys or do not") {
  auto Before = makeSummary();
  Before.Organisations.emplace();
  auto After = Before;
  After.Organisations.reset();
  CHECK(diffDeployments(Before, After) ==
        differences{{"deployment callers_need_keys", "true", "false"}});
}

// Guards against a new order of routes that looks like no change: statements
// use the first route of a database.
TEST_CASE("deployment difference: another route of a database comes first") {
  auto Before = makeSummary();
  Before.Routes.push_back(routeOf("r2", "db1"));
  auto After = Before;
  std::swap(After.Routes[0], After.Routes[1]);
  CHECK(diffDeployments(Before, After) ==
        differences{{"route r1 first_of_database", "true", "false"},
                    {"route r2 first_of_database", "false", "true"}});
}

// Guards against routes of one name that hide each other's changes.
TEST_CASE("deployment difference: routes of one name are matched by order") {
  auto Before = makeSummary();
  Before.Routes.push_back(routeOf("r1", "db2"));
  auto After = Before;
  After.Routes[0].Priority = 0;
  After.Routes[1].Priority = 1;
  CHECK(diffDeployments(Before, After) ==
        differences{{"route r1 priority", "2", "0"},
                    {"route r1 priority", "2", "1"}});
}

// Guards against keys or whole digests in what is shown, and against path
// prefixes that are reported as changed because control does not keep them.
TEST_CASE("deployment difference: a summary has fingerprints for keys") {
  deployment_proposal Proposal;
  Proposal.Deployment.Version = deployment_version(7);
  Proposal.Deployment.IdleTransactionTimeout = fromMilliseconds(3000);
  Proposal.Deployment.Routes = {routeOf("r1", "db1")};
  Proposal.Deployment.Routes[0].PathPrefix = std::string("/");
  Proposal.Groups = {{group_id("s1"), 24, 1}};
  Proposal.Deployment.Organisations = {
      {organisation_id("o1"), {digestOf("k1")}, operation_limit{242.5, 10}, 1}};
  CHECK((summaryOf(Proposal) == makeSummary()));
  Proposal.Deployment.Organisations.reset();
  CHECK_FALSE(summaryOf(Proposal).Organisations);
}

// Guards against a version that control acknowledges and ignores.
TEST_CASE("deployment difference: a version must be above the one in force") {
  deployment_version InForce(7);
  CHECK_FALSE(checkVersion(InForce, deployment_version(8)));
  for (std::uint64_t Version : {0, 6, 7}) {
    auto Problem = checkVersion(InForce, deployment_version(Version));
    REQUIRE(Problem);
    CHECK(Problem->Location == "version");
    CHECK(Problem->Reason == std::to_string(Version) +
                                 " is not above the version in force, 7: "
                                 "control would ignore it");
  }
}

TEST_CASE("deployment: names of consistency guarantees are read back") {
  for (auto Consistency : {consistency::Primary, consistency::BoundedStaleness,
                           consistency::ReadYourWrites})
    CHECK((findConsistency(nameOf(Consistency)) == Consistency));
  CHECK_FALSE(findConsistency("eventual"));
}
