/// The deployment in force, as GET /v1/deployment of the operators' API shows
/// it.
#pragma once

#include "modules/deployment/deployment_difference.h"

#include <cstddef>
#include <nlohmann/json_fwd.hpp>

namespace teasellock {

/// What the API tells of the deployment in force.
struct deployment_in_force {
  deployment_summary Summary;
  /// VMs to which groups may be assigned.
  std::size_t GatewayVms = 0;
};

/// Parses the answer. Throws error with step "deployment.read" and the field as
/// the peer if a field is missing or invalid, as from a build that does not
/// show it.
deployment_in_force parseDeploymentInForce(const nlohmann::json &Json);

} // namespace teasellock
