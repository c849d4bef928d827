/// What the sessions of an entry read from the deployment in force: routes, and
/// the organisations that hold callers' keys.
#pragma once

#include "modules/deployment/organisation_index.h"
#include "modules/line/line_caller_connection.h"
#include "modules/membership/member_agent.h"

namespace teasellock {

/// Looks up routes and keys, and finds sessions whose key was removed.
class deployment_lookup {
public:
  explicit deployment_lookup(const member_agent &Member);
  deployment_lookup(const deployment_lookup &) = delete;
  deployment_lookup &operator=(const deployment_lookup &) = delete;

  /// Returns the environment of sessions that speak the protocol. It refers to
  /// this object.
  line_environment makeEnvironment(const line_protocol *Protocol);

  /// Marks the sessions whose key the deployment in force does not have. Does
  /// nothing if its version was checked before.
  void checkKeys(line_caller_connections &Connections,
                 const line_environment &Environment);

private:
  const organisation_index &currentOrganisations();

  const member_agent &Member;
  organisation_index Organisations;
  /// The version that the keys of the open sessions were last checked against.
  deployment_version CheckedVersion;
};

} // namespace teasellock
