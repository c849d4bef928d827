#include "modules/line/deployment_lookup.h"

#include "core/event_log.h"

#include <utility>

namespace teasellock {

deployment_lookup::deployment_lookup(const member_agent &Member)
    : Member(Member) {}

const organisation_index &deployment_lookup::currentOrganisations() {
  updateIndex(Organisations, Member.currentDeployment());
  return Organisations;
}

line_environment
deployment_lookup::makeEnvironment(const line_protocol *Protocol) {
  line_environment Environment;
  Environment.Protocol = Protocol;
  Environment.FindRoute = [this](const database_id &Database) {
    return findRoute(Member.currentDeployment(), Database);
  };
  Environment.IsDeploymentKnown = [this] {
    return Member.currentDeployment().Version != deployment_version();
  };
  Environment.NeedsKeys = [this] { return currentOrganisations().NeedsKeys; };
  Environment.FindOrganisation = [this](const key_digest &Key) {
    return findOrganisation(currentOrganisations(), Key);
  };
  return Environment;
}

void deployment_lookup::checkKeys(line_caller_connections &Connections,
                                  const line_environment &Environment) {
  auto Version = Member.currentDeployment().Version;
  if (std::exchange(CheckedVersion, Version) == Version)
    return;
  std::uint64_t Revoked = 0;
  for (auto &[Id, Connection] : Connections) {
    Connection->KeyRevoked = isKeyRevoked(Connection->Caller, Environment);
    Revoked += Connection->KeyRevoked;
  }
  if (Revoked > 0)
    event("caller.keys_revoked")
        .with("version", Version.Value)
        .with("sessions", Revoked);
}

} // namespace teasellock
