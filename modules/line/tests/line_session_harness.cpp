#include "modules/line/tests/line_session_harness.h"

#include "modules/deployment/key_digest.h"
#include "platform/line_codec.h"

namespace teasellock {

line_session_harness::line_session_harness() {
  route Route;
  Route.Database = database_id("db");
  Route.Group = group_id("g");
  Route.Consistency = consistency::ReadYourWrites;
  Route.MaxStaleness = fromMilliseconds(2500);
  Route.StatementTimeout = fromMilliseconds(800);
  Deployment.Version = deployment_version(1);
  Deployment.Routes.push_back(Route);
  Environment.Protocol = &platform::lineProtocol();
  Environment.FindRoute = [this](const database_id &Database) {
    return findRoute(Deployment, Database);
  };
  Environment.IsDeploymentKnown = [] { return true; };
  Environment.NeedsKeys = [this] { return organisations().NeedsKeys; };
  Environment.FindOrganisation = [this](const key_digest &Key) {
    return findOrganisation(organisations(), Key);
  };
}

const organisation_index &line_session_harness::organisations() {
  updateIndex(Organisations, Deployment);
  return Organisations;
}

void line_session_harness::setKeys(
    const std::map<std::string, std::string> &OrganisationByKey) {
  Deployment.Version.Value += 1;
  Deployment.Organisations.emplace();
  for (const auto &[Key, Name] : OrganisationByKey)
    Deployment.Organisations->push_back(
        {organisation_id(Name), {digestOf(Key)}, std::nullopt, 0});
}

std::string line_session_harness::sendMessage(const std::string &Line) {
  Effects = {};
  handleCallerMessage(Caller, Environment,
                      platform::lineProtocol().ParseCaller(Line),
                      transaction_id(++LastTransaction), Effects);
  return Effects.Out;
}

std::string line_session_harness::deliverReply(wire::statement_reply Reply) {
  Effects = {};
  Reply.last = true;
  handleReply(Caller, Environment, Reply, Effects);
  return Effects.Out;
}

wire::statement_reply
line_session_harness::answeredReply(const std::string &Messages) {
  wire::statement_reply Reply;
  Reply.outcome = wire::statement_outcome::answered;
  Reply.messages = Messages;
  return Reply;
}

wire::statement_reply
line_session_harness::failedReply(wire::statement_outcome::type Outcome,
                                  const std::string &Code) {
  wire::statement_reply Reply;
  Reply.outcome = Outcome;
  Reply.code = Code;
  Reply.problem = "why";
  return Reply;
}

} // namespace teasellock
