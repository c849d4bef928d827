#include "core/error.h"
#include "modules/admin/deployment_json.h"
#include "modules/control/operator_json.h"
#include "modules/deployment/key_digest.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace teasellock;
using nlohmann::json;

namespace {

/// What control keeps of a deployment with every field.
control_state makeState() {
  deployment_proposal Proposal;
  auto &Deployment = Proposal.Deployment;
  Deployment.Version = deployment_version(7);
  Deployment.IdleTransactionTimeout = fromMilliseconds(3000);
  for (auto Consistency : {consistency::Primary, consistency::BoundedStaleness,
                           consistency::ReadYourWrites}) {
    auto &Route = Deployment.Routes.emplace_back();
    Route.Name = "r" + std::to_string(Deployment.Routes.size());
    Route.Database = database_id("db" + Route.Name);
    Route.Group = group_id("s1");
    Route.Consistency = Consistency;
    Route.MaxStaleness = fromMilliseconds(2500);
    Route.StatementTimeout = fromMilliseconds(800);
    Route.TargetLatency = fromMilliseconds(400);
    Route.Priority = 2;
    Route.IsPublic = Consistency == consistency::Primary;
  }
  Deployment.Organisations = {
      {organisation_id("o1"), {digestOf("k1")}, operation_limit{242.5, 10}, 1},
      {organisation_id("o2"), {}, std::nullopt, 0}};
  Proposal.Groups = {{group_id("s1"), 24, 1}, {group_id("s2"), 0, 0}};
  control_state State;
  applyCommand(State, revision(1), makeDeploymentCommand(Proposal));
  vm_record Vm;
  Vm.Vm = vm_id("vm-1");
  Vm.Address = {"10.0.0.1", 9000};
  applyCommand(State, revision(2), makeVmCommand(Vm));
  Vm.Vm = vm_id("vm-2");
  Vm.Gateway = false;
  applyCommand(State, revision(3), makeVmCommand(Vm));
  return State;
}

} // namespace

// Guards against a field of the deployment in force that is lost on the way to
// operators, and would be reported as a difference.
TEST_CASE("admin: the deployment in force is read back as submitted") {
  auto Summary = parseDeploymentInForce(deploymentJson(makeState()));
  CHECK((Summary.Version == deployment_version(7)));
  CHECK((Summary.IdleTransactionTimeout == fromMilliseconds(3000)));
  CHECK((Summary.Routes == makeState().Deployment.Deployment.Routes));
  CHECK((Summary.Groups == std::vector<group_limits>{{group_id("s1"), 24, 1},
                                                     {group_id("s2"), 0, 0}}));
  REQUIRE(Summary.Organisations);
  CHECK(
      (*Summary.Organisations ==
       std::vector<organisation_summary>{
           {organisation_id("o1"), {"6ab9f1eb"}, operation_limit{242.5, 10}, 1},
           {organisation_id("o2"), {}, std::nullopt, 0}}));
}

// Guards against callers that are said to need keys where they do not.
TEST_CASE("admin: a deployment without organisations is read back") {
  auto Read = parseDeploymentInForce(deploymentJson(control_state()));
  CHECK((Read == deployment_summary()));
}

// Guards against an answer of an earlier build, which does not show all fields:
// those missing would be reported as differences.
TEST_CASE("admin: an answer without a field is refused with its name") {
  auto Problem = [](const json &Json) -> std::string {
    try {
      parseDeploymentInForce(Json);
      return "";
    } catch (const error &Problem) {
      return Problem.peer();
    }
  };
  const json Valid = deploymentJson(makeState());
  CHECK(Problem(Valid).empty());
  for (const char *Field :
       {"version", "idle_transaction_ms", "routes", "groups"}) {
    auto Bad = Valid;
    Bad.erase(Field);
    CHECK(Problem(Bad) == Field);
    Bad[Field] = "x";
    CHECK(Problem(Bad) == Field);
  }
  for (const char *List : {"routes", "groups", "organisations"})
    for (const auto &[Field, Value] : Valid[List][0].items()) {
      auto Bad = Valid;
      Bad[List][0].erase(Field);
      CHECK(Problem(Bad) == Field);
    }
  for (const json &Bad : {json(), json(5), json("x"), json::array()})
    CHECK(Problem(Bad) == "version");
}
