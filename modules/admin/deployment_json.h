/// The deployment in force, as GET /v1/deployment of the operators' API shows
/// it.
#pragma once

#include "modules/deployment/deployment_difference.h"

#include <nlohmann/json_fwd.hpp>

namespace teasellock {

/// Parses the answer. Throws error with step "deployment.read" and the field as
/// the peer if a field is missing or invalid, as from a build that does not
/// show it.
deployment_summary parseDeploymentInForce(const nlohmann::json &Json);

} // namespace teasellock
